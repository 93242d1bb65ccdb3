// Package claim decides, for a stage that may run at most once, who may start
// it. It holds the claim record, as kept in the platform's object API, and a
// pure state machine that opens, reassigns, closes and looks at claims.
//
// # Why a stage runs at most once
//
// An attempt of a claimed stage is named by its claim and a random nonce, and it
// is bound to one incarnation of one side process. Four rules together allow at
// most one execution for each claim:
//
//  1. Only the writer of the claim's present nonce dispatches it, and a writer
//     takes a nonce as its own only after the store said so: by the answer to the
//     conditional write, or by reading the nonce back.
//  2. The present nonce is replaced only after proof that its attempt has not run
//     and never will: the side's tombstone (Resolve answered NOT_RUN), the side's
//     refusal of every message that the owner sent, or the owner's word that it
//     has sent none and will send none (an abandoned claim).
//  3. The replacement is a conditional update of the version under which the old
//     nonce was read. Of several processes that hold the same proof one wins.
//  4. The side refuses a nonce that it has seen, that has a tombstone, that names
//     another incarnation, or whose ticket is older than its tombstones live.
//
// A process that was paused for any time between two of its steps holds either
// an old version, so that its write fails, or an old nonce, so that the side
// refuses its dispatch.
package claim
