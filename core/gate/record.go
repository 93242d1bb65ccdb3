package gate

import (
	"time"

	"acaciawinch/core"
)

// phase is the progress of an attempt.
type phase int

// The phases, in order. An attempt never returns to an earlier one.
const (
	phaseQueued phase = iota + 1
	phaseRunning
	// phaseDone: the output is complete.
	phaseDone
	// phaseFailed: passed to the upstream, without a result.
	phaseFailed
	// phaseRefused: not run and never run; the record is a tombstone.
	phaseRefused
)

// record is the gate's state of one attempt.
type record struct {
	key       core.AttemptKey
	workspace string
	// model is "model@version", empty if the upstream is not an engine.
	model string
	// ticket is nil for an idempotent attempt.
	ticket *Ticket
	// keyOnly is set on a tombstone of an attempt of which only the key is known. The
	// attempt may turn out to be claimed.
	keyOnly bool
	phase   phase
	// reason is set on a refused or failed attempt.
	reason Reason
	detail string

	priority int
	weight   int
	cost     float64
	sequence uint64

	queuedAt       time.Duration
	startedAt      time.Duration
	lastProgressAt time.Duration
	settledAt      time.Duration
	deadline       time.Duration
	chunks         int

	readers        int
	unwatchedSince time.Duration
	// stopCause is why the runtime was told to stop the attempt, empty if it was not.
	stopCause Cause

	// outputKept is set while the runtime keeps the output.
	outputKept  bool
	outputBytes int
	// passCost is the cost of the pass, which is charged to a cause once.
	passCost uint64
	charged  bool
	// delivered is set once a reader has received the complete output.
	delivered bool
}

// claimed reports whether the attempt belongs to a non-idempotent stage.
func (r *record) claimed() bool { return r.ticket != nil }

// settled reports whether the attempt has ended or was refused.
func (r *record) settled() bool { return r.phase >= phaseDone }

// sameTicket reports whether t identifies the same claimed attempt, or neither has a
// ticket.
func (r *record) sameTicket(t *Ticket) bool {
	if r.ticket == nil || t == nil {
		return r.ticket == nil && t == nil
	}
	return r.ticket.Nonce == t.Nonce
}
