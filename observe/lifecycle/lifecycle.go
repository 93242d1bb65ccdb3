// Package lifecycle tracks the state of an entry or sidecar process, from start to
// end, with the "process" state chart.
package lifecycle

import (
	"sync"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// processChart is the name of the state chart of processes.
const processChart = "process"

// The events of the chart.
const (
	// Opened: the listeners are open.
	Opened chart.Event = "opened"
	// Synced: the process has the state that it needs to serve.
	Synced chart.Event = "synced"
	// Stop: a planned stop began.
	Stop chart.Event = "stop"
	// Emptied: all work in flight at the stop has finished.
	Emptied chart.Event = "emptied"
	// Expired: the timeout of a planned stop expired.
	Expired chart.Event = "expired"
	// Fail: the process failed and ends.
	Fail chart.Event = "fail"
)

// serving is the state in which the process is ready.
const serving chart.State = "serving"

// Lifecycle is the state of one process. It is safe for concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	machine *chart.Machine
}

// New returns the lifecycle of a starting process.
func New(process string) *Lifecycle {
	return &Lifecycle{machine: chart.MustLoad(processChart).Start(process)}
}

// Fire applies an event. It returns a *fault.Error if the chart does not allow the
// event in the current state.
func (l *Lifecycle) Fire(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Fire(event)
}

// FireIfAllowed applies an event that may be too late to matter, such as Synced in a
// process that is already stopping. An event that the chart does not allow in the
// current state is ignored.
func (l *Lifecycle) FireIfAllowed(event chart.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Allows(event) {
		return nil
	}
	return l.machine.Fire(event)
}

// Ready reports whether the process is serving.
func (l *Lifecycle) Ready() bool { return l.State() == serving }

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Identity identifies a process of the fleet in its log lines.
type Identity struct {
	Role        fleet.Role
	Name        string
	Zone        string
	Incarnation core.Incarnation
}

// RunLogged logs the start of the process, runs serve, logs the end and returns the error
// of serve. An error fires Fail, if the chart allows it.
func (l *Lifecycle) RunLogged(logger *observe.Logger, identity Identity, serve func() error) error {
	logger.Event(event.ProcessStarted, observe.Fields{
		"role":        string(identity.Role),
		"name":        identity.Name,
		"zone":        identity.Zone,
		"incarnation": uint64(identity.Incarnation),
	})
	if err := serve(); err != nil {
		_ = l.FireIfAllowed(Fail) // err is the error to report
		logger.Warn(event.ProcessFailed, observe.Fields{"error": err.Error()})
		return err
	}
	logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
	return nil
}
