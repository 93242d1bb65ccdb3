package request

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/latency"
)

// Machine carries one request from its admission to its answer. It is for one
// goroutine.
type Machine struct {
	plan  Plan
	know  Knowledge
	rules Rules
	// life follows the request chart.
	life *chart.Machine

	stages   []*stage
	attempts []*attempt
	// current is the stage whose output is wanted next.
	current int
	// emitted is how many chunks the caller has.
	emitted uint64

	now      time.Time
	deadline time.Time
	out      []Action

	// ending is set once the request is given up, answered once the caller was told.
	ending   *ending
	answered bool
}

// StepLimit is the step at which a request ends whose workspace's bound is reached.
const StepLimit = "admission.workspace"

// stage is the state of one stage.
type stage struct {
	index int
	spec  Stage
	// call follows the stage_call chart.
	call *chart.Machine
	// output holds the chunks so far, in order. It is whole if done is set.
	output [][]byte
	done   bool
	// leader is the attempt whose chunks are taken.
	leader *attempt
	// numbers counts attempts, dispatched those that were sent.
	numbers    uint32
	dispatched int
	refusals   int
	// left counts the attempts that were left for their silence.
	left    int
	chooses int
	hedged  bool
	// check is the question whether the rest of the pipeline can be made, asked
	// before the stage is dispatched; cleared is set once it was answered.
	check   *attempt
	cleared bool
	// trial is set once upstreams are asked without a bound on their time.
	trial      bool
	exclude    []core.UpstreamID
	retryAfter time.Duration
	// late is set once a side refused for want of time or of room.
	late bool

	claim claimState
}

// New returns the machine of one request, named for errors by id.
func New(id core.RequestID, plan Plan, know Knowledge, rules Rules) *Machine {
	m := &Machine{
		plan:  plan,
		know:  know,
		rules: rules,
		life:  chart.MustLoad("request").Start(string(id)),
	}
	for i, spec := range plan.Stages {
		m.stages = append(m.stages, &stage{
			index: i,
			spec:  spec,
			call:  chart.MustLoad("stage_call").Start(spec.Service),
		})
	}
	return m
}

// Start admits the request at now and returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	m.begin(now)
	m.deadline = now.Add(m.plan.Deadline)
	m.fireLife("admitted")
	if _, fits := m.allowance(m.stages[0]); !fits {
		m.refuseForTime(m.stages[0])
		return m.take()
	}
	m.prepareClaim()
	m.enter(0)
	return m.take()
}

// Handle takes one event and returns the actions that follow. Events of attempts
// that have ended change nothing.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.begin(now)
	m.dispatch(event)
	m.timers()
	return m.take()
}

// dispatch passes an event to its handler.
func (m *Machine) dispatch(event Event) {
	switch e := event.(type) {
	case Chosen:
		m.onChosen(e)
	case NotChosen:
		m.onNotChosen(e)
	case Started:
		m.onStarted(e)
	case Chunk:
		m.onChunk(e)
	case Done:
		m.onDone(e)
	case Refused:
		m.onRefused(e)
	case Failed:
		m.onFailed(e)
	case Broken:
		m.onBroken(e)
	case Pinged:
		m.onPinged(e)
	case Resolved:
		m.onResolved(e)
	case Cancelled:
		m.onCancelled(e)
	case Claimed:
		m.onClaimed(e)
	case Finished:
		m.onFinished(e)
	case Released:
		m.onReleased(e)
	case Denied:
		m.giveUp(ending{cause: GiveUpLimit, step: StepLimit, detail: e.Detail, retryAfter: e.RetryAfter})
	case CallerGone:
		m.giveUp(ending{cause: GiveUpCallerGone, step: m.step(), detail: "the caller is gone"})
	}
}

// Output returns the whole output of a stage that is done.
func (m *Machine) Output(stage int) [][]byte { return m.stages[stage].output }

// Partial returns the chunks that an attempt which resumes a stage starts behind.
func (m *Machine) Partial(stage int) [][]byte { return m.stages[stage].output }

