// Package slowstart bounds what reaches an upstream that has just started and takes few
// requests a second until it is warm: one that gets many more crashes. Many processes send to
// it, and they do not agree on anything.
//
// Only some of the processes, the first of the members by rendezvous score for the upstream,
// may send to it while it is cold, and each of these at most one request in each Spacing.
//
// Why the bound holds in every second, whatever the processes know of each other as long as
// none lacks more members than half of the bound: let half the bound be K, and let the process
// of the lowest score that sends lack u of the members. It knows fewer than K of a higher score
// than its own, so that there are fewer than K + u of them, and all that send are these and
// itself: at most K + u. Each sends at most one in a second, as Spacing is longer than a second
// and than what a request may be held up between its choice and its sending together. So with u
// at most K no more than 2 K, the bound, arrive. A process that knows no members, or whose
// knowledge is old, sends nothing: its u is not known.
//
// Load that it answers: a zone's engines come back together while a burst or one hot part of
// a prompt, of which all processes compute the same order, would send dozens a second to the
// first of them.
package slowstart

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// Spacing is the least time between two requests of one process to a cold upstream: the second
// for which the bound holds, and 0.8 s for one that waits for its connection to open.
const Spacing = 1800 * time.Millisecond

// unaware is by which factor more processes may send than are meant to, as some do not know of
// each other.
const unaware = 2

// mostRanks bounds the upstreams of which the rank is kept: above the number of upstreams that
// is planned for.
const mostRanks = 4096

// Bound is what a cold upstream may get.
type Bound struct {
	// PerSecond is what it takes, in requests a second, 0 if it takes any number.
	PerSecond float64
	// Overrun and Slack say how much more may come: PerSecond × Overrun + Slack in any second.
	Overrun, Slack float64
}

// senders returns how many processes are meant to send to a cold upstream: none if fewer than
// two requests a second may come.
func (b Bound) senders() int { return int((b.PerSecond*b.Overrun + b.Slack) / unaware) }

// Limiter is one process's part of the bound. It is not safe for concurrent use.
type Limiter struct {
	self    string
	members []string
	known   bool
	sent    map[string]time.Time
	// ranks holds how many members have a higher score for an upstream than this process.
	ranks map[string]int
}

// New returns the Limiter of the process self, which knows no members yet.
func New(self string) *Limiter {
	return &Limiter{self: self, sent: make(map[string]time.Time), ranks: make(map[string]int)}
}

// SetMembers takes over the names of the other processes. The slice must not be changed
// afterwards.
func (l *Limiter) SetMembers(others []string) {
	l.members, l.known = others, true
	clear(l.ranks)
}

// Allows tells whether this process may send a request to a cold upstream now.
func (l *Limiter) Allows(upstream string, bound Bound, now time.Time) bool {
	if bound.PerSecond <= 0 {
		return true
	}
	if last, sent := l.sent[upstream]; sent && now.Sub(last) < Spacing {
		return false
	}
	return l.known && l.rank(upstream) < bound.senders()
}

// rank returns how many other processes have a higher score for an upstream.
func (l *Limiter) rank(upstream string) int {
	if rank, known := l.ranks[upstream]; known {
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
	if len(l.ranks) >= mostRanks {
		clear(l.ranks)
	}
	l.ranks[upstream] = higher
	return higher
}

// Sent records a request to a cold upstream.
func (l *Limiter) Sent(upstream string, now time.Time) {
	for id, at := range l.sent {
		if now.Sub(at) >= Spacing {
			delete(l.sent, id)
		}
	}
	l.sent[upstream] = now
}
