package request

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/latency"
)

// Machine drives one request from its admission to its answer. It is not safe for
// concurrent use.
type Machine struct {
	plan     Plan
	services Services
	rules    Rules
	// lifecycle holds the state of the request in the request chart.
	lifecycle *chart.Machine

	stages   []*stage
	attempts []*attempt
	// current is the index of the stage whose output is needed next.
	current int
	// emitted is the number of chunks delivered to the caller.
	emitted uint64

	now      time.Time
	deadline time.Time
	actions  []Action

	// ending is set once the request is given up, answered once the caller has its
	// answer.
	ending   *ending
	answered bool
}

// StepLimit is the step reported for a request that is denied because the limit of
// its workspace is reached.
const StepLimit = "admission.workspace"

// stage is the state of one stage.
type stage struct {
	index int
	spec  Stage
	// callChart holds the state of the stage in the stage_call chart.
	callChart *chart.Machine
	// output holds the chunks so far, in order. It is complete if done is set.
	output [][]byte
	done   bool
	// leader is the attempt whose chunks become the output.
	leader *attempt
	// attemptCount counts all attempts, dispatched those that were sent.
	attemptCount uint32
	dispatched   int
	refusals     int
	// stalled counts the attempts that were replaced because they stalled.
	stalled       int
	choiceRetries int
	hedged        bool
	// check is the check of the later stages that is made before the stage is
	// dispatched; cleared is set once it has passed or is not needed.
	check   *attempt
	cleared bool
	// trial is set once the stage is tried although its upstreams are estimated to be too
	// slow: an upstream is then chosen without a bound on its time.
	trial bool
	// exclude lists the upstreams that were tried already.
	exclude []core.UpstreamID
	// retryAfter is the longest RetryAfter of the refusals so far.
	retryAfter time.Duration
	// lackOfTime is set once a sidecar refused for lack of time or capacity.
	lackOfTime bool

	claim claimState
}

// New returns the machine of one request. The id identifies it in errors.
func New(id core.RequestID, plan Plan, services Services, rules Rules) *Machine {
	m := &Machine{
		plan:      plan,
		services:  services,
		rules:     rules,
		lifecycle: chart.MustLoad("request").Start(string(id)),
	}
	for i, spec := range plan.Stages {
		m.stages = append(m.stages, &stage{
			index:     i,
			spec:      spec,
			callChart: chart.MustLoad("stage_call").Start(spec.Service),
		})
	}
	return m
}

// Start admits the request at now and returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	m.begin(now)
	m.deadline = now.Add(m.plan.Deadline)
	m.fireLifecycle("admitted")
	if _, fits := m.allowance(m.stages[0]); !fits {
		m.refuseForDeadline(m.stages[0])
		return m.takeActions()
	}
	m.prepareClaim()
	m.enterStage(0)
	return m.takeActions()
}

// Handle takes one event and returns the actions that follow. Events of attempts
// that have ended change nothing.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	m.begin(now)
	m.handleEvent(event)
	m.handleTimers()
	return m.takeActions()
}

// handleEvent passes an event to its handler.
func (m *Machine) handleEvent(event Event) {
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

// Partial returns the chunks of a stage received so far, after which an attempt that
// resumes the stage starts.
func (m *Machine) Partial(stage int) [][]byte { return m.stages[stage].output }

// Answered reports whether the caller has its final answer.
func (m *Machine) Answered() bool { return m.answered }

// Finished reports whether all work has ended, including the work after the answer.
func (m *Machine) Finished() bool {
	if !m.answered {
		return false
	}
	for _, a := range m.attempts {
		if a.live() || a.state == claiming {
			return false
		}
	}
	for _, s := range m.stages {
		if s.claim.inFlight > 0 {
			return false
		}
	}
	return true
}

// begin starts the handling of one event. The machine's time never goes back.
func (m *Machine) begin(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
	m.actions = nil
}

// addAction adds an action to those that Start or Handle returns.
func (m *Machine) addAction(action Action) { m.actions = append(m.actions, action) }

// takeActions returns the collected actions and clears them.
func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// note records a decision that causes no other action.
func (m *Machine) note(a *attempt, kind NoteKind, reason string) {
	m.addAction(Note{Attempt: a.id, Stage: a.stage.index, Kind: kind, Reason: reason})
}

// remaining returns the time remaining until the deadline.
func (m *Machine) remaining() time.Duration { return m.deadline.Sub(m.now) }

// estimates returns the latency estimate of each stage.
func (m *Machine) estimates() []latency.Estimate {
	estimates := make([]latency.Estimate, len(m.plan.Stages))
	for i, s := range m.plan.Stages {
		estimates[i] = m.services.Estimate(s.Service).WithDeclaredMedian(s.Declared)
	}
	return estimates
}

// estimate returns the latency estimate of one stage.
func (m *Machine) estimate(s *stage) latency.Estimate {
	return m.services.Estimate(s.spec.Service).WithDeclaredMedian(s.spec.Declared)
}

// allowance returns the stage's part of the time remaining, or false if the
// remaining stages can't finish before the deadline. Once a non-idempotent stage
// may have run, the remaining stages are tried until the deadline.
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
	return m.bestCaseAllowance(s)
}

// bestCaseAllowance returns the time that remains for the stage if all others take
// only their best-case time, or false if that is not enough for the stage.
//
// Measured medians alone must not refuse a request: a service whose last
// measurements were slow would be refused forever, because it would never be
// measured again. The router's probes show its current state.
func (m *Machine) bestCaseAllowance(s *stage) (time.Duration, bool) {
	remaining := m.remaining()
	for _, other := range m.stages[m.current:] {
		if other != s {
			remaining -= m.bestCaseTime(other)
		}
	}
	return remaining, remaining > 0 && remaining >= m.bestCaseTime(s)
}

// bestCaseTime returns the shortest service time to expect of a stage: its declared
// median, or the measured one if that is shorter.
func (m *Machine) bestCaseTime(s *stage) time.Duration {
	measured := m.services.Estimate(s.spec.Service).ServiceP50
	if measured > 0 && measured < s.spec.Declared {
		return measured
	}
	return s.spec.Declared
}

// step returns the name of the current step, which the caller is told.
func (m *Machine) step() string {
	if m.current >= len(m.stages) {
		return "answer"
	}
	return "stage." + m.stages[m.current].spec.Name
}

// fireLifecycle fires an event in the request chart.
func (m *Machine) fireLifecycle(event chart.Event) {
	if err := m.lifecycle.Fire(event); err != nil {
		m.invariantViolated(err)
	}
}

// fire fires an event in the chart of a stage. After the answer all stages are in
// final states; claimed attempts that are still followed no longer change them.
func (m *Machine) fire(s *stage, event chart.Event) {
	if m.answered {
		return
	}
	if err := s.callChart.Fire(event); err != nil {
		m.invariantViolated(err)
	}
}

// invariantViolated gives the request up because of a bug: a state chart does not
// allow an event that was fired.
func (m *Machine) invariantViolated(err error) {
	m.addAction(Note{Stage: m.current, Kind: NoteBug, Reason: err.Error()})
	m.giveUp(ending{cause: GiveUpFailed, step: m.step(), detail: err.Error()})
}
