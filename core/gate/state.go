package gate

import (
	"fmt"

	"acaciawinch/core/chart"
)

// The states and events of the upstream's chart that the gate uses.
const (
	upstreamChart = "upstream"

	stateConnecting chart.State = "connecting"
	stateAvailable  chart.State = "available"
	stateStalled    chart.State = "stalled"
	stateDraining   chart.State = "draining"
	stateDrained    chart.State = "drained"

	eventAnswered chart.Event = "answered"
	eventSilence  chart.Event = "silence"
	eventDrain    chart.Event = "drain"
	eventEmptied  chart.Event = "emptied"
	eventResume   chart.Event = "resume"
)

// State returns the upstream's state by its chart.
func (g *Gate) State() chart.State { return g.machine.State() }

// Fault returns the first event that the chart did not allow, and clears it. It
// means that the gate's own rules are broken.
func (g *Gate) Fault() error {
	err := g.fault
	g.fault = nil
	return err
}

// fire takes an event of the chart.
func (g *Gate) fire(event chart.Event) {
	if err := g.machine.Fire(event); err != nil && g.fault == nil {
		g.fault = err
	}
}

// updateState brings the chart's state in line with what is known: first whether
// the upstream drains, then whether it answers and makes progress.
func (g *Gate) updateState() {
	if len(g.drain.sources) > 0 {
		g.updateDraining()
		return
	}
	if state := g.State(); state == stateDraining || state == stateDrained {
		g.fire(eventResume)
	}
	u := &g.upstream
	healthy := u.known && u.stall == stallNone && u.capacity > 0
	switch g.State() {
	case stateConnecting, stateStalled:
		if healthy {
			g.fire(eventAnswered)
		}
	case stateAvailable:
		if !healthy {
			g.fire(eventSilence)
		}
	}
}

// updateDraining moves a draining upstream on.
func (g *Gate) updateDraining() {
	switch g.State() {
	case stateConnecting, stateAvailable, stateStalled:
		g.fire(eventDrain)
	}
	if g.State() == stateDraining && g.Unsettled() == 0 {
		g.fire(eventEmptied)
	}
}

// Why says why the upstream is in its present state.
func (g *Gate) Why() string {
	switch g.State() {
	case stateConnecting, stateStalled:
		return g.upstream.describe()
	case stateDraining, stateDrained:
		return fmt.Sprint(g.drain.sources)
	}
	return "the upstream answers"
}
