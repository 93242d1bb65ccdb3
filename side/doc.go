// Package side runs the sidecar of one upstream: every attempt and every order
// for the upstream goes through it. Package core/gate makes the decisions; this
// package owns the goroutines, the connections and the stored results.
//
// Terms: an attempt is one try of a request's stage at this upstream. A claimed
// attempt belongs to a stage that is not idempotent; its caller wrote a claim
// object first, and the attempt carries a ticket, the sidecar's clock at the probe
// before that claim. A tombstone records that an attempt must never run. An order
// tells an engine, an upstream that loads models, to load or unload a model. A report is
// the upstream's response to a poll of its status. A subscriber is a stream that follows
// an attempt. A planned stop drains the sidecar before the process exits.
package side
