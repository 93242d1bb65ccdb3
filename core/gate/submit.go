package gate

import (
	"fmt"
	"time"

	"acaciawinch/core"
)

// Submit decides whether an attempt is admitted, and queues it if so.
func (g *Gate) Submit(now time.Duration, attempt Attempt) Decision {
	d := g.decide(now, attempt)
	d.Queued = g.queue.size
	d.Running = len(g.running)
	switch d.Verdict {
	case Admitted:
		g.enqueue(now, attempt)
	case Refused:
		g.leaveTombstone(now, attempt, d)
	}
	return d
}

// decide returns the decision on attempt. Its only side effect is that it may evict
// another attempt from a full queue.
func (g *Gate) decide(now time.Duration, attempt Attempt) Decision {
	if attempt.Key.Side != g.options.Incarnation {
		return refusal(ReasonIncarnation, 0, "the attempt is meant for another incarnation")
	}
	if known, ok := g.table[attempt.Key]; ok {
		return g.decideKnown(known, attempt.Ticket)
	}
	if d, ok := g.checkTicket(now, attempt.Ticket); !ok {
		return d
	}
	if d, ok := g.checkUpstream(now, attempt); !ok {
		return d
	}
	return g.decideAdmission(now, attempt)
}

// refusal returns a decision that refuses an attempt.
func refusal(reason Reason, retryAfter time.Duration, format string, args ...any) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// decideKnown returns the decision on an attempt that is in the table. It is never run
// again.
func (g *Gate) decideKnown(known *record, ticket *Ticket) Decision {
	if known.phase == phaseRefused {
		if g.mayMaskForgotten(known, ticket) {
			return Decision{Verdict: Gone, Reason: ReasonTicketExpired, Detail: "the ticket is at or before the horizon"}
		}
		return refusal(tombstoneReason(known), 0, "already refused: %s", known.detail)
	}
	if !known.sameTicket(ticket) {
		return Decision{Verdict: Gone, Reason: ReasonInvalid, Detail: "the attempt is known under another claim"}
	}
	if known.settled() && !known.outputKept {
		return Decision{Verdict: Gone, Detail: "the attempt has ended and its output is not kept"}
	}
	return Decision{Verdict: Attached}
}

// mayMaskForgotten reports whether a tombstone without a ticket may have replaced the
// record of a forgotten claimed attempt. In that case the tombstone doesn't prove that
// the attempt was not run.
func (g *Gate) mayMaskForgotten(known *record, ticket *Ticket) bool {
	return ticket != nil && !known.claimed() && ticket.Clock <= g.horizon
}

// tombstoneReason returns the reason with which a tombstone refuses an attempt.
func tombstoneReason(known *record) Reason {
	if known.reason == ReasonCancelled {
		return ReasonCancelled
	}
	return ReasonTombstone
}

// checkTicket returns true if an attempt is idempotent or certainly new. Otherwise it
// returns the decision that refuses it.
func (g *Gate) checkTicket(now time.Duration, ticket *Ticket) (Decision, bool) {
	switch {
	case ticket == nil:
		return Decision{}, true
	case ticket.Clock > now:
		return refusal(ReasonInvalid, 0, "the ticket is ahead of the sidecar's clock"), false
	case ticket.Clock <= g.horizon:
		return Decision{Verdict: Gone, Reason: ReasonTicketExpired, Detail: "the ticket is at or before the horizon"}, false
	case now-ticket.Clock > g.options.TicketLifetime:
		return refusal(ReasonTicketExpired, 0, "the ticket has expired: it is %s old", now-ticket.Clock), false
	}
	return Decision{}, true
}

// checkUpstream returns true if the upstream can accept an attempt now. Otherwise it
// returns the decision that refuses it.
func (g *Gate) checkUpstream(now time.Duration, attempt Attempt) (Decision, bool) {
	switch g.State() {
	case stateDraining, stateDrained:
		return refusal(ReasonDraining, 0, "the upstream is draining: %v", g.drain.sources), false
	case stateConnecting, stateStalled:
		if !g.trialDue(now) {
			return refusal(ReasonStalled, g.upstream.retryAfter(now), "%s", g.upstream.stallDetail()), false
		}
	}
	if !g.modelLoaded(now, attempt.Model, attempt.Version) {
		return refusal(ReasonModelNotLoaded, 0, "%s@%s is not loaded", attempt.Model, attempt.Version), false
	}
	return Decision{}, true
}

// waitMargin multiplies the expected wait before it is compared with the deadline.
// Attempts that arrive later may be served first, and an attempt that is refused now
// can still go to another upstream in time, while one that is refused from the queue
// can't.
const waitMargin = 3

