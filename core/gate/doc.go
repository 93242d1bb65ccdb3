// Package gate decides which attempts reach one upstream, and when. It is the pure
// part of the sidecar process. Time comes in as the sidecar's clock (the time since
// the sidecar started), and actions for the runtime come out.
//
// # Order of service
//
// Waiting attempts are ordered by priority class first, and by weighted fair
// sharing between workspaces within a class. A lower class doesn't starve: a class
// that has attempts waiting and was passed over Options.StarvationTurns times in a
// row is served next, so that it gets at least one of every StarvationTurns + n
// turns, where n is the number of classes with attempts waiting.
//
// Sharing is by start-time fair queueing: each workspace has a virtual start
// tag, which advances by cost over weight with each attempt that it starts, and
// the workspace with the lowest tag is served next. A workspace that was idle
// begins at the virtual time of the class, so that it neither accumulates credit nor
// pays for earlier use. A burst of one workspace therefore only lengthens the
// burst's own wait. The bounded queue is shared in the same way: if it is full, a
// workspace that holds less than its share evicts the last attempt of the
// workspace that holds the most for its weight.
//
// An attempt is admitted if three times its expected wait plus its service time
// fits into its remaining time, because attempts that arrive later may be served
// first, and an attempt that is refused at once has time to go to another upstream.
// A waiting attempt that is close to its latest start time is started before its
// turn and charged to its workspace. An attempt that can no longer meet its deadline
// is refused as not run.
//
// # At most once
//
// A claimed attempt, which is one of a non-idempotent stage, carries a ticket: the
// reading of the sidecar's clock at the probe after which the claim was written. The
// gate remembers every claimed attempt that it has seen, and keeps a tombstone for
// each one that it promised never to run. When it forgets one to bound its memory, it
// raises its horizon to the ticket of that attempt. A claimed attempt that is not in
// the table and whose ticket is after the horizon is therefore certainly new. An
// attempt whose ticket is at or before the horizon may have been forgotten, so it is
// never run, and no caller is told that it was not run. Only the sidecar's own clock
// is used.
//
// A refusal of a claimed attempt leaves a tombstone as well. The sender may have
// moved its claim to another upstream because of the refusal, so a copy of the
// message that arrives later must also be refused.
//
// A cancellation, or a request to follow an attempt, names only the key of the
// attempt. If the attempt is unknown, it gets a key-only tombstone, which doesn't
// record whether the attempt is claimed.
//
// # Stalled upstreams
//
// An upstream that misses reports, or that has running work without progress, is
// stalled and gets no new work. If it only made no progress, it gets one trial
// attempt after a delay that doubles with each failure.
package gate
