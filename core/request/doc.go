// Package request decides, for one admitted request, what its entry does next:
// which attempts to dispatch, hedge, cancel, attach to, resume or resolve, which
// chunks to deliver to the caller, and how the request ends.
//
// A Machine takes events with the time at which they happened and returns
// actions. It does no I/O: the runtime executes the actions and reports their
// results as events. Events may arrive late, twice or in any order; those that
// no longer matter change nothing.
//
// # Terms
//
// The entry is the gateway role that accepted the request. An attempt is one
// execution of a stage on one upstream; the sidecar is the process beside an
// upstream that accepts attempts for it. A claim is the record in the platform's
// store that reserves a non-idempotent stage for one attempt; that attempt is
// called claimed. A tombstone is the mark by which a sidecar refuses an attempt
// that it has not run, should the Run still arrive. The answer is the final result
// that the caller gets. A request that was given up settles first: it waits, for a
// bounded time, for proof that cancelled attempts will not start, and is then
// answered.
//
// # Why the reported outcome is correct
//
//   - A non-idempotent stage is dispatched only under a claim, and a second time
//     only after proof that the first attempt has not run and never will: the
//     sidecar refused the Run itself, the Run was never sent, the upstream was
//     never reached, or the sidecar has written a tombstone (Resolve returned
//     ResolvedNotRun).
//   - The outcome is "not run" only if every attempt of every non-idempotent stage
//     has such proof and no attempt may still reach an upstream.
//   - A chunk is delivered to the caller only if its index is the next one. A
//     resumed attempt starts after the chunks that the caller has.
package request
