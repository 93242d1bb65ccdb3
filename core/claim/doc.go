// Package claim decides, for a stage that may run at most once, which request
// may start it. It defines the claim record, as stored in the platform's object
// API, and a pure state machine that opens, reassigns, releases and looks up
// claims.
//
// # Terms
//
// An entry is the process that admitted a request and drives its stages. A
// sidecar is the process beside an upstream; it hands attempts to the upstream
// and keeps their results for a time. A tombstone is a sidecar's record that an
// attempt has not run and is refused from then on. A ticket is the reading of a
// sidecar's own clock at the time at which the sidecar was chosen for an attempt. To
// abandon a claim is to record that its attempt has not run and never will. An epoch
// of a claim ends when a lookup abandons the claim.
//
// # Why a stage runs at most once
//
// An attempt of a claimed stage is identified by its claim and a random nonce,
// and it is bound to one incarnation of one sidecar. Four rules together allow at
// most one execution for each claim:
//
//  1. Only the writer of the claim's current nonce dispatches it, and a writer
//     treats a nonce as its own only after the store confirmed it: by the response
//     to the conditional write, or by reading the nonce back.
//  2. The current nonce is replaced only after proof that its attempt has not run
//     and never will: the sidecar's tombstone (Resolve returned NOT_RUN), the
//     sidecar's refusal of every message that the owner sent, or the owner's
//     statement that it has sent none and will send none (an abandoned claim).
//  3. The replacement is a conditional update of the version under which the old
//     nonce was read. Of several processes that have the same proof, one succeeds.
//  4. The sidecar refuses a nonce that it has seen, that has a tombstone, that
//     names another incarnation, or whose ticket is older than the lifetime of its
//     tombstones.
//
// A process that was paused for any time between two of its steps has either a
// stale version, so that its write fails, or a stale nonce, so that the sidecar
// refuses its dispatch.
package claim
