// Package claims opens, reassigns, releases, inspects and finishes the claims of stages
// that may run at most once, and deletes expired ones. A claim is a record in the
// platform's object API, the store, that says which attempt may run the stage for an
// idempotency key, at which sidecar. The protocol is package core/claim, whose state
// machines decide on the calls; this package makes them, to the store and to the Resolve
// method of the sidecar that a claim names.
package claims
