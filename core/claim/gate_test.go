package claim_test

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/core/gate"
)

// gateSidecar is a sidecar that uses the real gate for its decisions. One tick is a
// millisecond of the gate's clock.
type gateSidecar struct {
	incarnation core.Incarnation
	gate        *gate.Gate
	now         time.Duration
	records     map[core.AttemptKey]claim.Record
	running     []core.AttemptKey
}

// newGateSidecar returns a gateSidecar whose limits are so small that it evicts attempts
// within an interleaving.
func newGateSidecar(incarnation core.Incarnation) sidecar {
	s := &gateSidecar{incarnation: incarnation, now: time.Millisecond, records: make(map[core.AttemptKey]claim.Record)}
	s.gate = gate.New(gate.Options{
		Upstream:       "u",
		Incarnation:    incarnation,
		Capacity:       1,
		TicketLifetime: ticketLifetime * time.Millisecond,
		KeepResult:     2 * time.Millisecond,
		KeepClaimed:    (ticketLifetime + 2) * time.Millisecond,
		MaxClaimed:     3,
		MaxQueued:      2,
		ClaimedOverrun: time.Hour,
		StallMin:       time.Hour,
		StallMax:       time.Hour,
	})
	s.gate.ObserveReport(s.now, gate.Report{})
	return s
}

// id implements sidecar.
func (s *gateSidecar) id() core.Incarnation { return s.incarnation }

// clock implements sidecar.
func (s *gateSidecar) clock() uint64 { return uint64(s.now.Microseconds()) }

// ticketOf returns the ticket of a claim for the gate.
func ticketOf(record claim.Record) gate.Ticket {
	clock := time.Duration(record.Target.SidecarClockUS) * time.Microsecond
	return gate.Ticket{Nonce: record.Nonce, Clock: clock}
}

// run implements sidecar.
func (s *gateSidecar) run(w *world, record claim.Record) dispatchOutcome {
	ticket := ticketOf(record)
	key := record.AttemptKey()
	decision := s.gate.Submit(s.now, gate.Attempt{
		Key: key, Workspace: "w", Ticket: &ticket, Remaining: time.Hour, Weight: 1, Cost: 1,
	})
	switch decision.Verdict {
	case gate.Admitted:
		s.records[key] = record
	case gate.Refused:
		return refused
	default:
		return unclear
	}
	s.advance(w)
	return admitted
}

// advance carries out the actions that the gate returns.
func (s *gateSidecar) advance(w *world) {
	for _, action := range s.gate.Advance(s.now) {
		switch action.Kind {
		case gate.ActionStart:
			s.running = append(s.running, action.Key)
			w.execute(s.records[action.Key])
		case gate.ActionDrop, gate.ActionForget:
			w.lossy = true
		}
	}
	if err := s.gate.Fault(); err != nil {
		w.fail("gate: %v", err)
	}
}

// resolve implements sidecar.
func (s *gateSidecar) resolve(w *world, record claim.Record) claim.SidecarResponse {
	state, _ := s.gate.Resolve(s.now, record.AttemptKey(), ticketOf(record))
	s.advance(w)
	response := claim.SidecarResponse{Incarnation: s.incarnation, State: sidecarStates[state]}
	if state == gate.StateDone {
		response.Chunks = resultOf(s.records[record.AttemptKey()])
	}
	return response
}

// sidecarStates maps the states of the gate to those of a sidecar's response.
var sidecarStates = map[gate.State]claim.SidecarState{
	gate.StateDone:    claim.SidecarDone,
	gate.StateRunning: claim.SidecarRunning,
	gate.StateNotRun:  claim.SidecarNotRun,
	gate.StateFailed:  claim.SidecarFailed,
	gate.StateGone:    claim.SidecarGone,
}

// tick implements sidecar.
func (s *gateSidecar) tick(ticks uint64) { s.now += time.Duration(ticks) * time.Millisecond }

// evict implements sidecar. The gate evicts attempts by its own limits.
func (s *gateSidecar) evict(w *world) { s.advance(w) }

// endRuns implements sidecar.
func (s *gateSidecar) endRuns(w *world, failed bool) {
	kind := gate.EndDone
	if failed {
		kind = gate.EndFailed
		w.lossy = w.lossy || len(s.running) > 0
	}
	for _, key := range s.running {
		s.gate.Finish(s.now, key, gate.Ending{Kind: kind, Cost: 1, Bytes: 1})
	}
	s.running = nil
	s.advance(w)
}

// follow implements sidecar.
func (s *gateSidecar) follow(record claim.Record) claim.SidecarState {
	state, _ := s.gate.Resolve(s.now, record.AttemptKey(), ticketOf(record))
	return sidecarStates[state]
}