// waitMarginFor returns the multiplier for an attempt. An attempt of a request that has
// already run a non-idempotent stage is admitted without a margin: refusing it would leave
// an unknown outcome, and the time that the margin of other attempts leaves free is meant
// for it. It has no precedence in the queue, so that the sharing between workspaces holds;
// popNext starts it early if its deadline is at risk.
func waitMarginFor(attempt Attempt) time.Duration {
	if attempt.Committed {
		return 1
	}
	return waitMargin
}

// decideAdmission admits attempt if it can finish in time and the queue has room or
// can evict another attempt.
func (g *Gate) decideAdmission(now time.Duration, attempt Attempt) Decision {
	if g.options.FIFO {
		return Decision{Verdict: Admitted}
	}
	priority := clampPriority(attempt.Priority)
	wait := g.expectedWait(now, attempt.Workspace, priority)
	service := g.estimateLatency(now).serviceTime(attempt.Cost)
	d := Decision{Verdict: Admitted, Wait: wait, Service: service}
	if attempt.Remaining <= 0 || service > attempt.Remaining {
		d.Verdict, d.Reason = Refused, ReasonDeadline
		d.Detail = "the remaining time is shorter than the expected service time"
		return d
	}
	margin := waitMarginFor(attempt)
	if late := margin*wait + service - attempt.Remaining; late > 0 {
		d.Verdict, d.Reason, d.RetryAfter = Refused, ReasonDeadline, late/margin
		d.Detail = "the expected queue wait exceeds the remaining time"
		return d
	}
	if g.queue.size < g.options.MaxQueued {
		return d
	}
	evicted := g.queue.evictionCandidate(attempt.Workspace, priority, max(1, attempt.Weight))
	if evicted == nil {
		d.Verdict, d.Reason, d.RetryAfter = Refused, ReasonQueueFull, g.nextSlotFree(now)
		d.Detail = "the queue is full"
		return d
	}
	g.refuseQueued(now, evicted, Decision{
		Reason:     ReasonQueueFull,
		RetryAfter: g.expectedWait(now, evicted.workspace, evicted.priority),
		Detail:     "evicted from the full queue for a workspace below its share",
	})
	return d
}

// clampPriority limits priority to the range of classes.
func clampPriority(priority int) int { return min(max(priority, MinPriority), MaxPriority) }

// enqueue adds an admitted attempt to the table and the queue. It has no reader
// until Watch is called.
func (g *Gate) enqueue(now time.Duration, attempt Attempt) {
	r := newRecord(attempt)
	if g.options.FIFO {
		r.workspace, r.priority = "", 0
	}
	g.sequence++
	r.sequence = g.sequence
	r.phase = phaseQueued
	r.queuedAt = now
	r.unwatchedSince = now
	r.deadline = now + attempt.Remaining
	g.table[r.key] = r
	g.queue.push(r)
}

// newRecord returns a record for attempt.
func newRecord(attempt Attempt) *record {
	return &record{
		key:       attempt.Key,
		workspace: attempt.Workspace,
		model:     modelName(attempt.Model, attempt.Version),
		ticket:    attempt.Ticket,
		priority:  clampPriority(attempt.Priority),
		weight:    max(1, attempt.Weight),
		cost:      max(1, attempt.Cost),
	}
}

// leaveTombstone adds or updates a tombstone for a claimed attempt that was refused.
// An attempt for another incarnation needs none, since it can never be accepted.
func (g *Gate) leaveTombstone(now time.Duration, attempt Attempt, d Decision) {
	if known, ok := g.table[attempt.Key]; ok {
		g.bindTombstone(now, known, attempt.Ticket)
		return
	}
	if attempt.Ticket == nil || d.Reason == ReasonIncarnation {
		return
	}
	g.addTombstone(now, newRecord(attempt), d.Reason, d.Detail)
}

// addTombstone adds a record of an attempt that must never run.
func (g *Gate) addTombstone(now time.Duration, r *record, reason Reason, detail string) {
	g.table[r.key] = r
	g.settle(now, r, phaseRefused, reason, detail)
}

// addKeyOnlyTombstone adds a tombstone for an attempt of which only the key is known,
// because it was cancelled or abandoned before it arrived.
func (g *Gate) addKeyOnlyTombstone(now time.Duration, key core.AttemptKey, detail string) {
	r := &record{key: key, keyOnly: true, weight: 1}
	g.addTombstone(now, r, ReasonCancelled, detail)
}
