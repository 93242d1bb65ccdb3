package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciawinch/core"
)

// life is what the model knows of one attempt.
type life struct {
	key    core.AttemptKey
	ticket *Ticket
	// waiting and running follow the gate's actions.
	waiting bool
	running bool
	starts  int
	// executed is set from the start on, and taken back if the upstream proves
	// that it did not begin.
	executed bool
	// promised is set once anybody was told that the attempt is not run.
	promised bool
}

// model drives a gate with messages that are late, doubled and out of order, and
// keeps its own record of what was started and promised.
type model struct {
	t       *rapid.T
	g       *Gate
	options Options
	now     time.Duration
	lives   []*life
}

// smallOptions are bounds so narrow that every one of them is reached.
func smallOptions() Options {
	return Options{
		Incarnation:    incarnation,
		Capacity:       2,
		MaxQueued:      3,
		TicketLifetime: ms(60),
		KeepResult:     ms(20),
		KeepClaimed:    ms(90),
		MaxClaimed:     3,
		MaxUnclaimed:   2,
		MaxKeptBytes:   40,
		Grace:          ms(15),
		ClaimedOverrun: ms(10),
		DrainWindow:    ms(10),
		StallMin:       ms(20),
		StallMax:       ms(40),
		TrialMin:       ms(10),
		TrialMax:       ms(40),
	}.withDefaults()
}

// newModel returns a model without attempts.
func newModel(t *rapid.T) *model {
	m := &model{t: t, options: smallOptions(), now: ms(1)}
	m.g = New(m.options)
	m.g.ObserveReport(m.now, Report{})
	return m
}

