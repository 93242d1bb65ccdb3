package accept

import (
	"fmt"

	"acaciawinch/core/chart"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// changeChart is interpreted by every run; it is the page of what may follow what.
var changeChart = chart.MustLoad("config_change")

// The chart's states in which a run makes calls.
const (
	stateReading    chart.State = "reading"
	stateChecking   chart.State = "checking"
	stateWriting    chart.State = "writing"
	stateAccepting  chart.State = "accepting"
	stateConfirming chart.State = "confirming"
)

// The chart's events.
const (
	eventHeadRead     chart.Event = "head_read"
	eventValid        chart.Event = "valid"
	eventNothingNew   chart.Event = "nothing_new"
	eventInvalid      chart.Event = "invalid"
	eventOverlap      chart.Event = "overlap"
	eventPartsWritten chart.Event = "parts_written"
	eventWritten      chart.Event = "written"
	eventUnsettled    chart.Event = "unsettled"
	eventOwnChange    chart.Event = "own_change"
	eventUnmoved      chart.Event = "unmoved"
	eventOtherChange  chart.Event = "other_change"
	eventOvertaken    chart.Event = "overtaken"
	eventStoreDown    chart.Event = "store_down"
	eventAmbiguous    chart.Event = "ambiguous"
	eventBroken       chart.Event = "broken"
)

// outcomes are what the chart's final states mean to the operator.
var outcomes = map[chart.State]Outcome{
	"accepted":    Accepted,
	"unchanged":   Unchanged,
	"conflict":    Conflict,
	"rejected":    Invalid,
	"unavailable": Unavailable,
	"unknown":     Ambiguous,
	"failed":      Failed,
}

// Machine is one run of the protocol. It is not safe for concurrent use.
type Machine struct {
	request Request
	state   *chart.Machine
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
	// copied is set once the copy of next was written. touching is set while the
	// first of parts, which exists, is being touched; found is the version read of
	// it, 0 before.
	copied   bool
	touching bool
	found    uint64
	// unsettled is set once an update of the head to next may have taken effect.
	unsettled bool
	// cursor is what is read next while confirming: the head, then older copies.
	cursor string

	result Result
	// fired, if set, is told of each event that the chart allowed.
	fired func(chart.State, chart.Event)
}

// New returns a run of the request.
func New(request Request) *Machine {
	return &Machine{request: request, state: changeChart.Start(config.HeadKey), result: Result{ChangeID: request.ChangeID}}
}

// Result returns the end of the run, and whether it has ended.
func (m *Machine) Result() (Result, bool) { return m.result, m.result.Outcome != "" }

// Next returns the call to carry out. It must not be called after the end.
func (m *Machine) Next() Action {
	action := m.action()
	action.Failures = max(m.failures, m.moves)
	return action
}

// Handle takes the reply to the call that Next returned.
func (m *Machine) Handle(reply Reply) {
	state := m.state.State()
	if state == stateAccepting {
		m.moved(reply)
		return
	}
	if failedForNow(reply.Code) {
		m.failed(reply)
		return
	}
	m.failures = 0
	switch state {
	case stateReading:
		m.headRead(reply)
	case stateChecking:
		m.partRead(reply)
	case stateWriting:
		m.written(reply)
	case stateConfirming:
		m.confirm(reply)
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
	if m.result.Outcome == "" {
		m.giveUp("given up while " + string(m.state.State()))
	}
}

// giveUp ends the run with what is known: only an unsettled update can have
// accepted the change.
func (m *Machine) giveUp(detail string) {
	if m.unsettled {
		m.fire(eventAmbiguous, detail)
		return
	}
	m.fire(eventStoreDown, detail)
}

// broken ends the run because the store holds what the protocol never writes.
// An unsettled update stays ambiguous.
func (m *Machine) broken(format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	if m.unsettled {
		m.fire(eventAmbiguous, detail)
		return
	}
	m.fire(eventBroken, detail)
}

// fire takes an event of the chart. In a final state the run ends with the
// detail. An event that the chart doesn't allow ends it too: what the code holds
// of the run is then not to be trusted.
func (m *Machine) fire(event chart.Event, detail string) {
	from := m.state.State()
	if err := m.state.Fire(event); err != nil {
		m.result.Outcome, m.result.Detail = Failed, err.Error()
		return
	}
	if m.fired != nil {
		m.fired(from, event)
	}
	if m.state.Final() {
		m.result.Outcome, m.result.Detail = outcomes[m.state.State()], detail
	}
}

// written goes on behind the copy of the head, or a call on a part.
func (m *Machine) written(reply Reply) {
	switch {
	case reply.Code == fault.Invalid, reply.Code == fault.NotFound && !m.touching:
		m.broken("the store refuses %s: %s", m.writeNext().Key, reply.Detail)
		return
	case !m.copied:
		// Conflict means that this run wrote it before: nobody else has its change id.
		m.copied = true
	case !m.touching:
		m.created(reply)
	case m.found == 0:
		m.partFound(reply)
	default:
		m.touched(reply)
	}
	if m.copied && len(m.parts) == 0 {
		m.fire(eventPartsWritten, "")
	}
}

// created goes on behind the creation of a part. Conflict means that it exists
// with the same content, as it is named by its content; it must be touched.
func (m *Machine) created(reply Reply) {
	if reply.Code == fault.Conflict {
		m.touching = true
		return
	}
	m.partWritten()
}

// partFound takes the version of a part that exists. NotFound means that it was
// removed in between: it is created anew.
func (m *Machine) partFound(reply Reply) {
	if reply.Code == fault.NotFound {
		m.touching = false
		return
	}
	m.found = reply.Version
}

// touched goes on behind the touch of a part. Unless it plainly succeeded, the
// part was removed or touched by another: it is created or touched anew.
func (m *Machine) touched(reply Reply) {
	m.found, m.touching = 0, false
	if reply.Code == "" {
		m.partWritten()
	}
}

// partWritten goes on to the next part.
func (m *Machine) partWritten() {
	m.parts = m.parts[1:]
}

// accepted notes what the run achieved.
func (m *Machine) accepted(event chart.Event) {
	m.result.Revision = m.next.Revision
	m.result.Items = m.mine.Items()
	m.fire(event, "")
}
