package gate

import (
	"time"

	"acaciawinch/core"
)

// Attach decides whether the caller can follow an attempt. It never starts one.
func (g *Gate) Attach(now time.Duration, key core.AttemptKey) Decision {
	if key.Side != g.options.Incarnation {
		return Decision{Verdict: Gone, Reason: ReasonIncarnation, Detail: "the attempt was meant for another incarnation"}
	}
	r, ok := g.table[key]
	if ok && !r.keyOnly {
		return g.decideKnown(r, r.ticket)
	}
	return g.attachUnknown(now, key)
}

// attachUnknown refuses to follow an attempt of which only the key is known. The
// refusal promises that the attempt is not run later, so it leaves a key-only
// tombstone. If any claimed attempt was ever forgotten, this may be that attempt, and
// nothing is promised.
func (g *Gate) attachUnknown(now time.Duration, key core.AttemptKey) Decision {
	if g.horizon != noHorizon {
		return Decision{Verdict: Gone, Reason: ReasonUnknownAttempt, Detail: "the attempt is unknown or has been forgotten"}
	}
	if _, known := g.table[key]; !known {
		g.addKeyOnlyTombstone(now, key, "abandoned before it arrived")
	}
	return refusal(ReasonUnknownAttempt, 0, "the attempt is unknown")
}

// Watch records that a reader follows the attempt.
func (g *Gate) Watch(key core.AttemptKey) {
	if r, ok := g.table[key]; ok {
		r.readers++
	}
}

// Unwatch records that a reader has left. The argument complete is set if the reader
// received the closing event.
func (g *Gate) Unwatch(now time.Duration, key core.AttemptKey, complete bool) {
	r, ok := g.table[key]
	if !ok || r.readers == 0 {
		return
	}
	r.readers--
	r.delivered = r.delivered || complete
	if r.readers == 0 {
		r.unwatchedSince = now
	}
}

// State is the state of a claimed attempt.
type State int

// The states that Resolve returns.
const (
	// StateDone: the output is complete and kept.
	StateDone State = iota + 1
	// StateRunning: the attempt waits or runs.
	StateRunning
	// StateNotRun: certainly not run, and never run from now on.
	StateNotRun
	// StateGone: the gate can't know the outcome, or no longer has the output.
	StateGone
	// StateFailed: passed to the upstream, without a result.
	StateFailed
)

// Resolve returns the state of a claimed attempt and an explanation. An attempt that
// was never received gets a tombstone, so that it will never run.
func (g *Gate) Resolve(now time.Duration, key core.AttemptKey, ticket Ticket) (State, string) {
	if key.Side != g.options.Incarnation {
		return StateGone, "the attempt belongs to another incarnation"
	}
	if r, ok := g.table[key]; ok {
		return g.resolveKnown(now, r, ticket)
	}
	if ticket.Clock <= g.horizon {
		return StateGone, "the ticket is at or before the horizon"
	}
	if ticket.Clock > now {
		return StateGone, "the ticket is ahead of the sidecar's clock"
	}
	r := &record{key: key, ticket: &ticket, weight: 1}
	g.addTombstone(now, r, ReasonTombstone, "resolved before it arrived")
	return StateNotRun, "never received; a tombstone prevents a later run"
}

// resolveKnown returns the state of an attempt in the table.
func (g *Gate) resolveKnown(now time.Duration, r *record, ticket Ticket) (State, string) {
	if r.phase == phaseRefused {
		if g.mayMaskForgotten(r, &ticket) {
			return StateGone, "the ticket is at or before the horizon"
		}
		g.bindTombstone(now, r, &ticket)
		return StateNotRun, r.detail
	}
	if !r.sameTicket(&ticket) {
		return StateGone, "the attempt is known under another claim"
	}
	switch r.phase {
	case phaseQueued, phaseRunning:
		return StateRunning, ""
	case phaseDone:
		if r.outputKept {
			return StateDone, ""
		}
		return StateGone, "the output is no longer kept"
	}
	return StateFailed, r.detail
}
