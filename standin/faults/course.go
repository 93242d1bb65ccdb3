package faults

import (
	"context"
	"errors"
	"fmt"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
)

// The steps of courses, which are no single request's.
var (
	stepAccept = Step{Name: "config accept", Kind: kindAccept}
	stepSpread = Step{Name: "config spread", Kind: kindSpread}
	stepPlan   = Step{Name: "placement plan", Kind: kindPlan}
	stepOrder  = Step{Name: "placement order", Kind: kindOrder}
	stepDrain  = Step{Name: "drain", Kind: kindDrain}
	stepFence  = Step{Name: "removal fence", Kind: kindFence}
	stepDelete = Step{Name: "removal delete", Kind: kindDelete}
)

// courseSteps returns the steps of courses in their order.
func courseSteps() []Step {
	return []Step{stepAccept, stepSpread, stepPlan, stepOrder, stepDrain, stepFence, stepDelete}
}

// takesPart says what takes part in a step, so that a fault of it matters.
var takesPart = map[Kind]Touch{
	kindAccept: touchEntry | touchStore | touchZone,
	kindSpread: touchEntry | touchSide | touchStore | touchZone,
	kindPlan:   touchEntry | touchStore | touchZone,
	kindOrder:  touchEntry | touchSide | touchUpstream | touchStore | touchZone,
	kindDrain:  touchEntry | touchSide | touchUpstream | touchLink | touchStore | touchZone,
	kindFence:  touchEntry | touchStore,
	kindDelete: touchEntry | touchStore,
}

// notInCourse returns why a fault can't apply at the step of a course.
func notInCourse(f Fault, step Step) string {
	switch {
	case f.Touch == 0 || f.prepare != nil || f.InRequest:
		return "the fault is one of a request's own messages, or a change itself"
	case f.Partition.across && step.Kind == kindDrain:
		return "no other upstream is there to go on"
	case f.Partition.scope&harness.ObjectAPI != 0:
		return ""
	case f.Touch&^takesPart[step.Kind] != 0:
		return "what the fault takes has no part in this step"
	}
	return ""
}

// courseCell returns the cell of a fault at the step of a course.
func courseCell(f Fault, step Step) Cell {
	c := Cell{Fault: f.Name, Step: step.Name, Excluded: notInCourse(f, step), Needs: f.Needs}
	plays := map[Kind]func(context.Context, *Scene, Fault, *Report) error{
		kindAccept: playChange,
		kindSpread: playChange,
		kindPlan:   playPlacement,
		kindOrder:  playPlacement,
		kindDrain:  playDrain,
		kindFence:  playRemoval,
		kindDelete: playRemoval,
	}
	if step.Kind == kindPlan || step.Kind == kindOrder {
		c.Needs.EntrySettings = placementSettings
		c.Needs.IgnoreFencing = true
	}
	if step.Kind == kindFence || step.Kind == kindDelete {
		c.Needs.EntrySettings = removalSettings
	}
	c.run = func(ctx context.Context, s *Site, report *Report) error {
		scene := &Scene{Site: s, Step: step, armed: &armed{resume: nothing, release: func() {}}}
		scene.Entry = s.Fleet.Entries[f.entry()]
		scene.Upstream = s.Fleet.Service(services[stagePay])[0]
		return plays[step.Kind](ctx, scene, f, report)
	}
	return c
}

// inject makes the fault happen and notes that it takes the scene's entry.
func (s *Scene) inject(ctx context.Context, f Fault) error {
	if f.Touch&touchEntry != 0 {
		s.Site.leaveEntry(s.entryIndex(), f.Name)
	}
	if f.inject == nil {
		return nil
	}
	if err := f.inject(ctx, s); err != nil {
		return fmt.Errorf("inject: %w", err)
	}
	return nil
}

// heal ends the fault and notes that the entry is back.
func (s *Scene) heal(ctx context.Context, f Fault) error {
	var err error
	if f.heal != nil {
		err = f.heal(ctx, s)
	}
	s.Site.returnEntry(s.entryIndex())
	return err
}

// entryIndex returns the number of the scene's entry.
func (s *Scene) entryIndex() int {
	for i, entry := range s.Site.Fleet.Entries {
		if entry == s.Entry {
			return i
		}
	}
	return 0
}

// others returns the numbers of the entries that the fault leaves alone.
func (s *Scene) others(f Fault) []int {
	taken := f.Touch&touchEntry != 0 || f.SideGone || f.Partition.starves(s.Step)
	var left []int
	for i := range s.Site.Fleet.Entries {
		if !taken || i != s.entryIndex() {
			left = append(left, i)
		}
	}
	return left
}

// awaitAnswers waits until a condition holds for the whole answers of each of
// the given entries.
func (t *traffic) awaitAnswers(ctx context.Context, limit time.Duration, what string, entries []int, enough func([]Exchange) bool) error {
	return t.awaitResults(ctx, limit, what, entries, t.answers, enough)
}

// awaitResults is awaitAnswers for the given kind of results.
func (t *traffic) awaitResults(ctx context.Context, limit time.Duration, what string, entries []int,
	results func(entry int) []Exchange, enough func([]Exchange) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return harness.Await(ctx, what, func(context.Context) error {
		for _, entry := range entries {
			if !enough(results(entry)) {
				return fmt.Errorf("%s has not enough", t.site.Fleet.Entries[entry].Name)
			}
		}
		return nil
	})
}

// began returns a condition that holds with count answers to requests that began
// after a moment.
func began(after time.Time, count int) func([]Exchange) bool {
	return func(answers []Exchange) bool {
		found := 0
		for _, e := range answers {
			if e.Result.Began.After(after) {
				found++
			}
		}
		return found >= count
	}
}

// judgeCourse ends the traffic and judges what all courses have in common.
func judgeCourse(ctx context.Context, s *Scene, f Fault, t *traffic, problem error, more func(*judge)) ([]Finding, Counts, error) {
	t.end()
	settled := s.Site.settle(ctx)
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return nil, Counts{}, err
	}
	j := newJudge(s.Site.catalogs, records)
	j.exchanges(s.Site.exchanges)
	j.orders()
	// The traffic meets the fault at any of its steps.
	j.unknowns(s.Site.exchanges, f.Touch&(touchSide|touchUpstream|touchLink|touchZone) != 0)
	if f.Planned {
		j.uncut(t)
	}
	switch {
	case errors.Is(problem, errNotGraceful):
		j.find(NotCut, "%v", problem)
	case errors.Is(problem, errNotInForce):
		j.find(NotReverted, "%v", problem)
	case problem != nil || settled != nil:
		j.find(Recovers, "%v", errors.Join(problem, settled))
	}
	if more != nil {
		more(j)
	}
	return j.findings, j.counts, nil
}

// uncut checks that each request of the traffic was answered, unless its own
// entry was stopping.
func (j *judge) uncut(t *traffic) {
	for _, sent := range t.sent {
		for _, e := range sent {
			if e.Result.Verdict != caller.Whole && e.Excused == "" {
				j.find(NotCut, "%s", describe(e))
			}
		}
	}
}
