package gate

import (
	"fmt"

	"acaciawinch/core/chart"
)

// The name of the upstream's state chart, and the states and events that the gate uses.
const (
	upstreamChart = "upstream"

	stateConnecting chart.State = "connecting"
	stateAvailable  chart.State = "available"
	stateStalled    chart.State = "stalled"
	stateDraining   chart.State = "draining"
	stateDrained    chart.State = "drained"

	eventResponded chart.Event = "answered"
	eventSilence   chart.Event = "silence"
	eventDrain     chart.Event = "drain"
	eventEmptied   chart.Event = "emptied"
	eventResume    chart.Event = "resume"
)

// State returns the upstream's state in its state chart.
func (g *Gate) State() chart.State { return g.stateMachine.State() }

// Fault returns and clears the error of the first event that the state chart did not
// allow. Such an error is a bug in the gate.
func (g *Gate) Fault() error {
	err := g.fault
	g.fault = nil
	return err
}

// fire sends an event to the state machine.
func (g *Gate) fire(event chart.Event) {
	if err := g.stateMachine.Fire(event); err != nil && g.fault == nil {
		g.fault = err
	}
}

// updateState updates the state machine: draining takes precedence over whether the
// upstream responds and makes progress.
func (g *Gate) updateState() {
	if len(g.drain.sources) > 0 {
		g.updateDraining()
		return
	}
	if state := g.State(); state == stateDraining || state == stateDrained {
		g.fire(eventResume)
	}
	u := &g.upstream
	healthy := u.reported && u.stall == stallNone && u.capacity > 0
	switch g.State() {
	case stateConnecting, stateStalled:
		if healthy {
			g.fire(eventResponded)
		}
	case stateAvailable:
		if !healthy {
			g.fire(eventSilence)
		}
	}
}

// updateDraining updates the state machine of a draining upstream.
func (g *Gate) updateDraining() {
	switch g.State() {
	case stateConnecting, stateAvailable, stateStalled:
		g.fire(eventDrain)
	}
	if g.State() == stateDraining && g.Unsettled() == 0 {
		g.fire(eventEmptied)
	}
}

// StateReason returns the reason for the upstream's present state.
func (g *Gate) StateReason() string {
	switch g.State() {
	case stateConnecting, stateStalled:
		return g.upstream.stallDetail()
	case stateDraining, stateDrained:
		return fmt.Sprint(g.drain.sources)
	}
	return "the upstream responds"
}
