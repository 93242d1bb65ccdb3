package faults

import (
	"context"
	"errors"
	"fmt"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
)

// The steps of scenarios, which do not belong to a single request.
var (
	stepAccept    = Step{Name: "config accept", Kind: kindAccept}
	stepPropagate = Step{Name: "config spread", Kind: kindPropagate}
	stepPlan      = Step{Name: "placement plan", Kind: kindPlan}
	stepOrder     = Step{Name: "placement order", Kind: kindOrder}
	stepDrain     = Step{Name: "drain", Kind: kindDrain}
	stepFence     = Step{Name: "removal fence", Kind: kindFence}
	stepDelete    = Step{Name: "removal delete", Kind: kindDelete}
)

// scenarioSteps returns the steps of scenarios in their order.
func scenarioSteps() []Step {
	return []Step{stepAccept, stepPropagate, stepPlan, stepOrder, stepDrain, stepFence, stepDelete}
}

// involvedComponents holds the components that are involved in a step, so that a fault of
// one of them matters.
var involvedComponents = map[Kind]Components{
	kindAccept:    componentEntry | componentStore | componentZone,
	kindPropagate: componentEntry | componentSide | componentStore | componentZone,
	kindPlan:      componentEntry | componentStore | componentZone,
	kindOrder:     componentEntry | componentSide | componentUpstream | componentStore | componentZone,
	kindDrain:     componentEntry | componentSide | componentUpstream | componentLink | componentStore | componentZone,
	kindFence:     componentEntry | componentStore,
	kindDelete:    componentEntry | componentStore,
}

// scenarioExclusion returns why a fault can't happen at the step of a scenario, or "".
func scenarioExclusion(f Fault, step Step) string {
	switch {
	case f.Affects == 0 || f.prepare != nil || f.InRequest:
		return "the fault is one of a request's own messages, or a change itself"
	case f.Partition.across && step.Kind == kindDrain:
		return "no other upstream is there to go on"
	case f.Partition.scope&harness.ObjectAPI != 0:
		return ""
	case f.Affects&^involvedComponents[step.Kind] != 0:
		return "what the fault takes has no part in this step"
	}
	return ""
}

// scenarioCell returns the cell of a fault at the step of a scenario.
func scenarioCell(f Fault, step Step) Cell {
	c := Cell{Fault: f.Name, Step: step.Name, Excluded: scenarioExclusion(f, step), Needs: f.Needs}
	runs := map[Kind]func(context.Context, *CellRun, Fault, *Report) error{
		kindAccept:    runChange,
		kindPropagate: runChange,
		kindPlan:      runPlacement,
		kindOrder:     runPlacement,
		kindDrain:     runDrain,
		kindFence:     runRemoval,
		kindDelete:    runRemoval,
	}
	if step.Kind == kindPlan || step.Kind == kindOrder {
		c.Needs.EntrySettings = placementSettings
		c.Needs.IgnoreFencing = true
	}
	if step.Kind == kindFence || step.Kind == kindDelete {
		c.Needs.EntrySettings = removalSettings
	}
	c.run = func(ctx context.Context, s *Site, report *Report) error {
		run := &CellRun{Site: s, Step: step, armed: &armedStep{resume: noResume, release: func() {}}}
		run.Entry = s.Fleet.Entries[f.entry()]
		run.Upstream = s.Fleet.Service(services[stagePay])[0]
		return runs[step.Kind](ctx, run, f, report)
	}
	return c
}

// inject makes the fault happen and records whether it takes down the cell's entry.
func (s *CellRun) inject(ctx context.Context, f Fault) error {
	if f.Affects&componentEntry != 0 {
		s.Site.markEntryDown(s.entryIndex(), f.Name)
	}
	if f.inject == nil {
		return nil
	}
	if err := f.inject(ctx, s); err != nil {
		return fmt.Errorf("inject: %w", err)
	}
	return nil
}

// heal ends the fault and records that the entry is running again.
func (s *CellRun) heal(ctx context.Context, f Fault) error {
	var err error
	if f.heal != nil {
		err = f.heal(ctx, s)
	}
	s.Site.markEntryUp(s.entryIndex())
	return err
}

// entryIndex returns the index of the cell's entry.
func (s *CellRun) entryIndex() int {
	for i, entry := range s.Site.Fleet.Entries {
		if entry == s.Entry {
			return i
		}
	}
	return 0
}

// unaffectedEntries returns the indexes of the entries that the fault leaves able to
// respond.
func (s *CellRun) unaffectedEntries(f Fault) []int {
	blocked := f.Affects&componentEntry != 0 || f.SideDown || f.Partition.blocksZone(s.Step)
	var entries []int
	for i := range s.Site.Fleet.Entries {
		if !blocked || i != s.entryIndex() {
			entries = append(entries, i)
		}
	}
	return entries
}

// awaitAnswered waits until enough returns true for the exchanges with a complete response
// of each of the given entries.
func (t *traffic) awaitAnswered(ctx context.Context, limit time.Duration, what string, entries []int, enough func([]Exchange) bool) error {
	return t.awaitResults(ctx, limit, what, entries, t.answered, enough)
}

// awaitResults is awaitAnswered for the exchanges that results returns.
func (t *traffic) awaitResults(ctx context.Context, limit time.Duration, what string, entries []int,
	results func(entry int) []Exchange, enough func([]Exchange) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return harness.Await(ctx, what, func(context.Context) error {
		for _, entry := range entries {
			if !enough(results(entry)) {
				return fmt.Errorf("%s has too few results", t.site.Fleet.Entries[entry].Name)
			}
		}
		return nil
	})
}

// startedAfter returns a condition that holds once count of the exchanges are of
// requests that began after a given time.
func startedAfter(after time.Time, count int) func([]Exchange) bool {
	return func(exchanges []Exchange) bool {
		found := 0
		for _, e := range exchanges {
			if e.Result.Began.After(after) {
				found++
			}
		}
		return found >= count
	}
}

// judgeScenario ends the traffic and makes the checks that all scenarios have in common,
// then extraChecks, if set.
func judgeScenario(ctx context.Context, s *CellRun, f Fault, t *traffic, problem error, extraChecks func(*judge)) ([]Finding, Counts, error) {
	t.end()
	settled := s.Site.settle(ctx)
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return nil, Counts{}, err
	}
	j := newJudge(s.Site.catalogs, records)
	j.checkExchanges(s.Site.exchanges)
	j.checkOrders()
	// The traffic may meet the fault at any step of its requests.
	j.checkUnknowns(s.Site.exchanges, f.Affects&(componentSide|componentUpstream|componentLink|componentZone) != 0)
	if f.Planned {
		j.checkNotCut(t)
	}
	switch {
	case errors.Is(problem, errNotGraceful):
		j.addFinding(NotCut, "%v", problem)
	case errors.Is(problem, errNotInForce):
		j.addFinding(NotReverted, "%v", problem)
	case problem != nil || settled != nil:
		j.addFinding(Recovers, "%v", errors.Join(problem, settled))
	}
	if extraChecks != nil {
		extraChecks(j)
	}
	return j.findings, j.counts, nil
}

// checkNotCut checks that each request of the traffic was answered, unless its own entry
// was stopping.
func (j *judge) checkNotCut(t *traffic) {
	for _, sent := range t.sent {
		for _, e := range sent {
			if e.Result.Verdict != caller.Complete && e.Excused == "" {
				j.addFinding(NotCut, "%s", describeExchange(e))
			}
		}
	}
}