// Answered tells whether the caller has its final answer.
func (m *Machine) Answered() bool { return m.answered }

// Over tells whether nothing is left to be done, also behind the answer.
func (m *Machine) Over() bool {
	if !m.answered {
		return false
	}
	for _, a := range m.attempts {
		if a.live() || a.state == claiming {
			return false
		}
	}
	for _, s := range m.stages {
		if s.claim.busy > 0 {
			return false
		}
	}
	return true
}

// begin starts the handling of one event. Time never goes back.
func (m *Machine) begin(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
}

// do adds an action.
func (m *Machine) do(action Action) { m.out = append(m.out, action) }

// take returns the collected actions.
func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

// note records a decision without an action of its own.
func (m *Machine) note(a *attempt, kind NoteKind, reason string) {
	m.do(Note{Attempt: a.id, Stage: a.stage.index, Kind: kind, Reason: reason})
}

// remaining returns the time left until the deadline.
func (m *Machine) remaining() time.Duration { return m.deadline.Sub(m.now) }

// estimates returns what is expected of each stage.
func (m *Machine) estimates() []latency.Estimate {
	estimates := make([]latency.Estimate, len(m.plan.Stages))
	for i, s := range m.plan.Stages {
		estimates[i] = m.know.Estimate(s.Service).OrDeclared(s.Declared)
	}
	return estimates
}

// estimate returns what is expected of one stage.
func (m *Machine) estimate(s *stage) latency.Estimate {
	return m.know.Estimate(s.spec.Service).OrDeclared(s.spec.Declared)
}

// allowance returns the stage's part of the time left, or false if the rest of
// the pipeline can't make the deadline. Once a non-idempotent stage has run, the
// rest is worth trying to the end.
func (m *Machine) allowance(s *stage) (time.Duration, bool) {
	remaining := m.remaining()
	if m.mayHaveRun() {
		return remaining, remaining > 0
	}
	estimates := m.estimates()
	for _, before := range estimates[m.current:max(s.index, m.current)] {
		remaining -= before.Wait + before.ServiceP50
	}
	if part, fits := latency.Split(remaining, estimates, s.index); fits {
		return part, true
	}
	return m.leastAllowance(s)
}

// leastAllowance returns what is left for the stage if all others take no longer
// than they are known to need at best.
//
// Measured medians alone must not refuse a request: a service of which the last
// thing known is that it was slow would be refused for ever, because nothing
// would be measured of it again. The router's probes tell how it is now.
func (m *Machine) leastAllowance(s *stage) (time.Duration, bool) {
	remaining := m.remaining()
	for _, other := range m.stages[m.current:] {
		if other != s {
			remaining -= m.least(other)
		}
	}
	return remaining, remaining > 0 && remaining >= m.least(s)
}

// least returns what a stage needs at best: its declared median, or the measured
// one if that is shorter.
func (m *Machine) least(s *stage) time.Duration {
	measured := m.know.Estimate(s.spec.Service).ServiceP50
	if measured > 0 && measured < s.spec.Declared {
		return measured
	}
	return s.spec.Declared
}

// step names the present step for the caller.
func (m *Machine) step() string {
	if m.current >= len(m.stages) {
		return "answer"
	}
	return "stage." + m.stages[m.current].spec.Name
}

// fireLife moves the request along its chart.
func (m *Machine) fireLife(event chart.Event) {
	if err := m.life.Fire(event); err != nil {
		m.broken(err)
	}
}

// fire moves a stage along its chart. Behind the answer the stages are at the end
// of their charts; claimed attempts that are still followed change nothing there.
func (m *Machine) fire(s *stage, event chart.Event) {
	if m.answered {
		return
	}
	if err := s.call.Fire(event); err != nil {
		m.broken(err)
	}
}

// broken gives the request up because a rule of the code itself was broken.
func (m *Machine) broken(err error) {
	m.do(Note{Stage: m.current, Kind: NoteBug, Reason: err.Error()})
	m.giveUp(ending{cause: GiveUpFailed, step: m.step(), detail: err.Error()})
}