// choose returns an attempt that is known to the model, or nil.
func (m *model) choose(match func(*life) bool) *life {
	var fitting []*life
	for _, l := range m.lives {
		if match(l) {
			fitting = append(fitting, l)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return rapid.SampledFrom(fitting).Draw(m.t, "attempt")
}

// any matches every attempt.
func anyLife(*life) bool { return true }

// claimedLife matches attempts with a ticket.
func claimedLife(l *life) bool { return l.ticket != nil }

// runningLife matches attempts at the upstream.
func runningLife(l *life) bool { return l.running }

// create makes a new attempt; a claimed one gets its ticket from the clock now.
func (m *model) create(*rapid.T) {
	l := &life{key: core.AttemptKey{Request: core.RequestID(fmt.Sprint(len(m.lives))), Stage: "s", Number: 1, Side: incarnation}}
	if rapid.Bool().Draw(m.t, "claimed") {
		l.ticket = &Ticket{Nonce: uint64(len(m.lives)), Clock: m.now}
	}
	m.lives = append(m.lives, l)
}

// run delivers the attempt's Run message, perhaps once more or very late.
func (m *model) run(*rapid.T) {
	l := m.choose(anyLife)
	if l == nil {
		return
	}
	d := m.g.Submit(m.now, Ask{
		Key:       l.key,
		Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "workspace"),
		Ticket:    l.ticket,
		Remaining: ms(rapid.IntRange(0, 60).Draw(m.t, "remaining")),
		Priority:  rapid.IntRange(0, 1).Draw(m.t, "priority"),
		Weight:    rapid.IntRange(1, 3).Draw(m.t, "weight"),
		Cost:      1,
	})
	switch d.Verdict {
	case Admitted:
		m.admitted(l)
	case Refused:
		m.promise(l, "refused by "+string(d.Reason))
	}
	m.advance(0)
}

// admitted checks that an attempt may be admitted.
func (m *model) admitted(l *life) {
	if l.waiting || l.running {
		m.t.Fatalf("%v admitted while it waits or runs", l.key)
	}
	if l.ticket != nil && (l.starts > 0 || l.promised) {
		m.t.Fatalf("claimed %v admitted again", l.key)
	}
	l.waiting = true
	if rapid.Bool().Draw(m.t, "watched") {
		m.g.Watch(l.key)
	}
}

// promise notes that somebody was told that the attempt was not and will not be
// run. Only claimed attempts are held to it for ever.
func (m *model) promise(l *life, how string) {
	if l.ticket == nil {
		return
	}
	if l.executed || l.waiting {
		m.t.Fatalf("%v %s, but it ran or waits", l.key, how)
	}
	l.promised = true
}

// advance moves the clock and checks the actions.
func (m *model) advance(d time.Duration) {
	m.now += d
	for _, a := range m.g.Advance(m.now) {
		l := m.find(a.Key)
		switch a.Kind {
		case ActionStart:
			m.started(l)
		case ActionRefuse:
			l.waiting = false
			m.promise(l, "refused in the queue by "+string(a.Reason))
		case ActionStop:
			if !l.running {
				m.t.Fatalf("%v stopped, but it does not run", l.key)
			}
		}
	}
}

// started checks that an attempt may start.
func (m *model) started(l *life) {
	if !l.waiting || l.running {
		m.t.Fatalf("%v started, but it does not wait", l.key)
	}
	if l.ticket != nil && l.starts > 0 {
		m.t.Fatalf("claimed %v started twice", l.key)
	}
	if l.promised {
		m.t.Fatalf("%v started after somebody was told that it is not run", l.key)
	}
	drained := len(m.g.DrainSources()) > 0 && m.now-m.g.drain.since >= m.options.DrainWindow
	if drained {
		m.t.Fatalf("%v started after the drain window", l.key)
	}
	l.waiting = false
	l.running = true
	l.executed = true
	l.starts++
}

// find returns the attempt of key.
func (m *model) find(key core.AttemptKey) *life {
	for _, l := range m.lives {
		if l.key == key {
			return l
		}
	}
	m.t.Fatalf("action for unknown attempt %v", key)
	return nil
}

// finish ends a running attempt in one of the three ways.
func (m *model) finish(*rapid.T) {
	l := m.choose(runningLife)
	if l == nil {
		return
	}
	kind := rapid.SampledFrom([]EndKind{EndDone, EndDone, EndFailed, EndNotRun}).Draw(m.t, "end")
	m.end(l, kind)
}

// end ends a running attempt.
func (m *model) end(l *life, kind EndKind) {
	l.running = false
	if kind == EndNotRun {
		l.executed = false
	}
	m.g.Finish(m.now, l.key, Ending{Kind: kind, Cost: 1, Bytes: 15})
	m.advance(0)
}

// resolve asks what became of a claimed attempt.
func (m *model) resolve(*rapid.T) {
	l := m.choose(claimedLife)
	if l == nil {
		return
	}
	state, _ := m.g.Resolve(m.now, l.key, *l.ticket)
	switch state {
	case StateNotRun:
		m.promise(l, "resolved as not run")
	case StateRunning:
		if !l.waiting && !l.running {
			m.t.Fatalf("%v resolved as running", l.key)
		}
	case StateDone, StateFailed:
		if !l.executed || l.running {
			m.t.Fatalf("%v resolved as ended", l.key)
		}
	}
	m.advance(0)
}

// attach asks to follow an attempt.
func (m *model) attach(*rapid.T) {
	l := m.choose(anyLife)
	if l == nil {
		return
	}
	d := m.g.Attach(m.now, l.key)
	if d.Verdict == Refused {
		m.promise(l, "refused to attach by "+string(d.Reason))
	}
	m.advance(0)
}

// cancel cancels an attempt.
func (m *model) cancel(*rapid.T) {
	l := m.choose(anyLife)
	if l == nil {
		return
	}
	running := l.running
	started := m.g.Cancel(m.now, l.key, CauseHedgeLost)
	if running && !started {
		m.t.Fatalf("cancel of %v says that it was not started", l.key)
	}
	m.advance(0)
	if !started {
		m.promise(l, "cancelled before its start")
	}
}

// follow adds or removes a reader, or acknowledges.
func (m *model) follow(*rapid.T) {
	l := m.choose(anyLife)
	if l == nil {
		return
	}
	switch rapid.IntRange(0, 2).Draw(m.t, "follow") {
	case 0:
		m.g.Watch(l.key)
	case 1:
		m.g.Unwatch(m.now, l.key, rapid.Bool().Draw(m.t, "complete"))
	default:
		m.g.Acknowledge(m.now, l.key)
	}
	m.advance(0)
}

// tick lets time pass.
func (m *model) tick(*rapid.T) { m.advance(ms(rapid.IntRange(1, 40).Draw(m.t, "ms"))) }

// drain switches a drain on or off.
func (m *model) drain(*rapid.T) {
	source := rapid.SampledFrom([]DrainSource{DrainCall, DrainHostList}).Draw(m.t, "source")
	m.g.SetDrain(m.now, source, rapid.Bool().Draw(m.t, "on"))
	m.advance(0)
}

// observe lets the upstream report, stay silent or make progress.
func (m *model) observe(*rapid.T) {
	switch rapid.IntRange(0, 2).Draw(m.t, "observation") {
	case 0:
		m.g.ObserveReport(m.now, Report{})
	case 1:
		m.g.ObserveSilence(m.now)
	default:
		if l := m.choose(runningLife); l != nil {
			m.g.Progress(m.now, l.key)
		}
	}
	m.advance(0)
}

// check checks the bounds after every step.
func (m *model) check(*rapid.T) {
	if err := m.g.Fault(); err != nil {
		m.t.Fatal(err)
	}
	o := m.options
	if m.g.queue.size > o.MaxQueued || m.g.queue.size != len(m.g.queue.all()) {
		m.t.Fatalf("%d wait", m.g.queue.size)
	}
	if len(m.g.running) > o.Capacity {
		m.t.Fatalf("%d run", len(m.g.running))
	}
	if limit := m.g.Unsettled() + o.MaxClaimed + 2*o.MaxUnclaimed; m.g.Memory().Attempts > limit {
		m.t.Fatalf("%d attempts remembered, limit %d", m.g.Memory().Attempts, limit)
	}
	if m.g.Memory().KeptBytes > o.MaxKeptBytes {
		m.t.Fatalf("%d bytes kept", m.g.Memory().KeptBytes)
	}
	waiting, running := 0, 0
	for _, l := range m.lives {
		waiting += count(l.waiting)
		running += count(l.running)
	}
	if waiting != m.g.queue.size || running != len(m.g.running) {
		m.t.Fatalf("model has %d and %d, gate %d and %d", waiting, running, m.g.queue.size, len(m.g.running))
	}
}

// count returns 1 for true.
func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// settle ends all that runs and lets the rest age: nothing may stay behind.
func (m *model) settle() {
	for _, source := range []DrainSource{DrainCall, DrainHostList} {
		m.g.SetDrain(m.now, source, false)
	}
	for range 100 {
		for _, l := range m.lives {
			if l.running {
				m.end(l, EndDone)
			}
		}
		m.advance(ms(10))
		m.check(m.t)
	}
	if m.g.Memory().Attempts != 0 || m.g.Memory().KeptBytes != 0 {
		m.t.Fatalf("left behind: %+v", m.g.Memory())
	}
}

func TestProtocolHoldsInRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":  m.create,
			"run":     m.run,
			"run 2":   m.run,
			"finish":  m.finish,
			"resolve": m.resolve,
			"attach":  m.attach,
			"cancel":  m.cancel,
			"follow":  m.follow,
			"tick":    m.tick,
			"drain":   m.drain,
			"observe": m.observe,
			"":        m.check,
		})
		m.settle()
	})
}
