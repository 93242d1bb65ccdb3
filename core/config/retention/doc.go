// Package retention removes configuration objects that nobody needs any more, as
// a pure state machine: the caller carries out the actions that it asks for and
// hands back the replies.
//
// What is kept: the head, the copies of the heads from revision Head.Oldest on,
// and every part that one of these names. A pass raises Oldest and removes what
// is then not kept, in batches. The steps of one batch, each made of calls of the
// object API:
//
//  1. List the copies of heads. Those below the revision that is to be the oldest
//     are the batch; the parts that these name, and no other copy, are its parts.
//  2. Read the version of each of these parts.
//  3. Read the head, and list the copies written since step 1. What these name is
//     taken off the batch's parts.
//  4. Update the head, on the version read in step 3, with Oldest raised. If it
//     fails, go back to step 3.
//  5. Delete the parts, each if it still has the version read in step 2.
//  6. Delete the copies of the batch.
//
// Why no part is lost that the head or a kept copy names, whatever is delayed,
// repeated or lost, without any assumption about clocks:
//
//   - Package accept creates a change's copy first, and then creates or touches
//     every part that the new head names and its base doesn't. If the copy was
//     there at the listing of step 3, its parts are off the batch. If it was not,
//     its parts were touched after step 2, so their versions are above those read,
//     and step 5 spares them, also if the delete arrives long after it was sent.
//   - A change's base is a head that was in force at or after step 3, by then its
//     parts are off the batch, or an earlier one, whose parts are named by its
//     copy. So what a head takes over from its base is safe as well.
//   - Step 4 raises the head's version, on which the updates of all changes in
//     flight are conditional. They fail and begin anew, from the raised Oldest: it
//     never goes back, so no copy that is gone is ever counted as kept again.
//     It is a second safeguard as well, if a listing of the store should lag behind
//     its writes: what is accepted from then on touched its parts after step 4.
//   - Two removers, or one that was paused for hours, delete by the same rule.
//
// Copies need no touch: a copy below the head's revision is that of an accepted
// change or of one that lost the race for its revision for good, and nobody reads
// copies below Oldest.
//
// A crash leaves copies below Oldest, whose parts the next pass finds by them:
// that is why copies go last here and come first in package accept. What is never
// found is a part which a change writes after its own copy was removed; it needs a
// change that was paused for the whole time that copies are kept.
//
// The age of a copy goes by the clocks of the operator and of the remover. Wrong
// clocks keep more or less history, but never less than Policy.Revisions.
package retention
