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

// errNotGraceful reports that a planned stop did not end with code 0 in time.
var errNotGraceful = errors.New("the planned stop was not graceful")

// requestCell returns the cell of a fault at a step of a request.
func requestCell(f Fault, step Step) Cell {
	return Cell{
		Fault:    f.Name,
		Step:     step.Name,
		Excluded: f.Excludes(step),
		Needs:    f.Needs,
		run: func(ctx context.Context, s *Site, report *Report) error {
			return runRequest(ctx, &CellRun{Site: s, Step: step}, f, report)
		},
	}
}

// runRequest stops a request at the step, injects the fault, retries with the request's
// key and judges the cell.
func runRequest(ctx context.Context, s *CellRun, f Fault, report *Report) error {
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
	s.awaitEarlyExit(ctx, f)
	s.armed.resume(ctx)
	if !f.HoldMessage {
		s.armed.release()
	}
	exchange := Exchange{Request: request}
	switch {
	case f.EntryDown:
		exchange.Excused = f.Name
		site.retryWhileEntryDown(ctx, f, request)
	case f.Partition.present():
		s.retryAcrossPartition(ctx, f, request)
		if !f.HoldMessage {
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
	return judgeRequest(s, f, exchange, last, errors.Join(healed, settled), report)
}

// reach sends the request and waits until it is at the step.
func reach(ctx context.Context, s *CellRun, f Fault, request *caller.Request) (*pending, error) {
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
		return nil, fmt.Errorf("unknown upstream %q at the step", name)
	}
	return first, nil
}

// revisionOf returns the configuration that the first response follows. A request that
// was not admitted when the change was made may follow either.
func (s *CellRun) revisionOf(f Fault, result caller.Result) int {
	if f.Name == configurationFault && s.Step.Kind == kindAdmission && result.Verdict == caller.Mismatch {
		return 1
	}
	return 0
}

// finish retries with the key after the fault, then sends a new request through each
// entry, and waits until nothing is in flight.
func finish(ctx context.Context, s *CellRun, f Fault, request caller.Request) (caller.Result, error) {
	site := s.Site
	last := site.requestUntilSettled(ctx, 1, request, site.revision(f))
	var group errgroup.Group
	for entry := range site.Fleet.Entries {
		group.Go(func() error {
			result := site.requestUntilSettled(ctx, entry, site.newRequest(), site.revision(f))
			if result.Verdict == caller.Complete {
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

// triesWhileStoreDown is how often a key is retried while its entry is down and the
// store is down: each response must be a refusal.
const triesWhileStoreDown = 3

// retryWhileEntryDown retries with the request's key through the other entry.
func (s *Site) retryWhileEntryDown(ctx context.Context, f Fault, request caller.Request) {
	if f.Affects&componentStore == 0 {
		s.requestUntilSettled(ctx, 1, request, configFirst)
		return
	}
	request.BeforeBody = nil
	for range triesWhileStoreDown {
		if s.request(ctx, 1, request, configFirst).Verdict == caller.Complete {
			return
		}
		sleep(ctx, minRetryWait)
	}
}

// errNotRecovered reports that requests are not answered after the fault.
var errNotRecovered = errors.New("not recovered")

// configurationFault is the fault after which the second configuration is in force.
const configurationFault = "configuration changed midway"

// revision returns the configuration in force after a fault.
func (s *Site) revision(f Fault) int {
	if f.Name == configurationFault {
		return 1
	}
	return 0
}

// settleTimeout bounds the wait until nothing is in flight.
const settleTimeout = 10 * time.Second

// settle waits until every execution that began has ended, unless its upstream was
// killed meanwhile.
func (s *Site) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return harness.Await(ctx, "executions are still in flight", func(ctx context.Context) error {
		for _, entry := range s.Fleet.Entries {
			if err := entry.CheckIdle(ctx); err != nil {
				return err
			}
		}
		for _, u := range s.Fleet.Upstreams {
			if err := u.CheckIdle(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// outcomeOf returns the outcome of a problem document, or else the verdict of the
// caller.
func outcomeOf(r caller.Result) string {
	if r.Verdict == caller.Problem {
		return string(r.Outcome)
	}
	return string(r.Verdict)
}

// judgeRequest judges the cell.
func judgeRequest(s *CellRun, f Fault, first Exchange, last caller.Result, problem error, report *Report) error {
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return err
	}
	j := newJudge(s.Site.catalogs, records)
	j.checkExchanges(s.Site.exchanges)
	j.checkUnknowns(s.Site.exchanges, mayBeUnknown(f, s.Step))
	j.checkFirst(f, s.Step, first)
	j.addHarmed(s.harmed)
	j.checkEnd(problem)
	j.checkLast(f, s.Step, last)
	report.Counts = j.counts
	report.Findings = append(report.Findings, j.findings...)
	return nil
}

// checkFirst checks the response to the request at the step, if the fault must not
// affect it.
func (j *judge) checkFirst(f Fault, step Step, first Exchange) {
	refusedAtAdmission := step.Kind == kindAdmission && first.Result.Outcome == core.OutcomeNotRun
	if f.Planned && first.Result.Verdict != caller.Complete && !refusedAtAdmission {
		j.addFinding(NotCut, "%s", describeExchange(first))
	}
	if f.Harmless && first.Result.Verdict != caller.Complete {
		j.addFinding(Harmless, "%s", describeExchange(first))
	}
}

// addHarmed reports the requests that were not answered although a partition must not
// affect them.
func (j *judge) addHarmed(harmed []Exchange) {
	for _, e := range harmed {
		j.addFinding(Harmless, "in a part that the fault leaves alone: %s", describeExchange(e))
	}
}

// checkEnd reports what failed at the end of the fault.
func (j *judge) checkEnd(problem error) {
	switch {
	case errors.Is(problem, errNotGraceful):
		j.addFinding(NotCut, "%v", problem)
	case problem != nil:
		j.addFinding(Recovers, "%v", problem)
	}
}

// checkLast checks the response to the retry with the key after the fault.
func (j *judge) checkLast(f Fault, step Step, last caller.Result) {
	switch {
	case last.Outcome == core.OutcomeUnknown && !mayStayUnknown(f, step):
		j.addFinding(TrueUnknown, "the key stays unknown behind the fault: %s", last.Detail)
	case last.Verdict != caller.Complete && last.Outcome != core.OutcomeUnknown:
		j.addFinding(Recovers, "the key gets no answer: %s %s", outcomeOf(last), last.Detail)
	}
}

// mayBeUnknown reports whether a fault at a step can hide for good whether the claimed
// stage ran, because it takes down what could determine it before the entry has the
// response. The claim is written while the first stage is in progress.
func mayBeUnknown(f Fault, step Step) bool {
	if f.HidesDispatch && step.Stage == stageEncode {
		return true
	}
	return f.Affects&(componentSide|componentUpstream|componentLink|componentZone) != 0 && step.Stage == stagePay && step.Kind != kindAcknowledge
}

// mayStayUnknown reports whether the outcome may still be unknown after the fault. A
// partition destroys no state, so that every outcome can be determined after it.
func mayStayUnknown(f Fault, step Step) bool {
	return mayBeUnknown(f, step) && (!f.Partition.present() || f.SideDown)
}
