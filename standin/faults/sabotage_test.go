package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/upstream"
	"acaciawinch/wire/wirepb"
)

// expectViolation runs a cell in which something breaks an invariant, and asserts that a
// finding names that invariant.
func expectViolation(t *testing.T, c Cell, invariant Invariant) {
	c.Needs.Tries = 1
	report := runCell(t, c)
	found := slices.ContainsFunc(report.Findings, func(f Finding) bool { return f.Invariant == invariant })
	assert.Assert(t, found, "no finding of %q among %v", invariant, report.Findings)
}

// stepOf returns the step of a request with the given name.
func stepOf(name string) Step {
	all := steps()
	return all[slices.IndexFunc(all, func(s Step) bool { return s.Name == name })]
}

// rewritingRuns returns a preparation that rewrites the Runs of a stage.
func rewritingRuns(stage string, rewrite tap.RunRewrite) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error {
		for _, u := range s.Site.Fleet.Service(services[stage]) {
			s.Site.taps[u.Name].RewriteRuns(rewrite)
		}
		return nil
	}
}

// eventFor returns an empty event for the attempt of a Run.
func eventFor(r *wirepb.RunRequest) *wirepb.RunEvent { return &wirepb.RunEvent{Key: r.GetKey()} }

// preparedCell returns a cell at the first step whose fault consists of its preparation
// only.
func preparedCell(prepare func(context.Context, *CellRun) error) Cell {
	f := Fault{Name: "sabotage", Excludes: excludeNone, prepare: prepare, inject: noop, heal: noop}
	return requestCell(f, stepOf("admission"))
}

// TestForgedAttemptIsFoundDoubled sends, with each Run of the claimed stage, a second
// one with a nonce that no claim holds.
func TestForgedAttemptIsFoundDoubled(t *testing.T) {
	expectViolation(t, preparedCell(rewritingRuns(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		duplicate := proto.CloneOf(r)
		duplicate.Key.Attempt += 100
		duplicate.Claim.Nonce++
		return []*wirepb.RunRequest{duplicate}, nil
	})), NotDoubled)
}

// TestFalseRejectionIsFound runs the claimed stage and reports that the sidecar rejected
// it.
func TestFalseRejectionIsFound(t *testing.T) {
	expectViolation(t, preparedCell(rewritingRuns(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		event := eventFor(r)
		event.Event = &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_QUEUE_FULL}}
		return []*wirepb.RunRequest{r}, event
	})), TrueNotRun)
}

// TestNeedlessUnknownIsFound does not run the claimed stage but reports that it may have
// run.
func TestNeedlessUnknownIsFound(t *testing.T) {
	expectViolation(t, preparedCell(rewritingRuns(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		event := eventFor(r)
		event.Event = &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{MayHaveRun: true}}
		return nil, event
	})), TrueUnknown)
}

// TestAlteredInputIsFoundStray changes the input of the first stage to one that belongs
// to no request.
func TestAlteredInputIsFoundStray(t *testing.T) {
	expectViolation(t, preparedCell(rewritingRuns(stageEncode, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		r.Input = append(r.Input, '!')
		return nil, nil
	})), NotStray)
}

// TestForeignAnswerIsFoundCrossed makes the last stage process another input under the
// attempt's own key, with a matching digest.
func TestForeignAnswerIsFoundCrossed(t *testing.T) {
	expectViolation(t, preparedCell(rewritingRuns(stageConfirm, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		r.Input = []byte("another request's")
		return nil, nil
	})), NotCrossed)
}

// TestKilledEntryWithoutExcuseIsFoundLost kills an entry with a fault that is not marked
// EntryDown.
func TestKilledEntryWithoutExcuseIsFoundLost(t *testing.T) {
	f := Fault{Name: "sabotage", Excludes: excludeNone, inject: killEntry, heal: startEntry}
	expectViolation(t, requestCell(f, stepOf("encode flight")), NotLost)
}

// TestKillInPlaceOfAStopIsFoundCut kills an entry instead of stopping it as planned.
func TestKillInPlaceOfAStopIsFoundCut(t *testing.T) {
	f := Fault{Name: "sabotage", Planned: true, Excludes: excludeNone, inject: killEntry, heal: startEntry}
	expectViolation(t, requestCell(f, stepOf("mid-stream")), NotCut)
}

