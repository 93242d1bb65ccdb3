package side

import (
	"sync"

	"acaciawinch/core/chart"
)

// The chart of a process's life, and its states and events that the side uses.
const (
	processChart = "process"

	stateServing chart.State = "serving"

	eventOpened  chart.Event = "opened"
	eventSynced  chart.Event = "synced"
	eventStop    chart.Event = "stop"
	eventEmptied chart.Event = "emptied"
	eventExpired chart.Event = "expired"
	eventFail    chart.Event = "fail"
)

// lifecycle is the process's life by its chart. It may be used by many goroutines.
type lifecycle struct {
	mu      sync.Mutex
	machine *chart.Machine
}

// newLifecycle returns the life of a process that is starting.
func newLifecycle(name string) *lifecycle {
	return &lifecycle{machine: chart.MustLoad(processChart).Start(name)}
}

// fire takes an event of the chart.
func (l *lifecycle) fire(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Fire(event)
}

// synced notes that it is known whether the upstream answers. A stop may
// have come first; then there is nothing to note.
func (l *lifecycle) synced() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Allows(eventSynced) {
		return nil
	}
	return l.machine.Fire(eventSynced)
}

// state returns the present state.
func (l *lifecycle) state() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// ready tells whether the process serves.
func (l *lifecycle) ready() bool { return l.state() == stateServing }
