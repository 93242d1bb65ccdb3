package side

import (
	"context"
	"sync"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/upstream"
)

// Intervals between advances of the gate's clock.
const (
	busyTick = 20 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// dispatcherOptions configure a dispatcher.
type dispatcherOptions struct {
	upstream core.UpstreamID
	// engine is set if the upstream is an engine; the cost of its attempts is in tokens.
	engine bool
	gate   gate.Options
	// maxOutputBytes bounds the output of one attempt.
	maxOutputBytes int
	client         upstream.Client
	logger         *observe.Logger
	// clock returns the sidecar's monotonic time since its start.
	clock func() time.Duration
}

// dispatcher guards the gate and the attempts by one mutex, and executes the actions
// that the gate returns. Log lines are written after the mutex is released.
type dispatcher struct {
	options dispatcherOptions
	// pollNow triggers an immediate poll of the upstream's report.
	pollNow chan struct{}
	// busy makes run advance the gate's clock sooner, because attempts wait or run.
	busy chan struct{}
	// executions counts the goroutines that wait for the upstream.
	executions sync.WaitGroup

	mu   sync.Mutex
	gate *gate.Gate
	// prefixes are the prompt prefixes that the engine probably has cached.
	prefixes gate.Prefixes
	attempts map[core.AttemptKey]*attempt
	// subscribers counts the streams that follow attempts.
	subscribers int
	// state is the upstream's state that was logged last.
	state    chart.State
	logLines []logLine
}

// logLine is a log line that is written once the mutex is released.
type logLine struct {
	event  event.Event
	fields observe.Fields
	warn   bool
}

// newDispatcher returns a dispatcher whose upstream has not reported yet.
func newDispatcher(options dispatcherOptions) *dispatcher {
	g := gate.New(options.gate)
	return &dispatcher{
		options:  options,
		pollNow:  make(chan struct{}, 1),
		busy:     make(chan struct{}, 1),
		gate:     g,
		attempts: make(map[core.AttemptKey]*attempt),
		state:    g.State(),
	}
}

// do runs step under the mutex with the current time, then advances the gate and
// executes its actions.
func (d *dispatcher) do(step func(now time.Duration)) {
	d.mu.Lock()
	now := d.options.clock()
	step(now)
	d.applyActions(now, d.gate.Advance(now))
	d.logStateChange()
	busy := d.gate.Unsettled() > 0
	lines := d.logLines
	d.logLines = nil
	d.mu.Unlock()
	if busy {
		signal(d.busy)
	}
	d.write(lines)
}

// read runs step under the mutex without advancing the gate.
func (d *dispatcher) read(step func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	step(d.options.clock())
}

// signal sends to a channel of capacity one, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// log defers a log line until the mutex is released. The mutex must be held.
func (d *dispatcher) log(e event.Event, fields observe.Fields) {
	d.logLines = append(d.logLines, logLine{event: e, fields: fields})
}

// warn defers a log line of the warning level until the mutex is released. The mutex must
// be held.
func (d *dispatcher) warn(e event.Event, fields observe.Fields) {
	d.logLines = append(d.logLines, logLine{event: e, fields: fields, warn: true})
}

// write writes the deferred log lines.
func (d *dispatcher) write(lines []logLine) {
	for _, line := range lines {
		if line.warn {
			d.options.logger.Warn(line.event, line.fields)
			continue
		}
		d.options.logger.Event(line.event, line.fields)
	}
}

// logStateChange logs a change of the upstream's state, and any invariant that the gate
// violated. The mutex must be held.
func (d *dispatcher) logStateChange() {
	if err := d.gate.Fault(); err != nil {
		d.warn(event.GateFault, observe.Fields{"upstream": string(d.options.upstream), "error": err.Error()})
	}
	state := d.gate.State()
	if state == d.state {
		return
	}
	d.log(event.UpstreamMoved, observe.Fields{
		"upstream": string(d.options.upstream),
		"from":     string(d.state),
		"to":       string(state),
		"reason":   d.gate.StateReason(),
	})
	d.state = state
}

// run advances the gate's clock until ctx ends, at the shorter interval while attempts
// wait or run.
func (d *dispatcher) run(ctx context.Context) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.busy:
			// The step that signalled has already advanced the gate, so only the next
			// tick must come sooner. The ticks below signal too.
			timer.Reset(busyTick)
			continue
		case <-timer.C:
		}
		unsettled := 0
		d.do(func(time.Duration) { unsettled = d.gate.Unsettled() })
		timer.Reset(tick(unsettled))
	}
}

// tick returns the time until the next advance.
func tick(unsettled int) time.Duration {
	if unsettled > 0 {
		return busyTick
	}
	return idleTick
}
