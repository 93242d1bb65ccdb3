// Package gate decides what reaches one upstream, and when. It is the pure part
// of the side process: time comes in as the side's clock (the time since the
// side started), and actions for the runtime come out.
//
// # Order of service
//
// Waiting attempts are ordered by priority class first and by weighted fair
// sharing between workspaces within a class. A lower class can't starve: a class
// that has work waiting and was passed over Options.StarvationTurns times in a
// row is served next, so that it gets at least one of every StarvationTurns + n
// turns, where n is the number of classes that wait.
//
// Sharing is by start-time fair queueing: each workspace has a virtual start
// tag, which advances by cost over weight with each attempt that it starts, and
// the workspace with the lowest tag is served next. A workspace that was idle
// begins at the virtual time of the class, so that it neither saves up turns nor
// pays for its past. A burst of one workspace therefore only lengthens the
// burst's own wait. The bounded queue is shared in the same way: if it is full, a
// workspace that holds less than its share pushes out the last attempt of the
// one that holds most.
//
// An attempt is admitted if three times its expected wait and its service time fit
// into the time that it has left, because later work may go first, and a refusal
// now leaves time to go elsewhere. A waiting attempt that is close to its last
// moment to start goes before its turn and is charged to its workspace. One that
// can't make its deadline any more is refused as not run.
//
// # At most once
//
// A claimed attempt carries a ticket: the side's own clock at the probe after
// which the claim was written. The gate remembers every claimed attempt that it
// has seen, and a tombstone for each that it promised never to run. When it
// forgets one to bound its memory it raises its horizon to the ticket of the
// forgotten one. A claimed attempt that is not in the table and whose ticket is
// not behind the horizon is therefore certainly new. One at or before the
// horizon may have been forgotten, so it is never run, and nobody is told that it
// was not run. No clock but the side's own takes part.
//
// A refusal of a claimed attempt leaves a tombstone as well: the sender may have
// moved its claim to another upstream on the strength of the refusal, so a copy
// of the message that arrives later must be refused as well.
package gate
