package gate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciawinch/core"
)

// modelAttempt is the model's state of one attempt.
type modelAttempt struct {
	key    core.AttemptKey
	ticket *Ticket
	// waiting and running follow the gate's actions.
	waiting bool
	running bool
	starts  int
	// executed is set at the start, and cleared if the upstream proves that it did not
	// begin the work.
	executed bool
	// promisedNotRun is set once any caller was told that the attempt is not run.
	promisedNotRun bool
}

// model drives a gate with delayed, duplicated and reordered messages, and keeps its own
// record of what was started and promised.
type model struct {
	t        *rapid.T
	g        *Gate
	options  Options
	now      time.Duration
	attempts []*modelAttempt
}

// smallOptions returns limits that are low enough for every one to be reached.
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

// choose draws one of the matching attempts, or returns nil if there is none.
func (m *model) choose(match func(*modelAttempt) bool) *modelAttempt {
	var matching []*modelAttempt
	for _, attempt := range m.attempts {
		if match(attempt) {
			matching = append(matching, attempt)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(m.t, "attempt")
}

// anyAttempt matches every attempt.
func anyAttempt(*modelAttempt) bool { return true }

// claimedAttempt matches attempts with a ticket.
func claimedAttempt(attempt *modelAttempt) bool { return attempt.ticket != nil }

// runningAttempt matches attempts that run at the upstream.
func runningAttempt(attempt *modelAttempt) bool { return attempt.running }

// create adds a new attempt; a claimed one gets a ticket with the present time.
func (m *model) create(*rapid.T) {
	attempt := &modelAttempt{key: core.AttemptKey{Request: core.RequestID(fmt.Sprint(len(m.attempts))), Stage: "s", Number: 1, Side: incarnation}}
	if rapid.Bool().Draw(m.t, "claimed") {
		attempt.ticket = &Ticket{Nonce: uint64(len(m.attempts)), Clock: m.now}
	}
	m.attempts = append(m.attempts, attempt)
}

// run delivers the Run message of an attempt, possibly a duplicate or a very late one.
func (m *model) run(*rapid.T) {
	attempt := m.choose(anyAttempt)
	if attempt == nil {
		return
	}
	d := m.g.Submit(m.now, Attempt{
		Key:       attempt.key,
		Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "workspace"),
		Ticket:    attempt.ticket,
		Remaining: ms(rapid.IntRange(0, 60).Draw(m.t, "remaining")),
		Priority:  rapid.IntRange(0, 1).Draw(m.t, "priority"),
		Weight:    rapid.IntRange(1, 3).Draw(m.t, "weight"),
		Cost:      1,
	})
	switch d.Verdict {
	case Admitted:
		m.admitted(attempt)
	case Refused:
		m.recordNotRun(attempt, "refused by "+string(d.Reason))
	}
	m.advance(0)
}

// admitted checks that an attempt may be admitted.
func (m *model) admitted(attempt *modelAttempt) {
	if attempt.waiting || attempt.running {
		m.t.Fatalf("%v admitted while it waits or runs", attempt.key)
	}
	if attempt.ticket != nil && (attempt.starts > 0 || attempt.promisedNotRun) {
		m.t.Fatalf("claimed %v admitted again", attempt.key)
	}
	attempt.waiting = true
	if rapid.Bool().Draw(m.t, "watched") {
		m.g.Watch(attempt.key)
	}
}

// recordNotRun records that a caller was told that the attempt was not and will not be
// run. Only for claimed attempts does this hold forever.
func (m *model) recordNotRun(attempt *modelAttempt, event string) {
	if attempt.ticket == nil {
		return
	}
	if attempt.executed || attempt.waiting {
		m.t.Fatalf("%v %s, but it ran or waits", attempt.key, event)
	}
	attempt.promisedNotRun = true
}

// advance moves the clock and checks the gate's actions.
func (m *model) advance(d time.Duration) {
	m.now += d
	for _, a := range m.g.Advance(m.now) {
		attempt := m.find(a.Key)
		switch a.Kind {
		case ActionStart:
			m.started(attempt)
		case ActionRefuse:
			attempt.waiting = false
			m.recordNotRun(attempt, "refused in the queue by "+string(a.Reason))
		case ActionStop:
			if !attempt.running {
				m.t.Fatalf("%v stopped, but it does not run", attempt.key)
			}
		}
	}
}

// started checks that an attempt may start.
func (m *model) started(attempt *modelAttempt) {
	if !attempt.waiting || attempt.running {
		m.t.Fatalf("%v started, but it does not wait", attempt.key)
	}
	if attempt.ticket != nil && attempt.starts > 0 {
		m.t.Fatalf("claimed %v started twice", attempt.key)
	}
	if attempt.promisedNotRun {
		m.t.Fatalf("%v started after a caller was told that it is not run", attempt.key)
	}
	drained := len(m.g.DrainSources()) > 0 && m.now-m.g.drain.since >= m.options.DrainWindow
	if drained {
		m.t.Fatalf("%v started after the drain window", attempt.key)
	}
	attempt.waiting = false
	attempt.running = true
	attempt.executed = true
	attempt.starts++
}

// find returns the attempt of key.
func (m *model) find(key core.AttemptKey) *modelAttempt {
	for _, attempt := range m.attempts {
		if attempt.key == key {
			return attempt
		}
	}
	m.t.Fatalf("action for unknown attempt %v", key)
	return nil
}

// finish ends a running attempt with one of the three kinds of ending.
func (m *model) finish(*rapid.T) {
	attempt := m.choose(runningAttempt)
	if attempt == nil {
		return
	}
	kind := rapid.SampledFrom([]EndKind{EndDone, EndDone, EndFailed, EndNotRun}).Draw(m.t, "end")
	m.end(attempt, kind)
}

// end ends a running attempt.
func (m *model) end(attempt *modelAttempt, kind EndKind) {
	attempt.running = false
	if kind == EndNotRun {
		attempt.executed = false
	}
	m.g.Finish(m.now, attempt.key, Ending{Kind: kind, Cost: 1, Bytes: 15})
	m.advance(0)
}

// resolve queries the state of a claimed attempt.
func (m *model) resolve(*rapid.T) {
	attempt := m.choose(claimedAttempt)
	if attempt == nil {
		return
	}
	state, _ := m.g.Resolve(m.now, attempt.key, *attempt.ticket)
	switch state {
	case StateNotRun:
		m.recordNotRun(attempt, "resolved as not run")
	case StateRunning:
		if !attempt.waiting && !attempt.running {
			m.t.Fatalf("%v resolved as running", attempt.key)
		}
	case StateDone, StateFailed:
		if !attempt.executed || attempt.running {
			m.t.Fatalf("%v resolved as ended", attempt.key)
		}
	}
	m.advance(0)
}

// attach requests to follow an attempt.
func (m *model) attach(*rapid.T) {
	attempt := m.choose(anyAttempt)
	if attempt == nil {
		return
	}
	d := m.g.Attach(m.now, attempt.key)
	if d.Verdict == Refused {
		m.recordNotRun(attempt, "refused to attach by "+string(d.Reason))
	}
	m.advance(0)
}

func (m *model) cancel(*rapid.T) {
	attempt := m.choose(anyAttempt)
	if attempt == nil {
		return
	}
	running := attempt.running
	started := m.g.Cancel(m.now, attempt.key, CauseHedgeLost)
	if running && !started {
		m.t.Fatalf("cancel of %v reports that it was not started", attempt.key)
	}
	m.advance(0)
	if !started {
		m.recordNotRun(attempt, "cancelled before its start")
	}
}

// follow adds or removes a reader, or acknowledges the result.
func (m *model) follow(*rapid.T) {
	attempt := m.choose(anyAttempt)
	if attempt == nil {
		return
	}
	switch rapid.IntRange(0, 2).Draw(m.t, "follow") {
	case 0:
		m.g.Watch(attempt.key)
	case 1:
		m.g.Unwatch(m.now, attempt.key, rapid.Bool().Draw(m.t, "complete"))
	default:
		m.g.Acknowledge(m.now, attempt.key)
	}
	m.advance(0)
}

// tick advances the clock.
func (m *model) tick(*rapid.T) { m.advance(ms(rapid.IntRange(1, 40).Draw(m.t, "ms"))) }

// drain switches a drain on or off.
func (m *model) drain(*rapid.T) {
	source := rapid.SampledFrom([]DrainSource{DrainCall, DrainHostList}).Draw(m.t, "source")
	m.g.SetDrain(m.now, source, rapid.Bool().Draw(m.t, "on"))
	m.advance(0)
}

// observe makes the upstream report, stay silent or make progress.
func (m *model) observe(*rapid.T) {
	switch rapid.IntRange(0, 2).Draw(m.t, "observation") {
	case 0:
		m.g.ObserveReport(m.now, Report{})
	case 1:
		m.g.ObserveSilence(m.now)
	default:
		if attempt := m.choose(runningAttempt); attempt != nil {
			m.g.Progress(m.now, attempt.key)
		}
	}
	m.advance(0)
}

// check checks the limits after every step.
func (m *model) check(*rapid.T) {
	if err := m.g.Fault(); err != nil {
		m.t.Fatal(err)
	}
	o := m.options
	if m.g.queue.size > o.MaxQueued || m.g.queue.size != len(m.g.queue.all()) {
		m.t.Fatalf("%d attempts wait in the queue", m.g.queue.size)
	}
	if len(m.g.running) > o.Capacity {
		m.t.Fatalf("%d attempts run", len(m.g.running))
	}
	if limit := m.g.Unsettled() + o.MaxClaimed + 2*o.MaxUnclaimed; m.g.Memory().Attempts > limit {
		m.t.Fatalf("%d attempts remembered, limit %d", m.g.Memory().Attempts, limit)
	}
	if m.g.Memory().KeptBytes > o.MaxKeptBytes {
		m.t.Fatalf("%d bytes kept", m.g.Memory().KeptBytes)
	}
	waiting, running := 0, 0
	for _, attempt := range m.attempts {
		waiting += oneIf(attempt.waiting)
		running += oneIf(attempt.running)
	}
	if waiting != m.g.queue.size || running != len(m.g.running) {
		m.t.Fatalf("model has %d and %d, gate %d and %d", waiting, running, m.g.queue.size, len(m.g.running))
	}
}

// oneIf returns 1 for true and 0 for false.
func oneIf(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// settle ends all running attempts and lets the remaining state expire. Nothing may
// remain.
func (m *model) settle() {
	for _, source := range []DrainSource{DrainCall, DrainHostList} {
		m.g.SetDrain(m.now, source, false)
	}
	for range 100 {
		for _, attempt := range m.attempts {
			if attempt.running {
				m.end(attempt, EndDone)
			}
		}
		m.advance(ms(10))
		m.check(m.t)
	}
	if m.g.Memory().Attempts != 0 || m.g.Memory().KeptBytes != 0 {
		m.t.Fatalf("state remains: %+v", m.g.Memory())
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
