// Package share decides which requests of a workspace may run when their number
// is bounded over the whole fleet. Each part of a workspace's bound has a home,
// an entry chosen by rendezvous hash over the host list, which keeps a ledger of
// the requests in flight. An entry asks the home for a permit before a request's
// first attempt and gives it back at the request's end. A permit that is not
// given back ends with its request's deadline.
//
// docs/design/limits.md says what holds when homes die, change or don't answer.
package share
