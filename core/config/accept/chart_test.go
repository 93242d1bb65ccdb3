package accept

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/chart"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// move is a transition of the chart.
type move struct {
	from  chart.State
	event chart.Event
}

// moves counts the transitions that some runs took.
type moves map[move]int

// machine returns a run whose transitions are counted.
func (m moves) machine(request Request) *Machine {
	machine := New(request)
	machine.fired = func(from chart.State, event chart.Event) { m[move{from, event}]++ }
	return machine
}

// calledStates are the states in which a run makes calls.
var calledStates = []chart.State{stateReading, stateChecking, stateWriting, stateAccepting, stateConfirming}

// at returns a run that came to a state of a quiet store. If unsettled is set, an
// update may have taken effect.
func (m moves) at(t *testing.T, state chart.State, unsettled bool) (*Machine, *fakeStore) {
	s := quiet(t)
	machine := m.machine(Request{ChangeID: "mine", Change: config.Change{Drain: []string{"u"}}})
	if unsettled {
		m.run(t, s, machine, stateAccepting)
		machine.Handle(Reply{Code: fault.Ambiguous})
	}
	if state == stateConfirming && !unsettled {
		m.run(t, s, machine, stateAccepting)
		machine.Handle(Reply{Code: fault.Unavailable})
	}
	m.run(t, s, machine, state)
	return machine, s
}

// run carries out calls until the machine is in a state.
func (m moves) run(t *testing.T, s *fakeStore, machine *Machine, state chart.State) {
	for machine.state.State() != state {
		_, ended := machine.Result()
		assert.Assert(t, !ended)
		machine.Handle(s.apply(machine.Next()))
	}
}

// ends checks how a run ended.
func ends(t *testing.T, machine *Machine, want Outcome) {
	t.Helper()
	result, ended := machine.Result()
	assert.Assert(t, ended)
	assert.Equal(t, result.Outcome, want, result.Detail)
}

// garbage is a reply that no state expects.
func garbage(state chart.State) Reply {
	if state == stateWriting || state == stateAccepting {
		return Reply{Code: fault.Invalid}
	}
	return Reply{Value: []byte("garbage"), Version: 99}
}

// TestEveryTransitionIsTaken takes each transition of the chart, each by what
// should cause it, and checks how the run ends.
func TestEveryTransitionIsTaken(t *testing.T) {
	taken := moves{}
	for _, state := range calledStates {
		machine, _ := taken.at(t, state, false)
		machine.GiveUp()
		ends(t, machine, Unavailable)
		machine, _ = taken.at(t, state, false)
		machine.Handle(garbage(state))
		ends(t, machine, Failed)
	}
	for _, state := range []chart.State{stateAccepting, stateConfirming} {
		machine, _ := taken.at(t, state, true)
		machine.GiveUp()
		ends(t, machine, Ambiguous)
		machine, _ = taken.at(t, state, true)
		machine.Handle(garbage(state))
		ends(t, machine, Ambiguous)
	}
	taken.plainEnds(t)
	taken.overtaken(t)
	for _, transition := range changeChart.Transitions {
		assert.Assert(t, taken[move{transition.From, transition.Event}] > 0, "%s in %s", transition.Event, transition.From)
	}
}

// plainEnds takes the ends that need no trouble, and a lost answer.
func (m moves) plainEnds(t *testing.T) {
	s := quiet(t)
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
		m.end(s, machine)
		ends(t, machine, c.want)
	}
	machine, store := m.at(t, stateAccepting, false)
	store.apply(machine.Next())
	machine.Handle(Reply{Code: fault.Ambiguous})
	m.end(store, machine)
	ends(t, machine, Accepted)
}

// end carries out calls until the run has ended.
func (m moves) end(s *fakeStore, machine *Machine) {
	for {
		if _, ended := machine.Result(); ended {
			return
		}
		machine.Handle(s.apply(machine.Next()))
	}
}

// overtaken lets another operator be first until the run gives up.
func (m moves) overtaken(t *testing.T) {
	machine, s := m.at(t, stateAccepting, false)
	for i := range MaxRebases + 1 {
		c := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2+i, "p")}}
		assert.Equal(t, drive(s, Request{ChangeID: fmt.Sprint("first", i), Change: c}).Outcome, Accepted)
		machine.Handle(s.apply(machine.Next()))
		if i < MaxRebases {
			m.run(t, s, machine, stateAccepting)
		}
	}
	m.end(s, machine)
	ends(t, machine, Conflict)
}
