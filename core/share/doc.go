// Package share bounds the number of in-flight requests of a workspace over the
// whole fleet.
//
// An entry is a gateway process whose role in the host list is "entry". The bound
// of a workspace is divided into parts. Each part has a home, an entry chosen by
// rendezvous hashing over the host list, which keeps a ledger of the in-flight
// requests counted against the part. An entry acquires a permit from the home before
// a request's first attempt and releases it when the request ends. A permit that is
// not released expires after its request's deadline. A home counts a permit while the
// permit is in its ledger. While homes do not respond, an
// entry admits requests locally, up to its even share of the bound.
//
// docs/design/limits.md describes the guarantees when homes crash, change or do not
// respond.
package share