// TestDroppedAnswersAreFoundHarmed drops all events of the first stage.
func TestDroppedAnswersAreFoundHarmed(t *testing.T) {
	drop := func(_ context.Context, s *CellRun) error {
		for _, u := range s.Site.Fleet.Service(services[stageEncode]) {
			s.Site.taps[u.Name].Tamper(func() tap.Tamper {
				return func(*wirepb.RunEvent) []*wirepb.RunEvent { return nil }
			})
		}
		return nil
	}
	f := Fault{Name: "sabotage", Harmless: true, Excludes: excludeNone, prepare: drop, inject: noop, heal: untamper}
	expectViolation(t, requestCell(f, stepOf("admission")), Harmless)
}

// TestSilentLeaveIsFoundLateWork lets an upstream leave without notice, and waits until
// it gets work: entries may not use it for a while.
func TestSilentLeaveIsFoundLateWork(t *testing.T) {
	f := Fault{Name: "sabotage", ScenarioSteps: []Kind{kindDrain}, notice: noop, inject: noop, heal: awaitWork}
	c := scenarioCell(f, stepDrain)
	c.Excluded = ""
	expectViolation(t, c, NoLateWork)
}

// awaitWork waits until the cell's upstream has begun new work.
func awaitWork(ctx context.Context, s *CellRun) error {
	since := time.Now().UnixMicro()
	return harness.Await(ctx, "no new work at "+s.Upstream.Name, func(context.Context) error {
		records, err := s.Site.Fleet.Records()
		if err != nil {
			return err
		}
		begun := slices.ContainsFunc(records, func(r ledger.Record) bool {
			return r.Event == ledger.Start && r.Upstream == s.Upstream.Name && r.TimeUS > since
		})
		if !begun {
			return errMissed
		}
		return nil
	})
}

// TestDeadSidesAreFoundNotRecovered kills the sidecars of a stage and never starts them
// again.
func TestDeadSidesAreFoundNotRecovered(t *testing.T) {
	kill := func(_ context.Context, s *CellRun) error {
		for _, u := range s.Site.Fleet.Service(services[stageEncode]) {
			u.Side.Kill()
			s.Site.taps[u.Name].Refuse()
		}
		return nil
	}
	f := Fault{Name: "sabotage", Affects: componentSide, Excludes: excludeNone, inject: kill, heal: noop}
	expectViolation(t, requestCell(f, stepOf("encode before")), Recovers)
}

// TestLostStoreIsFoundReverted replaces the store with an empty one that holds the first
// configuration, while the entries are down.
func TestLostStoreIsFoundReverted(t *testing.T) {
	lose := func(ctx context.Context, s *CellRun) error {
		fleet := s.Site.Fleet
		t := s.Site.startTraffic(ctx)
		err := t.awaitRevision(ctx, s.allEntries(), configSecond, time.Now())
		t.end()
		if err != nil {
			return err
		}
		for i, entry := range fleet.Entries {
			s.Site.markEntryDown(i, "killed")
			entry.Kill()
		}
		fleet.Objects.Kill()
		if err := restart(ctx, fleet.Objects); err != nil {
			return err
		}
		if _, err := fleet.Submit(ctx, s.Site.files[configFirst]); err != nil {
			return err
		}
		for i, entry := range fleet.Entries {
			if err := restart(ctx, entry.Process); err != nil {
				return err
			}
			s.Site.markEntryUp(i)
		}
		return nil
	}
	f := Fault{Name: "sabotage", ScenarioSteps: []Kind{kindPropagate}, Affects: componentStore, inject: noop, heal: lose}
	c := scenarioCell(f, stepPropagate)
	c.Excluded = ""
	expectViolation(t, c, NotReverted)
}

// TestStaleOrderIsFound sends an order with a low fencing token to an engine that does
// not check it, bypassing the sidecar.
func TestStaleOrderIsFound(t *testing.T) {
	bypass := func(ctx context.Context, s *CellRun) error {
		body, err := json.Marshal(upstream.Order{Fencing: 1, Action: "unload", Model: "asistente", Version: "3.1"})
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Upstream.WorkerURL+"/v1/orders", bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("the engine returned %s", response.Status)
		}
		return nil
	}
	f := Fault{Name: "sabotage", ScenarioSteps: []Kind{kindOrder}, inject: bypass, heal: noop}
	c := scenarioCell(f, stepOrder)
	c.Excluded = ""
	expectViolation(t, c, NotFenced)
}
