package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/faults/storetap"
	"acaciawinch/standin/harness"
)

// inForceLimit is how long after it was accepted, and after the end of a fault, a change
// may take to come into force everywhere.
const inForceLimit = 5 * time.Second

// errNotInForce reports that an accepted change is not in force, or a refused change is.
var errNotInForce = errors.New("configuration in force contradicts the outcome reported to the operator")

// headPath is the path of the head of the configuration in the object API.
const headPath = "/v1/objects/config/head"

// operatorTimeout bounds one run of the operators' command.
const operatorTimeout = "4s"

// Outcomes that the operators' command prints.
const (
	outcomeAccepted    = "accepted"
	outcomeUnchanged   = "unchanged"
	outcomeConflict    = "conflict"
	outcomeUnavailable = "unavailable"
)

// operation is a run of the operators' command.
type operation struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome string
	// revision is the revision of an accepted change.
	revision core.Revision
}

// commandOutput is the part of the command's output that reports the outcome.
type commandOutput struct {
	Outcome  string        `json:"outcome"`
	Revision core.Revision `json:"revision"`
}

// startOperation runs the operators' command in the background.
func (s *Site) startOperation(ctx context.Context, args ...string) *operation {
	ctx, cancel := context.WithCancel(ctx)
	o := &operation{cancel: cancel, done: make(chan struct{})}
	full := append([]string{"--output", "json", "--timeout", operatorTimeout}, args...)
	go func() {
		defer close(o.done)
		output, err := s.Fleet.Command(ctx, full...)
		var got commandOutput
		if json.Unmarshal([]byte(output), &got) != nil || got.Outcome == "" {
			got.Outcome = fmt.Sprint("no outcome: ", err)
		}
		o.outcome, o.revision = got.Outcome, got.Revision
	}()
	return o
}

// runChange changes the configuration under traffic while a fault happens, and checks
// that the outcome reported to the operator is what comes into force.
func runChange(ctx context.Context, s *CellRun, f Fault, report *Report) error {
	point := storetap.Before
	if s.Step.Kind == kindPropagate {
		point = storetap.After
	}
	held := s.Site.Store.Hold(func(m storetap.Message) bool {
		return m.Point == point && m.Method == http.MethodPut && m.Path == headPath && m.Process == harness.OperatorsCommand
	})
	t := s.Site.startTraffic(ctx)
	if err := t.awaitAnswered(ctx, inForceLimit, "the traffic is not answered", s.allEntries(), startedAfter(time.Time{}, 2)); err != nil {
		t.end()
		return err
	}
	s.operation = s.Site.startOperation(ctx, "apply", s.Site.files[configSecond])
	select {
	case <-held.Stopped():
	case <-s.operation.done:
		t.end()
		return fmt.Errorf("the change ended before its head was written: %s", s.operation.outcome)
	}
	if err := s.inject(ctx, f); err != nil {
		t.end()
		return err
	}
	held.Release()
	<-s.operation.done
	problem := s.healAndCheckChange(ctx, f, t)
	var err error
	report.First = ""
	report.Note = "the operator was told: " + s.operation.outcome
	report.Findings, report.Counts, err = judgeScenario(ctx, s, f, t, problem, func(j *judge) { j.checkMonotonic(t) })
	return err
}

// allEntries returns the indexes of all entries.
func (s *CellRun) allEntries() []int {
	var all []int
	for i := range s.Site.Fleet.Entries {
		all = append(all, i)
	}
	return all
}

// healAndCheckChange ends the fault and checks that the change is in force everywhere if
// it was reported as accepted, and nowhere if it was reported as refused. Then the
// operator retries, and the change must come into force.
func (s *CellRun) healAndCheckChange(ctx context.Context, f Fault, t *traffic) error {
	want := configSecond
	if f.WinningChange != 0 {
		want = f.WinningChange
	}
	accepted := time.Now()
	if s.operation.outcome == outcomeAccepted && f.Affects&componentEntry != 0 && f.Affects&componentStore == 0 {
		// While an entry is down the others still get the change, unless the store went
		// down before any of them could read it.
		if err := t.awaitRevision(ctx, s.unaffectedEntries(f), want, accepted); err != nil {
			return err
		}
	}
	if err := s.checkPropagation(ctx, f, t, want, accepted); err != nil {
		return err
	}
	if err := s.heal(ctx, f); err != nil {
		return err
	}
	if s.operation.outcome == outcomeUnavailable || s.operation.outcome == outcomeConflict && f.WinningChange == 0 {
		if err := s.checkNotInForce(ctx, t); err != nil {
			return err
		}
	}
	if s.operation.outcome != outcomeAccepted && f.WinningChange == 0 {
		retried := s.Site.startOperation(ctx, "apply", s.Site.files[configSecond])
		<-retried.done
		if retried.outcome != outcomeAccepted && retried.outcome != outcomeUnchanged {
			return fmt.Errorf("the retried change was reported as %q", retried.outcome)
		}
	}
	if f.WinningChange != 0 && s.operation.outcome != outcomeConflict {
		return fmt.Errorf("%w: the losing change was reported as %q", errNotInForce, s.operation.outcome)
	}
	return t.awaitRevision(ctx, s.allEntries(), want, time.Now())
}

