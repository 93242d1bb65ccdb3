// Package claims opens, reassigns and finishes the claims of stages that may run at
// most once. A claim is a record in the platform's object API that says which attempt
// may run the stage for an idempotency key, at which sidecar. The protocol is package
// core/claim; this package makes its calls, to the object API and to the Resolve method
// of the sidecar that a claim names.
package claims
