// Package slowstart bounds the requests that reach a cold upstream: one that has just started
// and takes few requests a second until it is warm. If it gets many more, it crashes. Many
// processes send to it without coordination.
//
// Only the members with the highest rendezvous scores for the upstream may send to it while it
// is cold, and each of them at most one request per Spacing.
//
// The bound holds in every second, whatever members each process knows, as long as no process
// lacks more members than half of the bound. Let K be half of the bound, and let the sender with
// the lowest score lack u of the members. It knows fewer than K members with a higher score than
// its own, so that there are fewer than K + u such members. All senders are among these and the
// process itself: at most K + u. Each sends at most one request a second, as Spacing is
// longer than one second plus the longest delay between the choice of an upstream and the
// sending of the request. So if u is at most K, no more than 2 K requests, the bound, arrive. A
// process that knows no members, or whose membership is stale, sends nothing, as its u is
// unknown.
//
// Without the bound, when all engines of a zone start at the same time, a burst or a single hot
// prompt prefix, for which all processes compute the same order of engines, sends dozens of
// requests a second to the first of them.
package slowstart

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// Spacing is the minimum time between two requests of one process to a cold upstream: the
// second for which the bound holds, and 0.8 s for a request that waits for its connection to open.
const Spacing = 1800 * time.Millisecond

// divergenceFactor is the ratio between the number of processes that send at most and the number
// that is meant to send: more send if some do not know of each other.
const divergenceFactor = 2

// maxCachedRanks bounds the number of upstreams whose rank is cached. It is above the number of
// upstreams planned for.
const maxCachedRanks = 4096

// Bound is the limit on the requests that a cold upstream gets.
type Bound struct {
	// PerSecond is how many requests a second the upstream takes; 0 if it takes any number.
	PerSecond float64
	// Overrun and Slack raise the limit to PerSecond × Overrun + Slack requests in any second.
	Overrun, Slack float64
}

// senders returns how many processes are meant to send to a cold upstream: 0 if the limit is below
// two requests a second.
func (b Bound) senders() int { return int((b.PerSecond*b.Overrun + b.Slack) / divergenceFactor) }

// Limiter enforces one process's share of the bound. It is not safe for concurrent use.
type Limiter struct {
	self         string
	members      []string
	membersKnown bool
	lastSent     map[string]time.Time
	// ranks caches how many members have a higher score for an upstream than this process.
	ranks map[string]int
}

// New returns the Limiter of the process self. It allows no requests to cold upstreams until
// SetMembers is called.
func New(self string) *Limiter {
	return &Limiter{self: self, lastSent: make(map[string]time.Time), ranks: make(map[string]int)}
}

// SetMembers replaces the names of the other processes. The caller must not change the slice
// afterwards.
func (l *Limiter) SetMembers(others []string) {
	l.members, l.membersKnown = others, true
	clear(l.ranks)
}

// Allows reports whether this process may send a request to a cold upstream now.
func (l *Limiter) Allows(upstream string, bound Bound, now time.Time) bool {
	if bound.PerSecond <= 0 {
		return true
	}
	if last, sent := l.lastSent[upstream]; sent && now.Sub(last) < Spacing {
		return false
	}
	return l.membersKnown && l.rank(upstream) < bound.senders()
}

// rank returns how many other processes have a higher score for an upstream.
func (l *Limiter) rank(upstream string) int {
	if rank, cached := l.ranks[upstream]; cached {
		return rank
	}
	key := rendezvous.Hash(upstream)
	own := rendezvous.Score(key, rendezvous.Hash(l.self))
	higher := 0
	for _, name := range l.members {
		if rendezvous.Score(key, rendezvous.Hash(name)) > own {
			higher++
		}
	}
	if len(l.ranks) >= maxCachedRanks {
		clear(l.ranks)
	}
	l.ranks[upstream] = higher
	return higher
}

// Sent records that this process sends a request to a cold upstream.
func (l *Limiter) Sent(upstream string, now time.Time) {
	for id, at := range l.lastSent {
		if now.Sub(at) >= Spacing {
			delete(l.lastSent, id)
		}
	}
	l.lastSent[upstream] = now
}
