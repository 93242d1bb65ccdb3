package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
)

// attemptState tells how far an attempt is. The stage's chart holds the state of
// the stage; this one belongs to a single attempt of it.
type attemptState int

const (
	// choosing: an upstream is being chosen.
	choosing attemptState = iota
	// claiming: the claim of a chosen attempt is awaited.
	claiming
	// ready: the claim is held; the input is awaited.
	ready
	// sent: the attempt was dispatched or attached to; events are awaited.
	sent
	// resolving: the side is asked what became of the attempt.
	resolving
	// cancelling: the attempt was cancelled; proof that it won't start is awaited.
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
	// foreign marks a claimed attempt of another request with the same key, which
	// this one follows.
	foreign bool
	// dispatched is set once a Run may have left this process, and started once
	// the upstream is known to have it.
	dispatched bool
	started    bool
	// loose is set from the dispatch until the attempt is known to be over at its
	// side: finished, failed, refused, or cancelled with the side's word.
	loose bool
	// reattached is set if the present stream is an Attach.
	reattached bool
	// chosen and reported make sure that each choice is reported once.
	chosen   bool
	reported bool

	output attemptOutput

	sentAt    time.Time
	startedAt time.Time
	heardAt   time.Time
	chunkAt   time.Time
	// pingDue is when the side is asked whether it lives; pinging while an answer
	// is awaited; pingEvery doubles with each answer.
	pingDue   time.Time
	pingEvery time.Duration
	pinging   bool
	// stayUntil suppresses the silence bounds while no retry is allowed.
	stayUntil time.Time
	resolves  int
}

// attemptOutput checks the order and the digest of one attempt's chunks.
type attemptOutput struct {
	// next is the index of the next chunk.
	next   uint64
	digest *xxhash.Digest
	// pending holds chunks that came before their turn.
	pending map[uint64][]byte
	// closing is the closing event once it came.
	closing *Done
}

// newAttempt adds an attempt of s that waits for an upstream.
func (m *Machine) newAttempt(s *stage, cause Cause) *attempt {
	s.numbers++
	a := &attempt{
		id:     AttemptID(len(m.attempts)),
		stage:  s,
		cause:  cause,
		number: s.numbers,
		output: attemptOutput{digest: xxhash.New()},
	}
	m.attempts = append(m.attempts, a)
	return a
}

// find returns the attempt of an event, or nil if there is none.
func (m *Machine) find(id AttemptID) *attempt {
	if id < 0 || int(id) >= len(m.attempts) {
		return nil
	}
	return m.attempts[id]
}

// live tells whether events of the attempt's stream matter.
func (a *attempt) live() bool { return a.state == sent || a.state == resolving }

// others returns how many other attempts of the stage are live.
func (m *Machine) others(a *attempt) int {
	n := 0
	for _, other := range m.attempts {
		if other != a && other.stage == a.stage && other.live() {
			n++
		}
	}
	return n
}

// heard notes a sign of life of the attempt's side.
func (m *Machine) heard(a *attempt) {
	a.heardAt = m.now
	a.pingEvery = m.rules.PingAfter
	a.pingDue = m.now.Add(a.pingEvery)
}

// end ends the attempt and reports it if an upstream was chosen. Wasted is the
// cause of a pass that served no answer.
func (m *Machine) end(a *attempt, how End, wasted string) {
	a.state = ended
	m.report(a, how, wasted)
	if a.stage.leader == a && how != EndOK {
		a.stage.leader = nil
	}
}

// report tells how the attempt ended, once.
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
	m.do(r)
}

// cancel asks the side to end the attempt and waits for its word.
func (m *Machine) cancel(a *attempt, reason CancelReason, how End, detail string) {
	m.end(a, how, string(reason))
	a.state = cancelling
	m.do(Cancel{Attempt: a.id, Stage: a.stage.index, Reason: reason, Detail: detail})
}
