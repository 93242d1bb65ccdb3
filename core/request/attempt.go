package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
)

// attemptState is the state of a single attempt. The state of its stage is kept by
// the stage's state chart.
type attemptState int

// The states of an attempt.
const (
	// choosing: an upstream is being chosen.
	choosing attemptState = iota
	// claiming: an upstream was chosen; the response to the claim is awaited.
	claiming
	// ready: an upstream is chosen and any claim is held; the stage's input or the
	// check of the later stages is awaited.
	ready
	// sent: the attempt was dispatched or attached to; events are awaited.
	sent
	// resolving: the sidecar is being queried for the outcome of the attempt.
	resolving
	// cancelling: the attempt was cancelled; proof that it will not start is awaited.
	cancelling
	// ended: nothing is awaited.
	ended
)

// attempt is one attempt of one stage.
type attempt struct {
	id     AttemptID
	stage  *stage
	cause  Cause
	number uint32
	state  attemptState

	upstream core.UpstreamID
	expected time.Duration
	// foreign marks a claimed attempt of another request with the same idempotency
	// key, to which this request is attached.
	foreign bool
	// dispatched is set once a Run may have left this process, started once the
	// upstream is known to have the attempt.
	dispatched bool
	started    bool
	// outstanding is set from the dispatch until the attempt is known to have ended
	// at its sidecar: finished, failed, refused, or cancelled with confirmation.
	outstanding bool
	// reattached is set if the current stream was opened by an Attach.
	reattached bool
	// chosen and reported ensure that each choice gets exactly one Report.
	chosen   bool
	reported bool

	output attemptOutput

	sentAt    time.Time
	startedAt time.Time
	// lastSeen is when the sidecar last gave a sign of life, and chunkAt when the last
	// chunk was accepted.
	lastSeen time.Time
	chunkAt  time.Time
	// pingDue is when the sidecar is pinged next; pinging is set while a response is
	// awaited; pingEvery doubles with each response.
	pingDue   time.Time
	pingEvery time.Duration
	pinging   bool
	// keepUntil is the time before which the attempt is not replaced for silence,
	// because no retry was allowed.
	keepUntil time.Time
	// resolveTries counts the Resolve calls.
	resolveTries int
}

// attemptOutput is the state by which the order and the digest of one attempt's chunks
// are checked.
type attemptOutput struct {
	// next is the index of the next chunk.
	next   uint64
	digest *xxhash.Digest
	// pending holds chunks that arrived before an earlier one.
	pending map[uint64][]byte
	// closing is the closing event, once received.
	closing *Done
}

// newAttempt adds an attempt of s in state choosing.
func (m *Machine) newAttempt(s *stage, cause Cause) *attempt {
	s.attemptCount++
	a := &attempt{
		id:     AttemptID(len(m.attempts)),
		stage:  s,
		cause:  cause,
		number: s.attemptCount,
		output: attemptOutput{digest: xxhash.New()},
	}
	m.attempts = append(m.attempts, a)
	return a
}

// findAttempt returns the attempt with the given ID, or nil if there is none.
func (m *Machine) findAttempt(id AttemptID) *attempt {
	if id < 0 || int(id) >= len(m.attempts) {
		return nil
	}
	return m.attempts[id]
}

// live reports whether the attempt is sent or resolving.
func (a *attempt) live() bool { return a.state == sent || a.state == resolving }

// liveOthers returns how many other attempts of the stage are live.
func (m *Machine) liveOthers(a *attempt) int {
	n := 0
	for _, other := range m.attempts {
		if other != a && other.stage == a.stage && other.live() {
			n++
		}
	}
	return n
}

// markSeen records that the attempt's sidecar is alive and delays the next ping.
func (m *Machine) markSeen(a *attempt) {
	a.lastSeen = m.now
	a.pingEvery = m.rules.PingAfter
	a.pingDue = m.now.Add(a.pingEvery)
}

// end ends the attempt and reports it if an upstream was chosen. The argument
// wasted is the reason why the attempt's work contributed to no answer.
func (m *Machine) end(a *attempt, how End, wasted string) {
	a.state = ended
	m.report(a, how, wasted)
	if a.stage.leader == a && how != EndOK {
		a.stage.leader = nil
	}
}

// report adds the Report of the attempt to the actions, once.
func (m *Machine) report(a *attempt, how End, wasted string) {
	if !a.chosen || a.reported {
		return
	}
	a.reported = true
	r := Report{Attempt: a.id, Stage: a.stage.index, End: how, Sent: a.dispatched}
	if a.dispatched {
		r.Duration = m.now.Sub(a.sentAt)
	}
	if a.started {
		r.Wasted = wasted
	}
	m.addAction(r)
}

// cancel requests that the sidecar cancel the attempt, and awaits its confirmation.
func (m *Machine) cancel(a *attempt, reason CancelReason, how End, detail string) {
	m.end(a, how, string(reason))
	a.state = cancelling
	m.addAction(Cancel{Attempt: a.id, Stage: a.stage.index, Reason: reason, Detail: detail})
}
