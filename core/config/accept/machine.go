package accept

import (
	"fmt"

	"acaciawinch/core/chart"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// changeChart is the state chart of a run, which defines the allowed transitions.
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
	eventHeadRead      chart.Event = "head_read"
	eventValid         chart.Event = "valid"
	eventNothingNew    chart.Event = "nothing_new"
	eventInvalid       chart.Event = "invalid"
	eventOverlap       chart.Event = "overlap"
	eventPartsWritten  chart.Event = "parts_written"
	eventWritten       chart.Event = "written"
	eventUnsettled     chart.Event = "unsettled"
	eventOwnChange     chart.Event = "own_change"
	eventHeadUnchanged chart.Event = "unmoved"
	eventOtherChange   chart.Event = "other_change"
	eventOvertaken     chart.Event = "overtaken"
	eventStoreDown     chart.Event = "store_down"
	eventAmbiguous     chart.Event = "ambiguous"
	eventBroken        chart.Event = "broken"
)

// outcomes maps the chart's final states to the outcomes reported to the operator.
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
	// failures counts the calls in a row that failed, headUpdates the updates sent for
	// the present nextHead, rebases the restarts on a new head, and copiesRead the
	// copies read to settle the present update.
	failures    int
	headUpdates int
	rebases     int
	copiesRead  int

	// base is the snapshot that the change is based on. current is the snapshot of
	// currentHead, the last head read as the one in force; headVersion is the version
	// on which its update is conditional (0 if there is no head yet).
	base        *config.Snapshot
	current     *config.Snapshot
	currentHead config.Head
	headVersion uint64

	// nextHead is the head to be written, ownChange the operator's change relative to
	// base, and pendingParts the parts that are still to be written.
	nextHead     config.Head
	ownChange    config.Change
	pendingParts []config.Part
	// copyWritten is set once the copy of nextHead is written. touching is set while
	// the first of pendingParts, which already exists, is being touched; foundVersion
	// is the version read of that part, and 0 before.
	copyWritten  bool
	touching     bool
	foundVersion uint64
	// unsettled is set once an update of the head to nextHead may have taken effect.
	unsettled bool
	// cursor is the key to read next while confirming: the head's, then those of older
	// copies.
	cursor string

	result Result
	// onTransition, if set, is called after each transition.
	onTransition func(chart.State, chart.Event)
}

// New returns a run of the request.
func New(request Request) *Machine {
	return &Machine{request: request, state: changeChart.Start(config.HeadKey), result: Result{ChangeID: request.ChangeID}}
}

// Result returns the result of the run, and whether the run has ended.
func (m *Machine) Result() (Result, bool) { return m.result, m.result.Outcome != "" }

// Next returns the call to carry out. It must not be called after the run has ended.
func (m *Machine) Next() Action {
	action := m.action()
	action.Failures = max(m.failures, m.headUpdates)
	return action
}

// Handle processes the reply to the call that Next returned.
func (m *Machine) Handle(reply Reply) {
	state := m.state.State()
	if state == stateAccepting {
		m.handleHeadUpdated(reply)
		return
	}
	if retryable(reply.Code) {
		m.countFailure(reply)
		return
	}
	m.failures = 0
	switch state {
	case stateReading:
		m.handleHeadRead(reply)
	case stateChecking:
		m.handlePartRead(reply)
	case stateWriting:
		m.handleWrite(reply)
	case stateConfirming:
		m.handleConfirmation(reply)
	}
}

// retryable reports whether an idempotent call that returned code is to be retried.
func retryable(code fault.Code) bool {
	switch code {
	case "", fault.NotFound, fault.Conflict, fault.Invalid:
		return false
	}
	return true
}

// countFailure counts a failed call, and gives up after MaxFailures in a row.
func (m *Machine) countFailure(reply Reply) {
	m.failures++
	if m.failures >= MaxFailures {
		m.giveUp(reply.Detail)
	}
}

// GiveUp ends the run, for example because the operator's deadline has passed.
func (m *Machine) GiveUp() {
	if m.result.Outcome == "" {
		m.giveUp("gave up while " + string(m.state.State()))
	}
}

// giveUp ends the run with the outcome that is certain: the change may be in force
// only if an update of the head is unsettled.
func (m *Machine) giveUp(detail string) {
	if m.unsettled {
		m.fire(eventAmbiguous, detail)
		return
	}
	m.fire(eventStoreDown, detail)
}

// failProtocol ends the run because the store violates the protocol. If an update of
// the head is unsettled, the outcome is ambiguous.
func (m *Machine) failProtocol(format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	if m.unsettled {
		m.fire(eventAmbiguous, detail)
		return
	}
	m.fire(eventBroken, detail)
}

// fire applies an event to the chart. In a final state the run ends with the detail.
// An event that the chart doesn't allow also ends the run, as failed, because the
// machine's state can't be trusted any more.
func (m *Machine) fire(event chart.Event, detail string) {
	from := m.state.State()
	if err := m.state.Fire(event); err != nil {
		m.result.Outcome, m.result.Detail = Failed, err.Error()
		return
	}
	if m.onTransition != nil {
		m.onTransition(from, event)
	}
	if m.state.Final() {
		m.result.Outcome, m.result.Detail = outcomes[m.state.State()], detail
	}
}

// handleWrite handles the reply to the write of the head's copy, or to a call on a part.
func (m *Machine) handleWrite(reply Reply) {
	switch {
	case reply.Code == fault.Invalid, reply.Code == fault.NotFound && !m.touching:
		m.failProtocol("the store refused %s: %s", m.nextWrite().Key, reply.Detail)
		return
	case !m.copyWritten:
		// Conflict means that this run has already written the copy, as no other run
		// has its change id.
		m.copyWritten = true
	case !m.touching:
		m.handlePartCreated(reply)
	case m.foundVersion == 0:
		m.handlePartVersion(reply)
	default:
		m.handlePartTouched(reply)
	}
	if m.copyWritten && len(m.pendingParts) == 0 {
		m.fire(eventPartsWritten, "")
	}
}

// handlePartCreated handles the reply to the creation of a part. Conflict means that the
// part exists, with the same content because its key is the content's hash; it must
// be touched.
func (m *Machine) handlePartCreated(reply Reply) {
	if reply.Code == fault.Conflict {
		m.touching = true
		return
	}
	m.nextPart()
}

// handlePartVersion handles the reply to the read of an existing part's version.
// NotFound means that the part was removed in the meantime: it is created again.
func (m *Machine) handlePartVersion(reply Reply) {
	if reply.Code == fault.NotFound {
		m.touching = false
		return
	}
	m.foundVersion = reply.Version
}

// handlePartTouched handles the reply to the touch of a part. Unless the touch succeeded,
// the part may have been removed, or touched by another run: it is created or touched
// again.
func (m *Machine) handlePartTouched(reply Reply) {
	m.foundVersion, m.touching = 0, false
	if reply.Code == "" {
		m.nextPart()
	}
}

// nextPart removes the first of the pending parts, which is written now.
func (m *Machine) nextPart() {
	m.pendingParts = m.pendingParts[1:]
}

// endAccepted records the revision and the items of the accepted change, and fires
// the event.
func (m *Machine) endAccepted(event chart.Event) {
	m.result.Revision = m.nextHead.Revision
	m.result.Items = m.ownChange.Items()
	m.fire(event, "")
}
