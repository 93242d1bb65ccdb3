package faults

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
)

// errNotGraceful tells that a planned stop did not end with code 0 in time.
var errNotGraceful = errors.New("the planned stop was not graceful")

// requestCell returns the cell of a fault at a step of a request.
func requestCell(f Fault, step Step) Cell {
	return Cell{
		Fault:    f.Name,
		Step:     step.Name,
		Excluded: f.Excludes(step),
		Needs:    f.Needs,
		run: func(ctx context.Context, s *Site, report *Report) error {
			return playRequest(ctx, &Scene{Site: s, Step: step}, f, report)
		},
	}
}

// playRequest lets a request run into a fault, asks again with its key and
// judges all.
func playRequest(ctx context.Context, s *Scene, f Fault, report *Report) error {
	site := s.Site
	request := site.newRequest()
	if f.prepare != nil {
		if err := f.prepare(ctx, s); err != nil {
			return err
		}
	}
	first, err := reach(ctx, s, f, &request)
	if err != nil {
		return err
	}
	if err := f.inject(ctx, s); err != nil {
		return fmt.Errorf("inject: %w", err)
	}
	s.linger(ctx, f)
	s.armed.resume(ctx)
	if !f.HoldOn {
		s.armed.release()
	}
	exchange := Exchange{Request: request}
	switch {
	case f.EntryGone:
		exchange.Excused = f.Name
		site.askWhileGone(ctx, f, request)
	case f.Partition.present():
		s.askWhileApart(ctx, f, request)
		if !f.HoldOn {
			<-first.done
		}
	default:
		<-first.done
	}
	s.armed.release()
	healed := f.heal(ctx, s)
	<-first.done
	exchange.Result = first.result
	exchange.Revision = s.revisionOf(f, first.result)
	site.record(exchange)
	last, settled := finish(ctx, s, f, request)
	report.First, report.Last = outcomeOf(first.result), outcomeOf(last)
	return conclude(s, f, exchange, last, errors.Join(healed, settled), report)
}

// reach sends the request and waits until it stands at the step.
func reach(ctx context.Context, s *Scene, f Fault, request *caller.Request) (*pending, error) {
	var err error
	if s.armed, err = s.Step.arm(ctx, s.Site, request); err != nil {
		return nil, err
	}
	s.Entry = s.Site.Fleet.Entries[f.entry()]
	first := s.Site.send(ctx, f.entry(), *request, 0)
	name, err := s.armed.reached(ctx, first)
	if err != nil {
		return nil, err
	}
	s.Upstream = s.Site.Fleet.Upstream(name)
	if s.Upstream == nil {
		return nil, fmt.Errorf("the step is at %q, which is no upstream", name)
	}
	return first, nil
}

// revisionOf returns the configuration that the first answer follows. A request
// that was not admitted when the change was made may follow either.
func (s *Scene) revisionOf(f Fault, result caller.Result) int {
	if f.Name == configurationFault && s.Step.Kind == kindAdmission && result.Verdict == caller.Mismatch {
		return 1
	}
	return 0
}

// finish asks again with the key, then with a new one through each entry, when
// the fault is over, and waits until nothing is in flight.
func finish(ctx context.Context, s *Scene, f Fault, request caller.Request) (caller.Result, error) {
	site := s.Site
	last := site.askUntilSettled(ctx, 1, request, site.revision(f))
	var group errgroup.Group
	for entry := range site.Fleet.Entries {
		group.Go(func() error {
			result := site.askUntilSettled(ctx, entry, site.newRequest(), site.revision(f))
			if result.Verdict == caller.Whole {
				return nil
			}
			return fmt.Errorf("%w: through %s: %s", errNotRecovered, site.Fleet.Entries[entry].Name, outcomeOf(result))
		})
	}
	if err := group.Wait(); err != nil {
		return last, err
	}
	return last, site.settle(ctx)
}

// asksWhileDown is how often a key is asked for while its entry is gone and the
// store is down: each answer must be a refusal.
const asksWhileDown = 3

// askWhileGone asks with the request's key through the other entry.
func (s *Site) askWhileGone(ctx context.Context, f Fault, request caller.Request) {
	if f.Touch&touchStore == 0 {
		s.askUntilSettled(ctx, 1, request, configFirst)
		return
	}
	request.BeforeBody = nil
	for range asksWhileDown {
		if s.ask(ctx, 1, request, configFirst).Verdict == caller.Whole {
			return
		}
		pause(ctx, shortestWait)
	}
}

