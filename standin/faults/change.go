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

// inForceLimit is how long after its accept, and after the end of a fault, a
// change may take until it is in force everywhere.
const inForceLimit = 5 * time.Second

// errNotInForce tells that a change is not in force, or in force though refused.
var errNotInForce = errors.New("not as the operator was told")

// headPath is where the object API has the head of the configuration.
const headPath = "/v1/objects/config/head"

// operatorTimeout bounds one run of the operators' command.
const operatorTimeout = "4s"

// Outcomes that the operators' command prints.
const (
	saidAccepted    = "accepted"
	saidUnchanged   = "unchanged"
	saidConflict    = "conflict"
	saidUnavailable = "unavailable"
)

// operation is a run of the operators' command.
type operation struct {
	cancel context.CancelFunc
	done   chan struct{}
	said   string
	// revision is that of an accepted change.
	revision core.Revision
}

// said is the part of the command's output that tells how it ended.
type said struct {
	Outcome  string        `json:"outcome"`
	Revision core.Revision `json:"revision"`
}

// operate runs the operators' command in the background.
func (s *Site) operate(ctx context.Context, args ...string) *operation {
	ctx, cancel := context.WithCancel(ctx)
	o := &operation{cancel: cancel, done: make(chan struct{})}
	full := append([]string{"--output", "json", "--timeout", operatorTimeout}, args...)
	go func() {
		defer close(o.done)
		output, err := s.Fleet.Command(ctx, full...)
		var got said
		if json.Unmarshal([]byte(output), &got) != nil || got.Outcome == "" {
			got.Outcome = fmt.Sprint("no word: ", err)
		}
		o.said, o.revision = got.Outcome, got.Revision
	}()
	return o
}

// playChange lets operators change the configuration under traffic while a fault
// happens, and checks that what they were told is what comes in force.
func playChange(ctx context.Context, s *Scene, f Fault, report *Report) error {
	point := storetap.Before
	if s.Step.Kind == kindSpread {
		point = storetap.After
	}
	held := s.Site.Store.Hold(func(m storetap.Message) bool {
		return m.Point == point && m.Method == http.MethodPut && m.Path == headPath && m.Process == harness.OperatorsCommand
	})
	t := s.Site.startTraffic(ctx)
	if err := t.awaitAnswers(ctx, inForceLimit, "the traffic does not run", s.all(), began(time.Time{}, 2)); err != nil {
		t.end()
		return err
	}
	s.operation = s.Site.operate(ctx, "apply", s.Site.files[configSecond])
	select {
	case <-held.Stopped():
	case <-s.operation.done:
		t.end()
		return fmt.Errorf("the change ended before its head was written: %s", s.operation.said)
	}
	if err := s.inject(ctx, f); err != nil {
		t.end()
		return err
	}
	held.Release()
	<-s.operation.done
	problem := s.inForce(ctx, f, t)
	var err error
	report.First = ""
	report.Note = "the operator was told: " + s.operation.said
	report.Findings, report.Counts, err = judgeCourse(ctx, s, f, t, problem, func(j *judge) { j.monotonic(t) })
	return err
}

// all returns the numbers of all entries.
func (s *Scene) all() []int {
	var all []int
	for i := range s.Site.Fleet.Entries {
		all = append(all, i)
	}
	return all
}

// inForce ends the fault and checks that the change is in force everywhere if
// the operator was told so, and nowhere if he was told that it is not. Then the
// operator asks again, and the change must come in force.
func (s *Scene) inForce(ctx context.Context, f Fault, t *traffic) error {
	want := configSecond
	if f.Wins != 0 {
		want = f.Wins
	}
	accepted := time.Now()
	if s.operation.said == saidAccepted && f.Touch&touchEntry != 0 && f.Touch&touchStore == 0 {
		// While an entry is gone the others get the change all the same, unless the
		// store went down before any of them could read it.
		if err := t.awaitRevision(ctx, s.others(f), want, accepted); err != nil {
			return err
		}
	}
	if err := s.spreads(ctx, f, t, want, accepted); err != nil {
		return err
	}
	if err := s.heal(ctx, f); err != nil {
		return err
	}
	if s.operation.said == saidUnavailable || s.operation.said == saidConflict && f.Wins == 0 {
		if err := s.notInForce(ctx, t); err != nil {
			return err
		}
	}
	if s.operation.said != saidAccepted && f.Wins == 0 {
		again := s.Site.operate(ctx, "apply", s.Site.files[configSecond])
		<-again.done
		if again.said != saidAccepted && again.said != saidUnchanged {
			return fmt.Errorf("asked again, the operator was told %q", again.said)
		}
	}
	if f.Wins != 0 && s.operation.said != saidConflict {
		return fmt.Errorf("%w: the change that lost was told %q", errNotInForce, s.operation.said)
	}
	return t.awaitRevision(ctx, s.all(), want, time.Now())
}

