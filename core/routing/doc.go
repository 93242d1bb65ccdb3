// Package routing decides which upstream carries out a stage.
//
// A Picker is an immutable snapshot of the upstreams, replaced as a whole when the
// host list, the drains or the placement change. A Table holds what one entry has
// observed of them: loads with their age, attempts in flight, suspicions. A Policy
// reads both: Plan names the upstreams to probe before a decision, and Decide chooses
// one of them based on the replies and gives the reason.
//
// A suspected upstream is one that did not reply to a probe or went silent during an
// attempt; it is avoided for a while. A warm upstream is one that ranks high for the
// prompt prefix of a stage and therefore is likely to have it cached. A decision
// spills if it chooses an upstream outside the zone of the entry.
//
// The package does no I/O. The caller sends the probes, passes in the time and a
// random source, and serialises all calls that share a Table.
package routing
