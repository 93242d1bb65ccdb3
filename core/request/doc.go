// Package request decides, for one admitted request, what its entry does next:
// which attempts to dispatch, hedge, cancel, attach to, resume or resolve, which
// chunks to hand to the caller, and how the request ends.
//
// A Machine takes events with the time at which they happened and returns
// actions. It does no I/O; the runtime carries the actions out and hands in what
// came of them. Events may come late, twice or in any order: those that no
// longer matter change nothing.
//
// # Why the answers are truthful
//
//   - A non-idempotent stage is dispatched only under a claim, and a second time
//     only after proof that the first attempt has not run and never will: the
//     side refused the Run itself, the Run was never sent, the upstream was never
//     reached, or the side has written a tombstone (Resolve answered not run).
//   - Not run is told only if every attempt of every non-idempotent stage has
//     such proof and no attempt is still on its way to an upstream.
//   - A chunk goes to the caller only if its index is the next one. A resumed
//     attempt starts behind the chunks that the caller has.
package request
