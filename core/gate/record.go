package gate

import (
	"time"

	"acaciawinch/core"
)

// phase is how far an attempt came.
type phase int

// The phases of an attempt. It only moves down this list.
const (
	phaseQueued phase = iota + 1
	phaseRunning
	// phaseDone: the output is complete.
	phaseDone
	// phaseFailed: handed to the upstream, without a result.
	phaseFailed
	// phaseRefused: not run and never run; such a record is a tombstone.
	phaseRefused
)

// record is what the gate knows of one attempt.
type record struct {
	key       core.AttemptKey
	workspace string
	// model is "model@version", empty if the upstream is no engine.
	model string
	// ticket is nil for an idempotent attempt.
	ticket *Ticket
	// mark is set on a tombstone of an attempt of which only the key is known, so
	// that it may turn out to be claimed.
	mark  bool
	phase phase
	// reason is the one of a refused attempt.
	reason Reason
	detail string

	priority int
	weight   int
	cost     float64
	sequence uint64

	queuedAt  time.Duration
	startedAt time.Duration
	lastAt    time.Duration
	settledAt time.Duration
	deadline  time.Duration
	chunks    int

	readers     int
	orphanSince time.Duration
	// stopped is the cause for which the runtime was told to stop the attempt.
	stopped Cause

	// kept is set while the runtime holds the output.
	kept  bool
	bytes int
	// spent is the cost of the pass, charged to a cause once.
	spent     uint64
	charged   bool
	delivered bool
}

// claimed tells whether the attempt is of a non-idempotent stage.
func (r *record) claimed() bool { return r.ticket != nil }

// settled tells whether the attempt has come to its end.
func (r *record) settled() bool { return r.phase >= phaseDone }

// sameTicket tells whether t identifies the same claimed attempt, or both are
// idempotent.
func (r *record) sameTicket(t *Ticket) bool {
	if r.ticket == nil || t == nil {
		return r.ticket == nil && t == nil
	}
	return r.ticket.Nonce == t.Nonce
}
