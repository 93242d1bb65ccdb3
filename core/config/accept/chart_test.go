package accept

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/chart"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// transition is a transition of the chart.
type transition struct {
	from  chart.State
	event chart.Event
}

// transitionCounts counts the transitions that runs took.
type transitionCounts map[transition]int

// machine returns a run whose transitions are counted.
func (m transitionCounts) machine(request Request) *Machine {
	machine := New(request)
	machine.onTransition = func(from chart.State, event chart.Event) { m[transition{from, event}]++ }
	return machine
}

// calledStates are the states in which a run makes calls.
var calledStates = []chart.State{stateReading, stateChecking, stateWriting, stateAccepting, stateConfirming}

// machineAt returns a run in the given state, and its store without faults. If
// unsettled is set, an update of the head may have taken effect.
func (m transitionCounts) machineAt(t *testing.T, state chart.State, unsettled bool) (*Machine, *fakeStore) {
	s := newReliableStore(t)
	machine := m.machine(Request{ChangeID: "mine", Change: config.Change{Drain: []string{"u"}}})
	if unsettled {
		m.runUntil(t, s, machine, stateAccepting)
		machine.Handle(Reply{Code: fault.Ambiguous})
	}
	if state == stateConfirming && !unsettled {
		m.runUntil(t, s, machine, stateAccepting)
		machine.Handle(Reply{Code: fault.Unavailable})
	}
	m.runUntil(t, s, machine, state)
	return machine, s
}

// runUntil carries out calls until the machine is in the given state.
func (m transitionCounts) runUntil(t *testing.T, s *fakeStore, machine *Machine, state chart.State) {
	for machine.state.State() != state {
		_, ended := machine.Result()
		assert.Assert(t, !ended)
		machine.Handle(s.apply(machine.Next()))
	}
}

// checkOutcome checks that a run has ended with the given outcome.
func checkOutcome(t *testing.T, machine *Machine, want Outcome) {
	t.Helper()
	result, ended := machine.Result()
	assert.Assert(t, ended)
	assert.Equal(t, result.Outcome, want, result.Detail)
}

// unexpectedReply returns a reply that violates the protocol in the given state.
func unexpectedReply(state chart.State) Reply {
	if state == stateWriting || state == stateAccepting {
		return Reply{Code: fault.Invalid}
	}
	return Reply{Value: []byte("garbage"), Version: 99}
}

// TestEveryTransitionIsTaken causes each transition of the chart and checks the outcome
// of the run.
func TestEveryTransitionIsTaken(t *testing.T) {
	taken := transitionCounts{}
	for _, state := range calledStates {
		machine, _ := taken.machineAt(t, state, false)
		machine.GiveUp()
		checkOutcome(t, machine, Unavailable)
		machine, _ = taken.machineAt(t, state, false)
		machine.Handle(unexpectedReply(state))
		checkOutcome(t, machine, Failed)
	}
	for _, state := range []chart.State{stateAccepting, stateConfirming} {
		machine, _ := taken.machineAt(t, state, true)
		machine.GiveUp()
		checkOutcome(t, machine, Ambiguous)
		machine, _ = taken.machineAt(t, state, true)
		machine.Handle(unexpectedReply(state))
		checkOutcome(t, machine, Ambiguous)
	}
	taken.endWithoutFaults(t)
	taken.overtakeUntilEnd(t)
	for _, chartTransition := range changeChart.Transitions {
		assert.Assert(t, taken[transition{chartTransition.From, chartTransition.Event}] > 0, "%s in %s", chartTransition.Event, chartTransition.From)
	}
}

// endWithoutFaults causes the outcomes that need no faults, and a lost response.
func (m transitionCounts) endWithoutFaults(t *testing.T) {
	s := newReliableStore(t)
	base := headOf(t, s)
	for _, c := range []struct {
		change config.Change
		want   Outcome
	}{
		{config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2, "p")}}, Accepted},
		{config.Change{PutWorkspaces: []config.Workspace{workspace("w", 1, "p")}}, Unchanged},
		{config.Change{PutWorkspaces: []config.Workspace{workspace("w", 3, "p")}}, Conflict},
		{config.Change{PutWorkspaces: []config.Workspace{workspace("v", 0, "p")}}, Invalid},
	} {
		machine := m.machine(Request{ChangeID: fmt.Sprint(c.want), Change: c.change, Base: base})
		m.runToEnd(s, machine)
		checkOutcome(t, machine, c.want)
	}
	machine, store := m.machineAt(t, stateAccepting, false)
	store.apply(machine.Next())
	machine.Handle(Reply{Code: fault.Ambiguous})
	m.runToEnd(store, machine)
	checkOutcome(t, machine, Accepted)
}

// runToEnd carries out calls until the run has ended.
func (m transitionCounts) runToEnd(s *fakeStore, machine *Machine) {
	for {
		if _, ended := machine.Result(); ended {
			return
		}
		machine.Handle(s.apply(machine.Next()))
	}
}

// overtakeUntilEnd lets other operators' changes be accepted first until the run gives
// up.
func (m transitionCounts) overtakeUntilEnd(t *testing.T) {
	machine, s := m.machineAt(t, stateAccepting, false)
	for i := range MaxRebases + 1 {
		c := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2+i, "p")}}
		assert.Equal(t, drive(s, Request{ChangeID: fmt.Sprint("first", i), Change: c}).Outcome, Accepted)
		machine.Handle(s.apply(machine.Next()))
		if i < MaxRebases {
			m.runUntil(t, s, machine, stateAccepting)
		}
	}
	m.runToEnd(s, machine)
	checkOutcome(t, machine, Conflict)
}
