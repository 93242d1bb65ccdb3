package gate

import (
	"container/heap"
	"slices"
	"time"
)

// claimHeap is a min-heap of the settled claimed attempts by ticket clock, so that
// forgetting one raises the horizon as little as possible.
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

// compactionSlack is how many more dropped outputs than kept ones may remain in
// Gate.keptOutputs before that list is compacted.
const compactionSlack = 64

// pendingDrop is the time at which the output of an acknowledged claimed attempt is
// dropped.
type pendingDrop struct {
	at time.Duration
	r  *record
}

// settle ends an attempt and lists its record to be forgotten later. Only settled
// attempts are ever forgotten.
func (g *Gate) settle(now time.Duration, r *record, finalPhase phase, reason Reason, detail string) {
	r.phase = finalPhase
	r.reason = reason
	r.detail = detail
	r.settledAt = now
	switch {
	case r.claimed():
		heap.Push(&g.settledClaimed, r)
	case r.keyOnly:
		g.keyOnlyTombstones = append(g.keyOnlyTombstones, r)
	default:
		g.settledUnclaimed = append(g.settledUnclaimed, r)
	}
}

// bindTombstone makes a tombstone cover a ticket for which a caller has just been told
// that the attempt is not run. A tombstone without a ticket, such as a key-only one,
// takes this ticket and becomes claimed. A tombstone with an older ticket takes the
// newer one, so that the horizon covers both when the tombstone is forgotten.
func (g *Gate) bindTombstone(now time.Duration, r *record, ticket *Ticket) {
	switch {
	case ticket == nil:
		return
	case !r.claimed():
		r.keyOnly = false
		r.ticket = ticket
		r.settledAt = now
		heap.Push(&g.settledClaimed, r)
	case ticket.Clock > r.ticket.Clock:
		r.ticket = ticket
		heap.Fix(&g.settledClaimed, slices.Index(g.settledClaimed, r))
	}
}

// recordKeptOutput records that the runtime keeps the output of a settled attempt.
func (g *Gate) recordKeptOutput(r *record, bytes int) {
	r.outputKept = true
	r.outputBytes = bytes
	g.keptBytes += bytes
	g.keptCount++
	g.keptOutputs = append(g.keptOutputs, r)
}

// dropOutput tells the runtime to drop the output of a settled attempt.
func (g *Gate) dropOutput(r *record) {
	if !r.outputKept {
		return
	}
	g.releaseOutput(r)
	g.emit(Action{Kind: ActionDrop, Key: r.key})
}

// releaseOutput removes an output from the accounting of kept outputs.
func (g *Gate) releaseOutput(r *record) {
	if !r.outputKept {
		return
	}
	r.outputKept = false
	g.keptBytes -= r.outputBytes
	g.keptCount--
}

// forgetExpired drops outputs and forgets records that exceed a limit of age, count or
// size.
func (g *Gate) forgetExpired(now time.Duration) {
	g.dropAcknowledged(now)
	g.dropExcessOutputs()
	g.forgetUnclaimed(now)
	g.forgetKeyOnlyTombstones(now)
	g.forgetClaimed(now)
}

// dropAcknowledged drops the outputs of acknowledged claimed attempts that are due.
func (g *Gate) dropAcknowledged(now time.Duration) {
	for len(g.pendingDrops) > 0 && g.pendingDrops[0].at <= now {
		g.dropOutput(g.pendingDrops[0].r)
		g.pendingDrops = g.pendingDrops[1:]
	}
}

// dropExcessOutputs drops the oldest outputs until the remaining ones fit into
// Options.MaxKeptBytes.
func (g *Gate) dropExcessOutputs() {
	for len(g.keptOutputs) > 0 && g.keptBytes > g.options.MaxKeptBytes {
		g.dropOutput(g.keptOutputs[0])
		g.keptOutputs = g.keptOutputs[1:]
	}
	if len(g.keptOutputs) > 2*g.keptCount+compactionSlack {
		g.keptOutputs = slices.DeleteFunc(g.keptOutputs, func(r *record) bool { return !r.outputKept })
	}
}

// forgetUnclaimed forgets settled idempotent attempts.
func (g *Gate) forgetUnclaimed(now time.Duration) {
	for len(g.settledUnclaimed) > 0 {
		r := g.settledUnclaimed[0]
		if len(g.settledUnclaimed) <= g.options.MaxUnclaimed && now-r.settledAt < g.options.KeepResult {
			return
		}
		g.settledUnclaimed = g.settledUnclaimed[1:]
		if !r.claimed() {
			g.forget(r)
		}
	}
}

// forgetKeyOnlyTombstones forgets tombstones of which only the key is known. The attempt
// of such a tombstone may be claimed. Its ticket is then not younger than the tombstone,
// because a cancellation comes after the probe. The tombstone is therefore kept for the
// ticket lifetime, after which the ticket has expired too. If it is forgotten earlier,
// because there are too many tombstones, the horizon is raised instead.
func (g *Gate) forgetKeyOnlyTombstones(now time.Duration) {
	for len(g.keyOnlyTombstones) > 0 {
		r := g.keyOnlyTombstones[0]
		expired := now-r.settledAt > g.options.TicketLifetime
		if !r.claimed() && !expired && len(g.keyOnlyTombstones) <= g.options.MaxUnclaimed {
			return
		}
		g.keyOnlyTombstones = g.keyOnlyTombstones[1:]
		if r.claimed() {
			continue
		}
		if !expired {
			g.horizon = max(g.horizon, r.settledAt)
		}
		g.forget(r)
	}
}

// forgetClaimed forgets settled claimed attempts and raises the horizon to their
// tickets, so that no caller is told later that such an attempt was not run.
func (g *Gate) forgetClaimed(now time.Duration) {
	for len(g.settledClaimed) > 0 {
		r := g.settledClaimed[0]
		if len(g.settledClaimed) <= g.options.MaxClaimed && now-r.settledAt < g.options.KeepClaimed {
			return
		}
		heap.Pop(&g.settledClaimed)
		g.horizon = max(g.horizon, r.ticket.Clock)
		g.forget(r)
	}
}

// forget removes a settled attempt.
func (g *Gate) forget(r *record) {
	g.chargeExpired(r)
	g.releaseOutput(r)
	delete(g.table, r.key)
	g.emit(Action{Kind: ActionForget, Key: r.key})
}
