package chart

import (
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// allNames lists the charts that must exist.
var allNames = []string{"claim", "config_change", "process", "request", "stage_call", "upstream"}

func TestChartsAreComplete(t *testing.T) {
	_, err := loadedCharts()
	assert.NilError(t, err)
	assert.DeepEqual(t, Names(), allNames)
}

// TestEveryEventInEveryState reaches each state of every chart by events alone,
// takes each transition, and fires each event in each state that does not allow it.
func TestEveryEventInEveryState(t *testing.T) {
	for _, name := range Names() {
		chart := MustLoad(name)
		events := make(map[Event]bool)
		for _, transition := range chart.Transitions {
			events[transition.Event] = true
		}
		for _, state := range chart.States {
			machine := reach(t, chart, state.Name)
			assert.Equal(t, machine.Final(), state.Final)
			for event := range events {
				checkEvent(t, chart, state.Name, event)
			}
		}
	}
}

// checkEvent fires one event in one state and compares the result with the chart's
// transitions.
func checkEvent(t *testing.T, chart *Chart, from State, event Event) {
	t.Helper()
	machine := reach(t, chart, from)
	for _, transition := range chart.Transitions {
		if transition.From == from && transition.Event == event {
			assert.Assert(t, machine.Allows(event))
			assert.NilError(t, machine.Fire(event))
			assert.Equal(t, machine.State(), transition.To)
			return
		}
	}
	assert.Assert(t, !machine.Allows(event))
	var rejected *fault.Error
	assert.Assert(t, errors.As(machine.Fire(event), &rejected), "%s allows %s in %s", chart.Name, event, from)
	assert.Equal(t, rejected.Step, chart.Name+"."+string(from))
	assert.Equal(t, rejected.Peer, "peer-1")
	assert.Equal(t, machine.State(), from)
}

// reach returns a machine that reached the given state by a path of events.
func reach(t *testing.T, chart *Chart, to State) *Machine {
	t.Helper()
	path, ok := chart.Path(to)
	assert.Assert(t, ok)
	machine := chart.Start("peer-1")
	for _, event := range path {
		assert.NilError(t, machine.Fire(event))
	}
	assert.Equal(t, machine.State(), to)
	return machine
}

// TestInvalidChartsAreRejected shows that each rule of the validation can fail.
func TestInvalidChartsAreRejected(t *testing.T) {
	head := "name = \"x\"\nmeans = \"m\"\ninitial = \"a\"\n"
	stateA := "[[state]]\nname = \"a\"\nmeans = \"m\"\n"
	stateB := "[[state]]\nname = \"b\"\nmeans = \"m\"\nfinal = true\n"
	transition := func(from, event, to string) string {
		return "[[transition]]\nfrom = \"" + from + "\"\nevent = \"" + event + "\"\nto = \"" + to + "\"\nmeans = \"m\"\n"
	}
	good := head + stateA + stateB + transition("a", "go", "b")
	_, err := parse("x.toml", []byte(good))
	assert.NilError(t, err)
	invalid := map[string]string{
		"unknown key":           "colour = \"red\"\n" + good,
		"differs from":          good[len("name = \"x\"\n"):],
		"does not exist":        head + stateB,
		"is defined twice":      good + stateA,
		"an unknown state":      good + transition("a", "jump", "c"),
		"leaves the final":      good + transition("b", "back", "a"),
		"event \"go\" in state": good + transition("a", "go", "a"),
		"is unreachable":        good + "[[state]]\nname = \"c\"\nmeans = \"m\"\nfinal = true\n",
		"no transition leaves":  head + stateA,
		"lacks an event":        good + transition("a", "", "b"),
		"lacks a name":          good + "[[state]]\nname = \"c\"\n",
	}
	for want, text := range invalid {
		_, err := parse("x.toml", []byte(text))
		assert.ErrorContains(t, err, want)
		assert.Assert(t, fault.Is(err, fault.Invalid))
	}
}

func TestUnknownChart(t *testing.T) {
	_, err := Load("absent")
	assert.Assert(t, fault.Is(err, fault.NotFound))
}

func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/CHARTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "run make docs")
}
