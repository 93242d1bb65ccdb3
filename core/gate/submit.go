package gate

import (
	"fmt"
	"time"

	"acaciawinch/core"
)

// Submit decides about an attempt that asks to run.
func (g *Gate) Submit(now time.Duration, ask Ask) Decision {
	d := g.decide(now, ask)
	d.Queued = g.queue.size
	d.Running = len(g.running)
	switch d.Verdict {
	case Admitted:
		g.enqueue(now, ask)
	case Refused:
		g.bury(now, ask, d)
	}
	return d
}

// decide returns the verdict on ask. It changes nothing but that it may push
// another attempt out of a full queue.
func (g *Gate) decide(now time.Duration, ask Ask) Decision {
	if ask.Key.Side != g.options.Incarnation {
		return refusal(ReasonIncarnation, 0, "the attempt is meant for another incarnation")
	}
	if known, ok := g.table[ask.Key]; ok {
		return g.repeated(known, ask.Ticket)
	}
	if d, ok := g.checkTicket(now, ask.Ticket); !ok {
		return d
	}
	if d, ok := g.checkUpstream(now, ask); !ok {
		return d
	}
	return g.fit(now, ask)
}

// refusal returns a decision to refuse.
func refusal(reason Reason, retryAfter time.Duration, format string, args ...any) Decision {
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// repeated decides about an attempt that is known. It never runs again.
func (g *Gate) repeated(known *record, ticket *Ticket) Decision {
	if known.phase == phaseRefused {
		if g.mayHide(known, ticket) {
			return Decision{Verdict: Gone, Reason: ReasonTicketExpired, Detail: "the ticket is behind the horizon"}
		}
		return refusal(repeatedReason(known), 0, "refused before: %s", known.detail)
	}
	if !known.sameTicket(ticket) {
		return Decision{Verdict: Gone, Reason: ReasonInvalid, Detail: "the attempt is known under another claim"}
	}
	if known.settled() && !known.kept {
		return Decision{Verdict: Gone, Detail: "the attempt has ended and its output is not kept"}
	}
	return Decision{Verdict: Attached}
}

// mayHide tells whether a tombstone of which no ticket is known may stand where a
// claimed attempt was forgotten: then it proves nothing about that attempt.
func (g *Gate) mayHide(known *record, ticket *Ticket) bool {
	return ticket != nil && !known.claimed() && ticket.Clock <= g.horizon
}

// repeatedReason is the reason for which a tombstone refuses.
func repeatedReason(known *record) Reason {
	if known.reason == ReasonCancelled {
		return ReasonCancelled
	}
	return ReasonTombstone
}

// checkTicket refuses a claimed attempt that is not certainly new.
func (g *Gate) checkTicket(now time.Duration, ticket *Ticket) (Decision, bool) {
	switch {
	case ticket == nil:
		return Decision{}, true
	case ticket.Clock > now:
		return refusal(ReasonInvalid, 0, "the ticket is ahead of this side's clock"), false
	case ticket.Clock <= g.horizon:
		return Decision{Verdict: Gone, Reason: ReasonTicketExpired, Detail: "the ticket is behind the horizon"}, false
	case now-ticket.Clock > g.options.TicketLifetime:
		return refusal(ReasonTicketExpired, 0, "the ticket is %s old", now-ticket.Clock), false
	}
	return Decision{}, true
}

// checkUpstream refuses work that the upstream must not or can't take.
func (g *Gate) checkUpstream(now time.Duration, ask Ask) (Decision, bool) {
	switch g.State() {
	case stateDraining, stateDrained:
		return refusal(ReasonDraining, 0, "the upstream is draining: %v", g.drain.sources), false
	case stateConnecting, stateStalled:
		if !g.trialDue(now) {
			return refusal(ReasonStalled, g.upstream.retryAfter(now), "%s", g.upstream.describe()), false
		}
	}
	if !g.holds(now, ask.Model, ask.Version) {
		return refusal(ReasonModelNotLoaded, 0, "%s@%s is not loaded", ask.Model, ask.Version), false
	}
	return Decision{}, true
}

// waitMargin multiplies the expected wait before it is set against the deadline:
// attempts that come later may be served first, and an attempt that is refused
// now can still go elsewhere, while one that is refused in the queue cannot.
const waitMargin = 3

// marginOf returns the multiplier for an ask. Committed work is admitted up to the
// edge: to refuse it leaves an unknown outcome, and the room between the edge and
// the margin is kept for it. It has no turn before others, so that the sharing
// between workspaces holds; the urgent start brings it in before its deadline.
func marginOf(ask Ask) time.Duration {
	if ask.Committed {
		return 1
	}
	return waitMargin
}

// fit admits ask if it can be finished in time and finds a place in the queue.
func (g *Gate) fit(now time.Duration, ask Ask) Decision {
	if g.options.FIFO {
		return Decision{Verdict: Admitted}
	}
	priority := clampPriority(ask.Priority)
	wait := g.wait(now, ask.Workspace, priority)
	service := g.pace(now).service(ask.Cost)
	d := Decision{Verdict: Admitted, Wait: wait, Service: service}
	if ask.Remaining <= 0 || service > ask.Remaining {
		d.Verdict, d.Reason = Refused, ReasonDeadline
		d.Detail = "the deadline is shorter than the service time"
		return d
	}
	margin := marginOf(ask)
	if late := margin*wait + service - ask.Remaining; late > 0 {
		d.Verdict, d.Reason, d.RetryAfter = Refused, ReasonDeadline, late/margin
		d.Detail = "the queue is longer than the deadline"
		return d
	}
	if g.queue.size < g.options.MaxQueued {
		return d
	}
	victim := g.queue.victim(ask.Workspace, priority, max(1, ask.Weight))
	if victim == nil {
		d.Verdict, d.Reason, d.RetryAfter = Refused, ReasonQueueFull, g.placeAfter(now)
		d.Detail = "the queue is full"
		return d
	}
	g.refuseQueued(now, victim, Decision{
		Reason:     ReasonQueueFull,
		RetryAfter: g.wait(now, victim.workspace, victim.priority),
		Detail:     "gave way to a workspace below its share",
	})
	return d
}

// clampPriority returns priority within the range of classes.
func clampPriority(priority int) int { return min(max(priority, MinPriority), MaxPriority) }

// enqueue adds an admitted attempt to the table and the queue. It has no reader
// until Watch is called.
func (g *Gate) enqueue(now time.Duration, ask Ask) {
	r := newRecord(ask)
	if g.options.FIFO {
		r.workspace, r.priority = "", 0
	}
	g.sequence++
	r.sequence = g.sequence
	r.phase = phaseQueued
	r.queuedAt = now
	r.orphanSince = now
	r.deadline = now + ask.Remaining
	g.table[r.key] = r
	g.queue.push(r)
}

// newRecord returns the record of an ask.
func newRecord(ask Ask) *record {
	return &record{
		key:       ask.Key,
		workspace: ask.Workspace,
		model:     modelName(ask.Model, ask.Version),
		ticket:    ask.Ticket,
		priority:  clampPriority(ask.Priority),
		weight:    max(1, ask.Weight),
		cost:      max(1, ask.Cost),
	}
}

// bury leaves a tombstone of a claimed attempt that is refused for the first
// time. A wrong incarnation needs none, since it can never become right.
func (g *Gate) bury(now time.Duration, ask Ask, d Decision) {
	if known, ok := g.table[ask.Key]; ok {
		g.claimTombstone(now, known, ask.Ticket)
		return
	}
	if ask.Ticket == nil || d.Reason == ReasonIncarnation {
		return
	}
	g.addTombstone(now, newRecord(ask), d.Reason, d.Detail)
}

// addTombstone adds a record of an attempt that never runs.
func (g *Gate) addTombstone(now time.Duration, r *record, reason Reason, detail string) {
	g.table[r.key] = r
	g.settle(now, r, phaseRefused, reason, detail)
}

// mark remembers that an attempt of which only the key is known is never to be
// started, because it was cancelled or given up before it came.
func (g *Gate) mark(now time.Duration, key core.AttemptKey, detail string) {
	r := &record{key: key, mark: true, weight: 1}
	g.addTombstone(now, r, ReasonCancelled, detail)
}
