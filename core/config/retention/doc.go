// Package retention removes configuration objects that are no longer needed, as a
// pure state machine: the caller carries out the actions that the machine returns
// and passes the replies back to it.
//
// Kept are the head, the copies of the heads from revision Head.Oldest on, and every
// part that one of these references. A pass raises Oldest and removes, in batches,
// the objects that are no longer kept. The steps of one batch, each of which consists
// of calls of the object API:
//
//  1. List the copies of heads. Those below the revision that is to become the oldest
//     are the copies of the batch. Its parts are those that they reference and that no
//     other copy references.
//  2. Read the version of each part of the batch.
//  3. Read the head, and list the copies written since step 1. Remove the parts that
//     these reference from the batch.
//  4. Update the head to the raised Oldest, on condition of the version read in step 3.
//     If the update fails, go back to step 3.
//  5. Delete the parts, each on condition of the version read in step 2.
//  6. Delete the copies of the batch.
//
// No part is lost that the head or a kept copy references, whichever calls are
// delayed, repeated or lost, and without any assumption about clocks:
//
//   - Package accept creates a change's copy first, and then creates or touches
//     every part that the new head references and its base doesn't. If the copy
//     existed at the listing of step 3, its parts are no longer in the batch. If it
//     did not, its parts were touched after step 2, so their versions are above
//     those read, and step 5 doesn't delete them, even if the delete arrives long
//     after it was sent.
//   - A change's base is either a head that was in force at or after step 3, whose
//     parts are not in the batch by then, or an earlier head, whose parts are
//     referenced by its copy. So the parts that a head inherits from its base are
//     safe as well.
//   - Step 4 raises the version of the head's object, on which the updates of all
//     changes in flight are conditional. They fail, and the changes restart from the
//     raised Oldest. Oldest never decreases, so a copy that was removed never counts
//     as kept again. Step 4 is also a second safeguard, in case a listing of the store
//     lags behind its writes: a change that is accepted later touched its parts after
//     step 4.
//   - Several removers at the same time, and a remover that was paused for hours,
//     delete under the same conditions.
//
// Copies need no touch: a copy below the head's revision belongs to an accepted
// change or to one that has finally lost the race for its revision, and nobody reads
// copies below Oldest.
//
// A crash leaves copies below Oldest, through which the next pass finds their parts.
// This is why copies are deleted last here and created first in package accept. Only
// a part that a change writes after its own copy was removed is never found, which
// takes a change that was paused for the whole time that copies are kept.
//
// The age of a copy depends on the clocks of the operator and of the remover. Wrong
// clocks keep more or less history, but never less than Policy.Revisions.
package retention
