// Package lifecycle follows a process of the fleet, entry or side, along the
// process chart from its start to its end.
package lifecycle

import (
	"sync"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// processChart is the name of the chart.
const processChart = "process"

// The events of the chart.
const (
	// Opened: the listeners are open.
	Opened chart.Event = "opened"
	// Synced: what the process must know before it serves is known.
	Synced chart.Event = "synced"
	// Stop: a planned stop began.
	Stop chart.Event = "stop"
	// Emptied: all work in flight at the stop has finished.
	Emptied chart.Event = "emptied"
	// Expired: the time for a planned stop ran out.
	Expired chart.Event = "expired"
	// Fail: the process can't go on.
	Fail chart.Event = "fail"
)

// serving is the state in which the process is ready.
const serving chart.State = "serving"

// Lifecycle is the life of one process. It may be used by many goroutines.
type Lifecycle struct {
	mu      sync.Mutex
	machine *chart.Machine
}

// New returns the life of a process that is starting.
func New(process string) *Lifecycle {
	return &Lifecycle{machine: chart.MustLoad(processChart).Start(process)}
}

// Fire takes an event. One that the chart does not allow now is a *fault.Error.
func (l *Lifecycle) Fire(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Fire(event)
}

// FireIfAllowed takes an event that may come too late to matter, as Synced does
// when the process is stopping already. It then changes nothing.
func (l *Lifecycle) FireIfAllowed(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Allows(event) {
		return nil
	}
	return l.machine.Fire(event)
}

// Ready tells whether the process serves.
func (l *Lifecycle) Ready() bool { return l.State() == serving }

// State returns the present state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Identity says which process of the fleet it is.
type Identity struct {
	Role        fleet.Role
	Name        string
	Zone        string
	Incarnation core.Incarnation
}

// Log writes the lines of the process's start and end around serve and returns
// its error. A failure moves the process to the end of the chart, unless the
// chart has ended already.
func (l *Lifecycle) Log(logger *observe.Logger, who Identity, serve func() error) error {
	logger.Event(event.ProcessStarted, observe.Fields{
		"role":        string(who.Role),
		"name":        who.Name,
		"zone":        who.Zone,
		"incarnation": uint64(who.Incarnation),
	})
	if err := serve(); err != nil {
		_ = l.FireIfAllowed(Fail) // the cause is err
		logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return err
	}
	logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
	return nil
}
