package gate

import (
	"container/heap"
	"slices"
	"time"
)

// claimHeap holds the settled claimed attempts, the oldest ticket first, so that
// forgetting moves the horizon as little as possible.
type claimHeap []*record

// Len implements heap.Interface.
func (h claimHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h claimHeap) Less(i, j int) bool { return h[i].ticket.Clock < h[j].ticket.Clock }

// Swap implements heap.Interface.
func (h claimHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// compactionSlack is how many dropped outputs may stay listed before the list is
// compacted.
const compactionSlack = 64

// drop is the time at which the output of an acknowledged claimed attempt goes.
type drop struct {
	at time.Duration
	r  *record
}

// settle ends an attempt and files its record to be forgotten later. Only settled
// attempts are ever forgotten.
func (g *Gate) settle(now time.Duration, r *record, end phase, reason Reason, detail string) {
	r.phase = end
	r.reason = reason
	r.detail = detail
	r.settledAt = now
	switch {
	case r.claimed():
		heap.Push(&g.claims, r)
	case r.mark:
		g.marks = append(g.marks, r)
	default:
		g.unclaimed = append(g.unclaimed, r)
	}
}

// claimTombstone makes a tombstone hold against a ticket that has just been
// refused or resolved by it. One of an attempt of which only the key was known
// becomes a claimed one. One with an older ticket takes the newer, so that the
// horizon covers both when it is forgotten.
func (g *Gate) claimTombstone(now time.Duration, r *record, ticket *Ticket) {
	switch {
	case ticket == nil:
		return
	case !r.claimed():
		r.mark = false
		r.ticket = ticket
		r.settledAt = now
		heap.Push(&g.claims, r)
	case ticket.Clock > r.ticket.Clock:
		r.ticket = ticket
		heap.Fix(&g.claims, slices.Index(g.claims, r))
	}
}

// keep notes that the runtime holds the output of a settled attempt.
func (g *Gate) keep(r *record, bytes int) {
	r.kept = true
	r.bytes = bytes
	g.keptBytes += bytes
	g.keptCount++
	g.results = append(g.results, r)
}

// dropOutput tells the runtime to drop the output of a settled attempt.
func (g *Gate) dropOutput(r *record) {
	if !r.kept {
		return
	}
	g.release(r)
	g.act(Action{Kind: ActionDrop, Key: r.key})
}

// release takes an output off the books.
func (g *Gate) release(r *record) {
	if !r.kept {
		return
	}
	r.kept = false
	g.keptBytes -= r.bytes
	g.keptCount--
}

// forgetOld forgets what is too old or too much.
func (g *Gate) forgetOld(now time.Duration) {
	g.dropAcknowledged(now)
	g.dropExcess()
	g.forgetUnclaimed(now)
	g.forgetMarks(now)
	g.forgetClaims(now)
}

// dropAcknowledged drops the outputs of claimed attempts whose time after the
// acknowledgement is up.
func (g *Gate) dropAcknowledged(now time.Duration) {
	for len(g.drops) > 0 && g.drops[0].at <= now {
		g.dropOutput(g.drops[0].r)
		g.drops = g.drops[1:]
	}
}

// dropExcess drops the oldest outputs until the rest is within its bound.
func (g *Gate) dropExcess() {
	for len(g.results) > 0 && g.keptBytes > g.options.MaxKeptBytes {
		g.dropOutput(g.results[0])
		g.results = g.results[1:]
	}
	if len(g.results) > 2*g.keptCount+compactionSlack {
		g.results = slices.DeleteFunc(g.results, func(r *record) bool { return !r.kept })
	}
}

// forgetUnclaimed forgets settled idempotent attempts.
func (g *Gate) forgetUnclaimed(now time.Duration) {
	for len(g.unclaimed) > 0 {
		r := g.unclaimed[0]
		if len(g.unclaimed) <= g.options.MaxUnclaimed && now-r.settledAt < g.options.KeepResult {
			return
		}
		g.unclaimed = g.unclaimed[1:]
		if !r.claimed() {
			g.forget(r)
		}
	}
}

// forgetMarks forgets tombstones of which only the key is known. The attempt may
// be claimed. Its ticket is not younger than the mark, because a cancellation
// comes after the probe. A mark is kept for the ticket lifetime, so that the
// attempt's ticket has expired by then; if it goes earlier for want of room, the
// horizon takes its place.
func (g *Gate) forgetMarks(now time.Duration) {
	for len(g.marks) > 0 {
		r := g.marks[0]
		expired := now-r.settledAt > g.options.TicketLifetime
		if !r.claimed() && !expired && len(g.marks) <= g.options.MaxUnclaimed {
			return
		}
		g.marks = g.marks[1:]
		if r.claimed() {
			continue
		}
		if !expired {
			g.horizon = max(g.horizon, r.settledAt)
		}
		g.forget(r)
	}
}

// forgetClaims forgets settled claimed attempts and raises the horizon to their
// tickets, so that from then on nobody is told that such an attempt was not run.
func (g *Gate) forgetClaims(now time.Duration) {
	for len(g.claims) > 0 {
		r := g.claims[0]
		if len(g.claims) <= g.options.MaxClaimed && now-r.settledAt < g.options.KeepClaimed {
			return
		}
		heap.Pop(&g.claims)
		g.horizon = max(g.horizon, r.ticket.Clock)
		g.forget(r)
	}
}

// forget removes a settled attempt.
func (g *Gate) forget(r *record) {
	g.chargeAged(r)
	g.release(r)
	delete(g.table, r.key)
	g.act(Action{Kind: ActionForget, Key: r.key})
}
