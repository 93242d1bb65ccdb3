package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/upstream"
)

// leaveLimit is how long after the notice an upstream may still be given work.
const leaveLimit = 2 * time.Second

// enoughAfter is how many answers of each entry show that work goes on without
// the upstream that left.
const enoughAfter = 5

// drainLimit bounds each wait for the traffic.
const drainLimit = 20 * time.Second

// playDrain drains an upstream under traffic while a fault happens. From two
// seconds after the notice on nothing may begin there.
func playDrain(ctx context.Context, s *Scene, f Fault, report *Report) error {
	t := s.Site.startTraffic(ctx)
	err := t.awaitAnswers(ctx, drainLimit, "the traffic does not run", s.all(), began(time.Time{}, 2))
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
	late := notice.Add(leaveLimit)
	problem := s.awaitDuring(ctx, t, f, late)
	healed := time.Now()
	if err := s.heal(ctx, f); problem == nil {
		problem = err
	}
	again := t.awaitAnswers(ctx, drainLimit, "no answers behind the fault", s.all(), began(maxTime(late, healed), enoughAfter))
	if problem == nil {
		problem = again
	}
	report.Findings, report.Counts, err = judgeCourse(ctx, s, f, t, problem, func(j *judge) {
		j.lateWork(s.Upstream.Name, f.Partition.heard(notice, healed), leaveLimit)
	})
	return err
}

// awaitDuring waits until enough requests that began after a moment have been
// answered while the fault lasts. While the store is down, refusals will do,
// since the claimed stage must be refused.
func (s *Scene) awaitDuring(ctx context.Context, t *traffic, f Fault, after time.Time) error {
	results := t.answers
	if f.Touch&touchStore != 0 && !f.Partition.present() {
		results = t.results
	}
	return t.awaitResults(ctx, drainLimit, "no answers during the fault", s.others(f), results, began(after, enoughAfter))
}

// maxTime returns the later of two moments.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drain gives the notice and returns the moment when it was given: the fault's
// own, or the operators' command.
func (s *Scene) drain(ctx context.Context, f Fault) (time.Time, error) {
	notice := f.notice
	if notice == nil {
		notice = drainByOperator
	}
	if err := notice(ctx, s); err != nil {
		return time.Time{}, fmt.Errorf("notice: %w", err)
	}
	return time.Now(), nil
}

// drainByOperator drains the upstream by the operators' command.
func drainByOperator(ctx context.Context, s *Scene) error {
	o := s.Site.operate(ctx, "drain", s.Upstream.Name)
	<-o.done
	if o.said != saidAccepted {
		return fmt.Errorf("the operator was told %q", o.said)
	}
	return nil
}

// drainByHostList marks the upstream's host as leaving.
func drainByHostList(ctx context.Context, s *Scene) error {
	return s.Site.Fleet.SetLeaving(ctx, s.Upstream.Name, true)
}

// drainByEngine lets the upstream itself give notice.
func drainByEngine(ctx context.Context, s *Scene) error {
	return s.Site.control(ctx, s.Upstream.Name, func(c *upstream.Control) { c.Leaving = true })
}

// drainBySide stops the upstream's side as planned.
func drainBySide(_ context.Context, s *Scene) error { return s.Upstream.Side.Interrupt() }

// stayedStopped waits for the side's end and leaves it so.
func stayedStopped(ctx context.Context, s *Scene) error {
	if err := awaitStop(ctx, s.Upstream.Side); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	s.tap().Refuse()
	return nil
}

// drainFaults are the four signals by which an upstream leaves.
func drainFaults() []Fault {
	only := []Kind{kindDrain}
	return []Fault{
		{Name: "leaving by the host list", At: only, Planned: true, notice: drainByHostList, inject: none, heal: none},
		{Name: "leaving by the engine's notice", At: only, Planned: true, notice: drainByEngine, inject: none, heal: none},
		{Name: "leaving by the side's stop", At: only, Planned: true, notice: drainBySide, inject: none, heal: stayedStopped},
		{Name: "leaving by the operator's drain", At: only, Planned: true, notice: drainByOperator, inject: none, heal: none},
	}
}
