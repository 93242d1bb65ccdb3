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

// How often the gate's clock is advanced.
const (
	busyTick = 20 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// keeperOptions are what a keeper works with.
type keeperOptions struct {
	upstream core.UpstreamID
	engine   bool
	gate     gate.Options
	// maxOutputBytes bounds the output of one attempt.
	maxOutputBytes int
	client         upstream.Client
	logger         *observe.Logger
	// clock is the side's monotonic clock: the time since its start.
	clock func() time.Duration
}

// keeper guards the gate and the attempts by one mutex, and carries out what the
// gate decides. Log lines are written after the mutex is released.
type keeper struct {
	options keeperOptions
	// poll asks for a report of the upstream at once.
	poll chan struct{}
	// busy tells the ticker that attempts wait or run.
	busy chan struct{}
	// executions counts the goroutines that wait for the upstream.
	executions sync.WaitGroup

	mu       sync.Mutex
	gate     *gate.Gate
	prefixes gate.Prefixes
	attempts map[core.AttemptKey]*attempt
	// readers counts the streams that follow attempts.
	readers int
	state   chart.State
	notes   []note
}

// note is a log line that waits for the mutex to be released.
type note struct {
	event  event.Event
	fields observe.Fields
	warn   bool
}

// newKeeper returns a keeper whose upstream has not reported yet.
func newKeeper(options keeperOptions) *keeper {
	g := gate.New(options.gate)
	return &keeper{
		options:  options,
		poll:     make(chan struct{}, 1),
		busy:     make(chan struct{}, 1),
		gate:     g,
		attempts: make(map[core.AttemptKey]*attempt),
		state:    g.State(),
	}
}

// do runs step under the mutex with the present clock, lets the gate advance and
// carries out its actions.
func (k *keeper) do(step func(now time.Duration)) {
	k.mu.Lock()
	now := k.options.clock()
	step(now)
	k.carryOut(now, k.gate.Advance(now))
	k.noteState()
	busy := k.gate.Unsettled() > 0
	notes := k.notes
	k.notes = nil
	k.mu.Unlock()
	if busy {
		signal(k.busy)
	}
	k.write(notes)
}

// read runs step under the mutex without advancing the gate.
func (k *keeper) read(step func(now time.Duration)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	step(k.options.clock())
}

// signal sends to a channel of capacity one, unless a signal waits in it already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// log keeps a log line until the mutex is released. The caller holds it.
func (k *keeper) log(e event.Event, fields observe.Fields) {
	k.notes = append(k.notes, note{event: e, fields: fields})
}

// warn is log for a line that an operator should look at.
func (k *keeper) warn(e event.Event, fields observe.Fields) {
	k.notes = append(k.notes, note{event: e, fields: fields, warn: true})
}

// write writes log lines.
func (k *keeper) write(notes []note) {
	for _, n := range notes {
		if n.warn {
			k.options.logger.Warn(n.event, n.fields)
			continue
		}
		k.options.logger.Event(n.event, n.fields)
	}
}

// noteState logs a change of the upstream's state, and any broken rule.
func (k *keeper) noteState() {
	if err := k.gate.Fault(); err != nil {
		k.warn(event.GateFault, observe.Fields{"upstream": string(k.options.upstream), "error": err.Error()})
	}
	state := k.gate.State()
	if state == k.state {
		return
	}
	k.log(event.UpstreamMoved, observe.Fields{
		"upstream": string(k.options.upstream),
		"from":     string(k.state),
		"to":       string(state),
		"reason":   k.gate.Why(),
	})
	k.state = state
}

// run advances the gate's clock until ctx ends: often while attempts wait or run.
func (k *keeper) run(ctx context.Context) error {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.busy:
			// The step that signalled has advanced the gate, so that only the next
			// tick must come sooner. The ticks below signal as well.
			timer.Reset(busyTick)
			continue
		case <-timer.C:
		}
		unsettled := 0
		k.do(func(time.Duration) { unsettled = k.gate.Unsettled() })
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
