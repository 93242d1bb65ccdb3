package gate

import (
	"time"

	"acaciawinch/core"
)

// Attach decides whether the asker can follow an attempt. It never starts one.
func (g *Gate) Attach(now time.Duration, key core.AttemptKey) Decision {
	if key.Side != g.options.Incarnation {
		return Decision{Verdict: Gone, Reason: ReasonIncarnation, Detail: "the attempt was meant for another incarnation"}
	}
	r, ok := g.table[key]
	if ok && !r.mark {
		return g.repeated(r, r.ticket)
	}
	return g.attachUnknown(now, key)
}

// attachUnknown refuses to follow an attempt of which no more than the key is
// known. A refusal promises that it is not run later, so that it leaves a mark. If
// a claimed attempt has ever been forgotten then this may be it, and nothing is
// promised.
func (g *Gate) attachUnknown(now time.Duration, key core.AttemptKey) Decision {
	if g.horizon != nothingForgotten {
		return Decision{Verdict: Gone, Reason: ReasonUnknownAttempt, Detail: "the attempt is not known, or no more"}
	}
	if _, marked := g.table[key]; !marked {
		g.mark(now, key, "given up before it came")
	}
	return refusal(ReasonUnknownAttempt, 0, "the attempt is not known")
}

// Watch notes that a reader follows the attempt.
func (g *Gate) Watch(key core.AttemptKey) {
	if r, ok := g.table[key]; ok {
		r.readers++
	}
}

// Unwatch notes that a reader left. Complete tells that it got the closing event.
func (g *Gate) Unwatch(now time.Duration, key core.AttemptKey, complete bool) {
	r, ok := g.table[key]
	if !ok || r.readers == 0 {
		return
	}
	r.readers--
	r.delivered = r.delivered || complete
	if r.readers == 0 {
		r.orphanSince = now
	}
}

// State is what became of a claimed attempt.
type State int

// The states that Resolve tells.
const (
	// StateDone: the output is complete and kept.
	StateDone State = iota + 1
	// StateRunning: the attempt waits or runs.
	StateRunning
	// StateNotRun: proved not run, and never run from now on.
	StateNotRun
	// StateGone: the gate can't know, or no longer has the output.
	StateGone
	// StateFailed: handed to the upstream, without a result.
	StateFailed
)

// Resolve tells what became of a claimed attempt. One that was never seen gets a
// tombstone, which turns "not run so far" into "never run".
func (g *Gate) Resolve(now time.Duration, key core.AttemptKey, ticket Ticket) (State, string) {
	if key.Side != g.options.Incarnation {
		return StateGone, "another incarnation"
	}
	if r, ok := g.table[key]; ok {
		return g.resolveKnown(now, r, ticket)
	}
	if ticket.Clock <= g.horizon {
		return StateGone, "the ticket is behind the horizon"
	}
	if ticket.Clock > now {
		return StateGone, "the ticket is ahead of this side's clock"
	}
	r := &record{key: key, ticket: &ticket, weight: 1}
	g.addTombstone(now, r, ReasonTombstone, "resolved before it came")
	return StateNotRun, "never seen; a tombstone refuses it from now on"
}

// resolveKnown tells what became of an attempt in the table.
func (g *Gate) resolveKnown(now time.Duration, r *record, ticket Ticket) (State, string) {
	if r.phase == phaseRefused {
		if g.mayHide(r, &ticket) {
			return StateGone, "the ticket is behind the horizon"
		}
		g.claimTombstone(now, r, &ticket)
		return StateNotRun, r.detail
	}
	if !r.sameTicket(&ticket) {
		return StateGone, "the attempt is known under another claim"
	}
	switch r.phase {
	case phaseQueued, phaseRunning:
		return StateRunning, ""
	case phaseDone:
		if r.kept {
			return StateDone, ""
		}
		return StateGone, "the output is no longer kept"
	}
	return StateFailed, r.detail
}
