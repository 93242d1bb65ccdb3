package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/upstream"
)

// leaveLimit is how long after the notice an upstream may still get work.
const leaveLimit = 2 * time.Second

// enoughResults is the number of responses of each entry that show that work continues
// without the upstream that left.
const enoughResults = 5

// trafficLimit bounds each wait for results of the traffic.
const trafficLimit = 20 * time.Second

// runDrain drains an upstream under traffic while a fault happens. No work may begin
// there later than 2 s after the notice.
func runDrain(ctx context.Context, s *CellRun, f Fault, report *Report) error {
	t := s.Site.startTraffic(ctx)
	err := t.awaitAnswered(ctx, trafficLimit, "the traffic is not answered", s.allEntries(), startedAfter(time.Time{}, 2))
	if err != nil {
		t.end()
		return err
	}
	notice, err := s.drain(ctx, f)
	if err != nil {
		t.end()
		return err
	}
	if err := s.inject(ctx, f); err != nil {
		t.end()
		return err
	}
	leaveDeadline := notice.Add(leaveLimit)
	problem := s.awaitResultsDuringFault(ctx, t, f, leaveDeadline)
	healed := time.Now()
	if err := s.heal(ctx, f); problem == nil {
		problem = err
	}
	resumed := t.awaitAnswered(ctx, trafficLimit, "no responses after the fault", s.allEntries(), startedAfter(maxTime(leaveDeadline, healed), enoughResults))
	if problem == nil {
		problem = resumed
	}
	report.Findings, report.Counts, err = judgeScenario(ctx, s, f, t, problem, func(j *judge) {
		j.checkLateWork(s.Upstream.Name, f.Partition.noticeTime(notice, healed), leaveLimit)
	})
	return err
}

// awaitResultsDuringFault waits, while the fault lasts, for enough results of requests
// that began after a given time. While the store is down refusals count as results,
// since the claimed stage must be refused.
func (s *CellRun) awaitResultsDuringFault(ctx context.Context, t *traffic, f Fault, after time.Time) error {
	results := t.answered
	if f.Affects&componentStore != 0 && !f.Partition.present() {
		results = t.results
	}
	return t.awaitResults(ctx, trafficLimit, "no responses during the fault", s.unaffectedEntries(f), results, startedAfter(after, enoughResults))
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drain gives the notice, by the fault's own means or by the operators' command, and
// returns the time after it.
func (s *CellRun) drain(ctx context.Context, f Fault) (time.Time, error) {
	notice := f.notice
	if notice == nil {
		notice = drainByOperator
	}
	if err := notice(ctx, s); err != nil {
		return time.Time{}, fmt.Errorf("notice: %w", err)
	}
	return time.Now(), nil
}

// drainByOperator drains the upstream with the operators' command.
func drainByOperator(ctx context.Context, s *CellRun) error {
	drain := s.Site.startOperation(ctx, "drain", s.Upstream.Name)
	<-drain.done
	if drain.outcome != outcomeAccepted {
		return fmt.Errorf("the drain was reported as %q", drain.outcome)
	}
	return nil
}

// drainByHostList marks the upstream's host as leaving.
func drainByHostList(ctx context.Context, s *CellRun) error {
	return s.Site.Fleet.SetLeaving(ctx, s.Upstream.Name, true)
}

// drainByEngine makes the upstream itself give notice.
func drainByEngine(ctx context.Context, s *CellRun) error {
	return s.Site.control(ctx, s.Upstream.Name, func(c *upstream.Control) { c.Leaving = true })
}

// drainBySide starts a planned stop of the upstream's sidecar.
func drainBySide(_ context.Context, s *CellRun) error { return s.Upstream.Side.SignalTerminate() }

// awaitFinalStop waits until the sidecar has stopped and does not start it again.
func awaitFinalStop(ctx context.Context, s *CellRun) error {
	if err := awaitStop(ctx, s.Upstream.Side); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	s.tap().Refuse()
	return nil
}

// drainFaults returns the four ways to announce that an upstream leaves.
func drainFaults() []Fault {
	only := []Kind{kindDrain}
	return []Fault{
		{Name: "leaving by the host list", ScenarioSteps: only, Planned: true, notice: drainByHostList, inject: noop, heal: noop},
		{Name: "leaving by the engine's notice", ScenarioSteps: only, Planned: true, notice: drainByEngine, inject: noop, heal: noop},
		{Name: "leaving by the side's stop", ScenarioSteps: only, Planned: true, notice: drainBySide, inject: noop, heal: awaitFinalStop},
		{Name: "leaving by the operator's drain", ScenarioSteps: only, Planned: true, notice: drainByOperator, inject: noop, heal: noop},
	}
}
