package entry

import (
	"sync"

	"acaciawinch/core/chart"
)

// Names of the chart of a process's life that the entry uses.
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

// fireIfAllowed takes an event that may come too late to matter, as the first
// state of the fleet does when the process is stopping already.
func (l *lifecycle) fireIfAllowed(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Allows(event) {
		return nil
	}
	return l.machine.Fire(event)
}

// ready tells whether the process serves.
func (l *lifecycle) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State() == stateServing
}
