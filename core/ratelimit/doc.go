// Package ratelimit holds the sends of all gateways to an upstream within the rate of requests
// that the upstream has named in its responses.
//
// The rate is one for the whole fleet, and a gateway sees only its own sends. So for each service one
// gateway, the coordinator, grants permits: a request to an upstream of which a limit is known is sent
// only with a permit. All gateways rank the candidates for the coordinator alike, by rendezvous hashing
// over the list of gateways.
//
// # Why the limit holds when gateways disagree on the coordinator
//
// With n gateways each has a vote on each service. A coordinator grants at a rate of
//
//	limit × min(1, voteFactor × votes / n)
//
// where votes is the number of votes that it holds. A vote lapses VoteTTL after the coordinator received
// it. A gateway gives its vote to another coordinator only once the vote that it gave before has lapsed
// (Voter). So a vote counts at one coordinator at a time, the votes of all coordinators together are at
// most n, and they grant at most voteFactor × limit together, however the fleet is divided: by a cut, by
// different lists of gateways, by a coordinator that froze and wakes, or one that has restarted. A
// gateway that reaches no other is its own coordinator with a single vote (Candidates), and so has its
// part of the limit. A coordinator starts with an empty bucket, so that a move grants nothing twice.
//
// A permit is usable until PermitTTL after it was granted, by a lower bound of that time on the
// gateway's own clock (package proof), and is checked right before the request is written. So what
// arrives within any time T was granted within T + PermitTTL. With one coordinator that is at most
// limit × (T + PermitTTL) and the bucket's size; with several the limit is replaced by voteFactor × limit.
//
// # What is known of a limit
//
// A limit belongs to one incarnation of an upstream and holds until a response does not name it any more. Responses
// may overtake each other, so a response raises or ends a limit only if its request was sent after the limit
// became known; otherwise it can only lower it (Table, and Coordinator by versions).
//
// The package does no I/O and reads no clock. Times are readings of a clock that continues while the
// process is suspended.
package ratelimit