// notInForce checks that a refused change is in force at no entry.
func (s *Scene) notInForce(ctx context.Context, t *traffic) error {
	err := t.awaitAnswers(ctx, inForceLimit, "no answers behind the fault", s.all(), began(time.Now(), 2))
	if err != nil {
		return err
	}
	for _, entry := range s.all() {
		for _, e := range t.answers(entry) {
			if e.Revision != configFirst {
				return fmt.Errorf("%w: refused, but %s follows it", errNotInForce, e.Result.RequestID)
			}
		}
	}
	return nil
}

// follows returns a condition that holds once the last answer to a request that
// began after a moment follows a configuration. Answers to earlier requests tell
// nothing: an entry that has started again since may have gone back.
func follows(want int, from time.Time) func([]Exchange) bool {
	return func(answers []Exchange) bool {
		last := len(answers) - 1
		return last >= 0 && answers[last].Result.Began.After(from) && answers[last].Revision == want
	}
}

// awaitRevision waits until the entries' answers to requests that began after a
// moment follow a configuration, and checks that it took no longer than it may
// from that moment on.
func (t *traffic) awaitRevision(ctx context.Context, entries []int, want int, from time.Time) error {
	what := fmt.Sprintf("%v: configuration %d is not in force", errNotInForce, want+1)
	err := t.awaitAnswers(ctx, 2*inForceLimit, what, entries, follows(want, from))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotInForce, err)
	}
	for _, entry := range entries {
		for _, e := range t.answers(entry) {
			if e.Revision == want || !e.Result.Began.After(from.Add(inForceLimit)) {
				continue
			}
			return fmt.Errorf("%w: %s follows an older one %d ms after the accept",
				errNotInForce, e.Result.RequestID, e.Result.Began.Sub(from).Milliseconds())
		}
	}
	return nil
}

// monotonic checks that no request that an entry got after it had answered by a
// later configuration was answered by an earlier one.
func (j *judge) monotonic(t *traffic) {
	for entry := range t.site.Fleet.Entries {
		answers := t.answers(entry)
		for _, earlier := range answers {
			ended := earlier.Result.Began.Add(earlier.Result.Latency)
			for _, later := range answers {
				if later.Result.Began.After(ended) && later.Revision < earlier.Revision {
					j.find(NotReverted, "%s follows configuration %d, behind %s with %d",
						later.Result.RequestID, later.Revision+1, earlier.Result.RequestID, earlier.Revision+1)
					return
				}
			}
		}
	}
}

// changeFaults are faults of the operators themselves.
func changeFaults() []Fault {
	killed := func(_ context.Context, s *Scene) error {
		s.operation.cancel()
		<-s.operation.done
		return nil
	}
	racing := func(ctx context.Context, s *Scene) error {
		other := s.Site.operate(ctx, "apply", s.Site.files[configThird])
		<-other.done
		if other.said != saidAccepted {
			return fmt.Errorf("the other operator was told %q", other.said)
		}
		return nil
	}
	return []Fault{
		{Name: "operator's command killed", At: []Kind{kindAccept, kindSpread}, inject: killed, heal: none},
		{Name: "operators racing", At: []Kind{kindAccept}, Wins: configThird, inject: racing, heal: none},
		{Name: "none", At: []Kind{kindAccept, kindSpread, kindPlan, kindOrder, kindFence, kindDelete}, inject: none, heal: none},
	}
}