// checkNotInForce checks that a refused change is in force at no entry.
func (s *CellRun) checkNotInForce(ctx context.Context, t *traffic) error {
	err := t.awaitAnswered(ctx, inForceLimit, "no responses after the fault", s.allEntries(), startedAfter(time.Now(), 2))
	if err != nil {
		return err
	}
	for _, entry := range s.allEntries() {
		for _, e := range t.answered(entry) {
			if e.Revision != configFirst {
				return fmt.Errorf("%w: the change was refused, but %s follows it", errNotInForce, e.Result.RequestID)
			}
		}
	}
	return nil
}

// lastFollows returns a condition that holds once the last request, if it began after a
// given time, was answered under the wanted configuration. Responses to earlier requests
// prove nothing: an entry that has restarted since may have reverted the configuration.
func lastFollows(want int, from time.Time) func([]Exchange) bool {
	return func(exchanges []Exchange) bool {
		last := len(exchanges) - 1
		return last >= 0 && exchanges[last].Result.Began.After(from) && exchanges[last].Revision == want
	}
}

// awaitRevision waits until the entries' responses to requests that began after a given
// time follow a configuration, and checks that this took no longer than inForceLimit
// from that time.
func (t *traffic) awaitRevision(ctx context.Context, entries []int, want int, from time.Time) error {
	what := fmt.Sprintf("%v: configuration %d is not in force", errNotInForce, want+1)
	err := t.awaitAnswered(ctx, 2*inForceLimit, what, entries, lastFollows(want, from))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotInForce, err)
	}
	for _, entry := range entries {
		for _, e := range t.answered(entry) {
			if e.Revision == want || !e.Result.Began.After(from.Add(inForceLimit)) {
				continue
			}
			return fmt.Errorf("%w: %s follows another configuration %d ms after the change was accepted",
				errNotInForce, e.Result.RequestID, e.Result.Began.Sub(from).Milliseconds())
		}
	}
	return nil
}

// checkMonotonic checks that an entry, once it has answered under a later configuration,
// answers no request that began afterwards under an earlier one.
func (j *judge) checkMonotonic(t *traffic) {
	for entry := range t.site.Fleet.Entries {
		exchanges := t.answered(entry)
		for _, earlier := range exchanges {
			ended := earlier.Result.Began.Add(earlier.Result.Latency)
			for _, later := range exchanges {
				if later.Result.Began.After(ended) && later.Revision < earlier.Revision {
					j.addFinding(NotReverted, "%s follows configuration %d, behind %s with %d",
						later.Result.RequestID, later.Revision+1, earlier.Result.RequestID, earlier.Revision+1)
					return
				}
			}
		}
	}
}

// changeFaults returns the faults of the operators themselves, and a fault that does
// nothing.
func changeFaults() []Fault {
	killed := func(_ context.Context, s *CellRun) error {
		s.operation.cancel()
		<-s.operation.done
		return nil
	}
	racing := func(ctx context.Context, s *CellRun) error {
		other := s.Site.startOperation(ctx, "apply", s.Site.files[configThird])
		<-other.done
		if other.outcome != outcomeAccepted {
			return fmt.Errorf("the change of the other operator was reported as %q", other.outcome)
		}
		return nil
	}
	return []Fault{
		{Name: "operator's command killed", ScenarioSteps: []Kind{kindAccept, kindPropagate}, inject: killed, heal: noop},
		{Name: "operators racing", ScenarioSteps: []Kind{kindAccept}, WinningChange: configThird, inject: racing, heal: noop},
		{Name: "none", ScenarioSteps: []Kind{kindAccept, kindPropagate, kindPlan, kindOrder, kindFence, kindDelete}, inject: noop, heal: noop},
	}
}