// errNotRecovered tells that requests are not answered after the fault.
var errNotRecovered = errors.New("not recovered")

// configurationFault is the fault behind which the second configuration holds.
const configurationFault = "configuration changed midway"

// revision returns the configuration in force behind a fault.
func (s *Site) revision(f Fault) int {
	if f.Name == configurationFault {
		return 1
	}
	return 0
}

// settleTimeout bounds the wait until nothing is in flight.
const settleTimeout = 10 * time.Second

// settle waits until every execution that began has ended, unless its upstream
// was killed meanwhile.
func (s *Site) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return harness.Await(ctx, "executions go on", func(ctx context.Context) error {
		for _, entry := range s.Fleet.Entries {
			if err := entry.Idle(ctx); err != nil {
				return err
			}
		}
		for _, u := range s.Fleet.Upstreams {
			if err := u.Idle(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// outcomeOf says in a word what a caller got.
func outcomeOf(r caller.Result) string {
	if r.Verdict == caller.Problem {
		return string(r.Outcome)
	}
	return string(r.Verdict)
}

// conclude judges the cell.
func conclude(s *Scene, f Fault, first Exchange, last caller.Result, problem error, report *Report) error {
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return err
	}
	j := newJudge(s.Site.catalogs, records)
	j.exchanges(s.Site.exchanges)
	j.unknowns(s.Site.exchanges, mayBeUnknown(f, s.Step))
	j.firstAnswer(f, s.Step, first)
	j.beyond(s.harmed)
	j.ending(problem)
	j.lastAnswer(f, s.Step, last)
	report.Counts = j.counts
	report.Findings = append(report.Findings, j.findings...)
	return nil
}

// firstAnswer checks what the caller at the step got, as far as the fault must not
// matter to it.
func (j *judge) firstAnswer(f Fault, step Step, first Exchange) {
	refusedAtTheDoor := step.Kind == kindAdmission && first.Result.Outcome == core.OutcomeNotRun
	if f.Planned && first.Result.Verdict != caller.Whole && !refusedAtTheDoor {
		j.find(NotCut, "%s", describe(first))
	}
	if f.Harmless && first.Result.Verdict != caller.Whole {
		j.find(Harmless, "%s", describe(first))
	}
}

// beyond reports the requests that a part which a partition leaves whole did not
// answer.
func (j *judge) beyond(harmed []Exchange) {
	for _, e := range harmed {
		j.find(Harmless, "in a part that the fault leaves alone: %s", describe(e))
	}
}

// ending reports what went wrong at the end of the fault.
func (j *judge) ending(problem error) {
	switch {
	case errors.Is(problem, errNotGraceful):
		j.find(NotCut, "%v", problem)
	case problem != nil:
		j.find(Recovers, "%v", problem)
	}
}

// lastAnswer checks what asking again with the key got behind the fault.
func (j *judge) lastAnswer(f Fault, step Step, last caller.Result) {
	switch {
	case last.Outcome == core.OutcomeUnknown && !mayStayUnknown(f, step):
		j.find(TrueUnknown, "the key stays unknown behind the fault: %s", last.Detail)
	case last.Verdict != caller.Whole && last.Outcome != core.OutcomeUnknown:
		j.find(Recovers, "the key gets no answer: %s %s", outcomeOf(last), last.Detail)
	}
}

// mayBeUnknown tells whether a fault at a step can hide for good whether the
// claimed stage ran: it takes what could tell before the entry has the answer. The
// claim is written beside the first stage.
func mayBeUnknown(f Fault, step Step) bool {
	if f.TakesWitnesses && step.Stage == stageEncode {
		return true
	}
	return f.Touch&(touchSide|touchUpstream|touchLink|touchZone) != 0 && step.Stage == stagePay && step.Kind != kindAcknowledge
}

// mayStayUnknown tells the same for when the fault is over. A partition takes
// nothing away, so that behind it all can be found out.
func mayStayUnknown(f Fault, step Step) bool {
	return mayBeUnknown(f, step) && (!f.Partition.present() || f.SideGone)
}
