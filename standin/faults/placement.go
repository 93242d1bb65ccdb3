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

// placementSettings make entries plan often, so that a cell is short.
const placementSettings = `
[placement]
round_ms = 150
lease_ms = 900
grace_ms = 3000
`

// planPath is where the object API has the placement plan.
const planPath = "/v1/objects/placement/plan"

// planWritten matches the answer to a write of the plan that took effect.
func planWritten(m storetap.Message) bool {
	return m.Point == storetap.After && m.Method == http.MethodPut && m.Path == planPath && m.Status == http.StatusOK
}

// Time limits of placement.
const (
	firstPlanLimit = 10 * time.Second
	convergeLimit  = 15 * time.Second
)

// newModel is what the engines are ordered to load.
const newModel = "load asistente@3.3"

// playPlacement moves the pipeline to another model version while a fault
// happens. In the end the engines must hold it and requests be answered, and no
// engine may have obeyed an old order, though they don't check.
func playPlacement(ctx context.Context, s *Scene, f Fault, report *Report) error {
	if err := await(ctx, firstPlanLimit, s.Site.firstPlan.Stopped()); err != nil {
		return fmt.Errorf("no first plan: %w", err)
	}
	held := s.Site.Store.Hold(func(m storetap.Message) bool {
		return s.Step.Kind == kindPlan && m.Point == storetap.Before && m.Method == http.MethodPut &&
			m.Path == planPath && strings.Contains(string(m.Body), `"3.3"`)
	})
	if _, err := s.Site.Fleet.Accept(ctx, s.Site.files[configFourth]); err != nil {
		return err
	}
	if err := s.reachPlacement(ctx, held.Stopped()); err != nil {
		return err
	}
	if err := s.inject(ctx, f); err != nil {
		return err
	}
	if !f.HoldOn {
		held.Release()
	}
	problem := s.otherPlan(ctx, f)
	held.Release()
	if err := s.heal(ctx, f); problem == nil {
		problem = err
	}
	if err := s.converge(ctx); problem == nil {
		problem = err
	}
	var err error
	t := &traffic{site: s.Site, stop: func() {}}
	report.Findings, report.Counts, err = judgeCourse(ctx, s, f, t, problem, nil)
	return err
}

// await waits for one value.
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

// reachPlacement waits until the plan is on its way, whose writer becomes the
// scene's entry, or until an engine has an order, whose upstream becomes the
// scene's.
func (s *Scene) reachPlacement(ctx context.Context, plan <-chan storetap.Message) error {
	ctx, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	if s.Step.Kind == kindOrder {
		record, err := s.Site.awaitRecord(ctx, "no engine has the order", ordered)
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

// ordered matches an order to load the new model.
func ordered(r ledger.Record) bool { return r.Event == ledger.Order && r.Detail == newModel }

// otherPlan waits, if the fault took the holder of the lease, until another entry
// has written a plan.
func (s *Scene) otherPlan(ctx context.Context, f Fault) error {
	if s.Step.Kind != kindPlan || f.Touch&touchEntry == 0 || f.Touch&touchStore != 0 || f.Over {
		return nil
	}
	written := s.Site.Store.Hold(func(m storetap.Message) bool { return planWritten(m) && m.Process != s.Entry.Name })
	written.Release()
	if err := await(ctx, convergeLimit, written.Stopped()); err != nil {
		return fmt.Errorf("no other entry writes a plan: %w", err)
	}
	return nil
}

// converge waits until each engine that must hold the new model has been ordered
// to, and requests are answered through every entry.
func (s *Scene) converge(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	for _, u := range s.Site.Fleet.Service(services[stageConfirm]) {
		_, err := s.Site.awaitRecord(limited, u.Name+" has no order", func(r ledger.Record) bool {
			return ordered(r) && r.Upstream == u.Name
		})
		if err != nil {
			return err
		}
	}
	for entry := range s.Site.Fleet.Entries {
		if err := s.Site.awaitWhole(limited, entry); err != nil {
			return err
		}
	}
	return nil
}

// awaitWhole asks with new requests until one is answered. While no engine holds
// the model, a request can be told unknown: its claimed stage has run by then.
func (s *Site) awaitWhole(ctx context.Context, entry int) error {
	for {
		result := s.ask(ctx, entry, s.newRequest(), configFourth)
		if result.Verdict == caller.Whole {
			return nil
		}
		pause(ctx, shortestWait)
		if ctx.Err() != nil {
			return fmt.Errorf("through entry %d: %s %s", entry+1, outcomeOf(result), result.Detail)
		}
	}
}

// placementFaults are those of the lease.
func placementFaults() []Fault {
	return []Fault{
		{Name: "lease lapsed while its holder is paused", At: []Kind{kindPlan}, Touch: touchEntry, HoldOn: true,
			inject: freeze(entryProcess), heal: wake(entryProcess)},
	}
}
