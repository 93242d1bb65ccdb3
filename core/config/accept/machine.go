package accept

import (
	"fmt"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// step is where a run stands.
type step string

// The steps of a run.
const (
	stepReadHead    step = "read_head"
	stepLoad        step = "load"
	stepWriteParts  step = "write_parts"
	stepWriteChange step = "write_change"
	stepMoveHead    step = "move_head"
	stepSettle      step = "settle"
	stepWalk        step = "walk"
	stepDone        step = "done"
)

// Machine is one run of the protocol. It is not safe for concurrent use.
type Machine struct {
	request Request
	step    step
	// failures counts the calls in a row that failed; moves the updates sent of
	// the present next; rebases how often another operator was first; walked the
	// copies read in the present walk.
	failures int
	moves    int
	rebases  int
	walked   int

	// base is what the operator worked from; head is in force, with version as
	// the condition of its update (0 if there is none yet).
	base    *config.Snapshot
	head    *config.Snapshot
	headRaw config.Head
	version uint64

	// next is the head to be, with the parts still to be written.
	next  config.Head
	mine  config.Change
	parts []config.Part
	// unsettled is set once an update of the head to next may have taken effect.
	unsettled bool
	// cursor is the next copy to read in a walk.
	cursor string

	result Result
}

// New returns a run of the request.
func New(request Request) *Machine {
	return &Machine{request: request, step: stepReadHead, result: Result{ChangeID: request.ChangeID}}
}

// Result returns the end of the run, and whether it has ended.
func (m *Machine) Result() (Result, bool) { return m.result, m.step == stepDone }

// Next returns the call to carry out. It must not be called after the end.
func (m *Machine) Next() Action {
	action := m.action()
	action.Failures = max(m.failures, m.moves)
	return action
}

// action returns the call of the present step.
func (m *Machine) action() Action {
	switch m.step {
	case stepReadHead, stepSettle:
		return Action{Kind: ActionGet, Key: config.HeadKey}
	case stepLoad:
		hash, _ := m.missing()
		return Action{Kind: ActionGet, Key: config.PartKey(hash)}
	case stepWriteParts:
		return Action{Kind: ActionCreate, Key: config.PartKey(m.parts[0].Hash), Value: m.parts[0].Data}
	case stepWriteChange:
		return Action{Kind: ActionCreate, Key: m.next.Key(), Value: m.next.Encode()}
	case stepMoveHead:
		return m.moveHead()
	case stepWalk:
		return Action{Kind: ActionGet, Key: m.cursor}
	default:
		panic("accept: Next after the end")
	}
}

// moveHead returns the conditional write that accepts the change.
func (m *Machine) moveHead() Action {
	if m.version == 0 {
		return Action{Kind: ActionCreate, Key: config.HeadKey, Value: m.next.Encode()}
	}
	return Action{Kind: ActionUpdate, Key: config.HeadKey, Value: m.next.Encode(), Version: m.version}
}

// Handle takes the reply to the call that Next returned.
func (m *Machine) Handle(reply Reply) {
	if m.step == stepMoveHead && reply.Code != "" {
		m.moveFailed(reply)
		return
	}
	if failedForNow(reply.Code) {
		m.failed(reply)
		return
	}
	m.failures = 0
	switch m.step {
	case stepReadHead:
		m.headRead(reply)
	case stepLoad:
		m.partRead(reply)
	case stepWriteParts:
		m.partWritten(reply)
	case stepWriteChange:
		m.changeWritten(reply)
	case stepMoveHead:
		m.accepted()
	case stepSettle:
		m.settle(reply)
	case stepWalk:
		m.walk(reply)
	}
}

// failedForNow tells whether a call that is safe to repeat should be repeated.
func failedForNow(code fault.Code) bool {
	switch code {
	case "", fault.NotFound, fault.Conflict, fault.Invalid:
		return false
	}
	return true
}

// failed counts a call without an answer.
func (m *Machine) failed(reply Reply) {
	m.failures++
	if m.failures >= MaxFailures {
		m.giveUp(reply.Detail)
	}
}

// GiveUp ends the run, for instance because the operator's time is over.
func (m *Machine) GiveUp() {
	if m.step != stepDone {
		m.giveUp("given up at step " + string(m.step))
	}
}

// giveUp ends the run with what is known: only an unsettled update can have
// accepted the change.
func (m *Machine) giveUp(detail string) {
	outcome := Unavailable
	if m.unsettled {
		outcome = Ambiguous
	}
	m.end(outcome, detail)
}

// end closes the run.
func (m *Machine) end(outcome Outcome, detail string) {
	m.result.Outcome, m.result.Detail = outcome, detail
	m.step = stepDone
}

// broken ends the run because the store holds what the protocol never writes.
// An unsettled update stays ambiguous.
func (m *Machine) broken(format string, args ...any) {
	if m.unsettled {
		m.end(Ambiguous, fmt.Sprintf(format, args...))
		return
	}
	m.end(Failed, fmt.Sprintf(format, args...))
}

// partWritten goes on to the next part. Conflict means that the part exists,
// with the same content, as its name is the content's hash.
func (m *Machine) partWritten(reply Reply) {
	if reply.Code == fault.Invalid || reply.Code == fault.NotFound {
		m.broken("the store refuses part %s: %s", m.parts[0].Hash, reply.Detail)
		return
	}
	m.parts = m.parts[1:]
	if len(m.parts) == 0 {
		m.step = stepWriteChange
	}
}

// changeWritten goes on to the head. Conflict means that this run wrote the copy
// before and lost the answer: nobody else has its change id.
func (m *Machine) changeWritten(reply Reply) {
	if reply.Code == fault.Invalid || reply.Code == fault.NotFound {
		m.broken("the store refuses the copy of the head: %s", reply.Detail)
		return
	}
	m.step = stepMoveHead
}

// accepted ends the run well.
func (m *Machine) accepted() {
	m.unsettled = false
	m.result.Revision = m.next.Revision
	m.result.Items = m.mine.Items()
	m.end(Accepted, "")
}
