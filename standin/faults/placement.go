package faults

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/faults/storetap"
	"acaciawinch/standin/ledger"
)

// placementSettings make entries plan often, so that a cell takes little time.
const placementSettings = `
[placement]
round_ms = 150
lease_ms = 900
grace_ms = 3000
`

// planPath is the path of the placement plan in the object API.
const planPath = "/v1/objects/placement/plan"

// planWritten matches the response to a successful write of the plan.
func planWritten(m storetap.Message) bool {
	return m.Point == storetap.After && m.Method == http.MethodPut && m.Path == planPath && m.Status == http.StatusOK
}

// Timeouts of the placement scenarios.
const (
	firstPlanLimit = 10 * time.Second
	convergeLimit  = 15 * time.Second
)

// loadNewModel is the ledger's text for the order to load the new model version.
const loadNewModel = "load asistente@3.3"

// runPlacement moves the pipeline to another model version while a fault happens. In the
// end the engines must have been ordered to load that version and requests must be
// answered, and no engine may have obeyed a stale order although the engines don't check
// fencing tokens.
func runPlacement(ctx context.Context, s *CellRun, f Fault, report *Report) error {
	if err := await(ctx, firstPlanLimit, s.Site.firstPlan.Stopped()); err != nil {
		return fmt.Errorf("no first plan: %w", err)
	}
	held := s.Site.Store.Hold(func(m storetap.Message) bool {
		return s.Step.Kind == kindPlan && m.Point == storetap.Before && m.Method == http.MethodPut &&
			m.Path == planPath && strings.Contains(string(m.Body), `"3.3"`)
	})
	if _, err := s.Site.Fleet.Submit(ctx, s.Site.files[configFourth]); err != nil {
		return err
	}
	if err := s.reachPlacement(ctx, held.Stopped()); err != nil {
		return err
	}
	if err := s.inject(ctx, f); err != nil {
		return err
	}
	if !f.HoldMessage {
		held.Release()
	}
	problem := s.awaitOtherPlan(ctx, f)
	held.Release()
	if err := s.heal(ctx, f); problem == nil {
		problem = err
	}
	if err := s.converge(ctx); problem == nil {
		problem = err
	}
	var err error
	t := &traffic{site: s.Site, stop: func() {}}
	report.Findings, report.Counts, err = judgeScenario(ctx, s, f, t, problem, nil)
	return err
}

// await waits until a value is received.
func await[T any](ctx context.Context, limit time.Duration, values <-chan T) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-values:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reachPlacement waits for the step. For a plan, that is until the write of the plan is
// stopped; its writer becomes the cell's entry. For an order, it is until an engine has
// received it; that engine becomes the cell's upstream.
func (s *CellRun) reachPlacement(ctx context.Context, plan <-chan storetap.Message) error {
	ctx, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	if s.Step.Kind == kindOrder {
		record, err := s.Site.awaitRecord(ctx, "no engine received the order", ordered)
		s.Upstream = s.Site.Fleet.Upstream(record.Upstream)
		return err
	}
	select {
	case m := <-plan:
		for _, entry := range s.Site.Fleet.Entries {
			if entry.Name == m.Process {
				s.Entry = entry
			}
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no plan is written: %w", ctx.Err())
	}
}

// ordered matches an order to load the new model version.
func ordered(r ledger.Record) bool { return r.Event == ledger.Order && r.Detail == loadNewModel }

// awaitOtherPlan waits, if the fault took down the holder of the lease, until another
// entry has written a plan.
func (s *CellRun) awaitOtherPlan(ctx context.Context, f Fault) error {
	if s.Step.Kind != kindPlan || f.Affects&componentEntry == 0 || f.Affects&componentStore != 0 || f.EndsItself {
		return nil
	}
	written := s.Site.Store.Hold(func(m storetap.Message) bool { return planWritten(m) && m.Process != s.Entry.Name })
	written.Release()
	if err := await(ctx, convergeLimit, written.Stopped()); err != nil {
		return fmt.Errorf("no other entry writes a plan: %w", err)
	}
	return nil
}

// converge waits until each engine has been ordered to load the new model version and
// requests are answered through every entry.
func (s *CellRun) converge(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	for _, u := range s.Site.Fleet.Service(services[stageConfirm]) {
		_, err := s.Site.awaitRecord(limited, u.Name+" received no order", func(r ledger.Record) bool {
			return ordered(r) && r.Upstream == u.Name
		})
		if err != nil {
			return err
		}
	}
	for entry := range s.Site.Fleet.Entries {
		if err := s.Site.awaitAnswered(limited, entry); err != nil {
			return err
		}
	}
	return nil
}

// awaitAnswered sends new requests until one is answered. While no engine has loaded the
// model, the outcome of a request may be unknown: its claimed stage has run by then.
func (s *Site) awaitAnswered(ctx context.Context, entry int) error {
	for {
		result := s.request(ctx, entry, s.newRequest(), configFourth)
		if result.Verdict == caller.Complete {
			return nil
		}
		sleep(ctx, minRetryWait)
		if ctx.Err() != nil {
			return fmt.Errorf("no whole response through entry %d: %s %s", entry+1, outcomeOf(result), result.Detail)
		}
	}
}

// placementFaults returns the faults of the lease.
func placementFaults() []Fault {
	return []Fault{
		{Name: "lease lapsed while its holder is paused", ScenarioSteps: []Kind{kindPlan}, Affects: componentEntry, HoldMessage: true,
			inject: freeze(entryProcess), heal: resume(entryProcess)},
	}
}
