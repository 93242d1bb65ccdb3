// Package claims opens, reassigns and finishes the claims of stages that may run
// at most once. It drives the protocol of core/claim against the platform's
// object API and the Resolve call of the side that a claim names.
package claims
