// Package routing decides which upstream carries out a stage.
//
// A Picker is an immutable snapshot of the upstreams, replaced whole when the
// host list, the drains or the placement change. A Table holds what one entry
// has learnt about them: loads with their age, attempts in flight, suspicions.
// A Policy reads both and says whom to ask before a decision (Ask) and, from
// the answers, whom to take and why (Decide).
//
// Nothing here does I/O. The caller sends the probes, passes time and a random
// source in, and serialises all calls that share a Table.
package routing
