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

// violates plays a cell in which something breaks an invariant and asserts that
// the verdict names it.
func violates(t *testing.T, c Cell, invariant Invariant) {
	c.Needs.Asks = 1
	report := play(t, c)
	found := slices.ContainsFunc(report.Findings, func(f Finding) bool { return f.Invariant == invariant })
	assert.Assert(t, found, "%q is not among %v", invariant, report.Findings)
}

// stepOf returns a step of a request.
func stepOf(name string) Step {
	all := steps()
	return all[slices.IndexFunc(all, func(s Step) bool { return s.Name == name })]
}

// meddling returns a preparation that meddles with the Runs of a stage.
func meddling(stage string, meddle tap.RunRewrite) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		for _, u := range s.Site.Fleet.Service(services[stage]) {
			s.Site.taps[u.Name].RewriteRuns(meddle)
		}
		return nil
	}
}

// answering returns an event for the attempt of a Run.
func answering(r *wirepb.RunRequest) *wirepb.RunEvent { return &wirepb.RunEvent{Key: r.GetKey()} }

// broken returns a cell at the first stage whose fault is only its preparation.
func broken(prepare func(context.Context, *Scene) error) Cell {
	f := Fault{Name: "sabotage", Excludes: always, prepare: prepare, inject: none, heal: none}
	return requestCell(f, stepOf("admission"))
}

// TestForgedAttemptIsFoundDoubled gives each claimed Run a twin with a nonce that
// no claim holds.
func TestForgedAttemptIsFoundDoubled(t *testing.T) {
	violates(t, broken(meddling(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		twin := proto.CloneOf(r)
		twin.Key.Attempt += 100
		twin.Claim.Nonce++
		return []*wirepb.RunRequest{twin}, nil
	})), NotDoubled)
}

// TestLyingRefusalIsFound runs the claimed stage and says that it was refused.
func TestLyingRefusalIsFound(t *testing.T) {
	violates(t, broken(meddling(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		event := answering(r)
		event.Event = &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{Reason: wirepb.RefusalReason_REFUSAL_QUEUE_FULL}}
		return []*wirepb.RunRequest{r}, event
	})), TrueNotRun)
}

// TestInventedDoubtIsFound runs nothing and says that it may have run.
func TestInventedDoubtIsFound(t *testing.T) {
	violates(t, broken(meddling(stagePay, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		event := answering(r)
		event.Event = &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{MayHaveRun: true}}
		return nil, event
	})), TrueUnknown)
}

// TestAlteredInputIsFoundStray gives the first stage an input of no request.
func TestAlteredInputIsFoundStray(t *testing.T) {
	violates(t, broken(meddling(stageEncode, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		r.Input = append(r.Input, '!')
		return nil, nil
	})), NotStray)
}

// TestForeignAnswerIsFoundCrossed lets the last stage answer to another input
// under the attempt's own key, with a digest that fits.
func TestForeignAnswerIsFoundCrossed(t *testing.T) {
	violates(t, broken(meddling(stageConfirm, func(r *wirepb.RunRequest) ([]*wirepb.RunRequest, *wirepb.RunEvent) {
		r.Input = []byte("another request's")
		return nil, nil
	})), NotCrossed)
}

// TestKilledEntryWithoutExcuseIsFoundLost forgets that the trial took the entry.
func TestKilledEntryWithoutExcuseIsFoundLost(t *testing.T) {
	f := Fault{Name: "sabotage", Excludes: always, inject: killEntry, heal: startEntry}
	violates(t, requestCell(f, stepOf("encode flight")), NotLost)
}

// TestKillInPlaceOfAStopIsFoundCut kills an entry that should stop as planned.
func TestKillInPlaceOfAStopIsFoundCut(t *testing.T) {
	f := Fault{Name: "sabotage", Planned: true, Excludes: always, inject: killEntry, heal: startEntry}
	violates(t, requestCell(f, stepOf("mid-stream")), NotCut)
}

// TestDroppedAnswersAreFoundHarmed lets no answer of the first stage through.
func TestDroppedAnswersAreFoundHarmed(t *testing.T) {
	drop := func(_ context.Context, s *Scene) error {
		for _, u := range s.Site.Fleet.Service(services[stageEncode]) {
			s.Site.taps[u.Name].Tamper(func() tap.Tamper {
				return func(*wirepb.RunEvent) []*wirepb.RunEvent { return nil }
			})
		}
		return nil
	}
	f := Fault{Name: "sabotage", Harmless: true, Excludes: always, prepare: drop, inject: none, heal: untamper}
	violates(t, requestCell(f, stepOf("admission")), Harmless)
}

// TestSilentLeaveIsFoundLateWork lets an upstream leave without notice, and goes on
// until it was given work: entries may do without it for a while.
func TestSilentLeaveIsFoundLateWork(t *testing.T) {
	f := Fault{Name: "sabotage", At: []Kind{kindDrain}, notice: none, inject: none, heal: awaitWork}
	c := courseCell(f, stepDrain)
	c.Excluded = ""
	violates(t, c, NoLateWork)
}

// awaitWork waits until the scene's upstream has begun something new.
func awaitWork(ctx context.Context, s *Scene) error {
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

// TestDeadSidesAreFoundNotRecovered never starts the sides of a stage again.
func TestDeadSidesAreFoundNotRecovered(t *testing.T) {
	kill := func(_ context.Context, s *Scene) error {
		for _, u := range s.Site.Fleet.Service(services[stageEncode]) {
			u.Side.Kill()
			s.Site.taps[u.Name].Refuse()
		}
		return nil
	}
	f := Fault{Name: "sabotage", Touch: touchSide, Excludes: always, inject: kill, heal: none}
	violates(t, requestCell(f, stepOf("encode before")), Recovers)
}

// TestLostStoreIsFoundReverted replaces the store by an empty one with the first
// configuration, behind the backs of entries that start again.
func TestLostStoreIsFoundReverted(t *testing.T) {
	lose := func(ctx context.Context, s *Scene) error {
		fleet := s.Site.Fleet
		t := s.Site.startTraffic(ctx)
		err := t.awaitRevision(ctx, s.all(), configSecond, time.Now())
		t.end()
		if err != nil {
			return err
		}
		for i, entry := range fleet.Entries {
			s.Site.leaveEntry(i, "killed")
			entry.Kill()
		}
		fleet.Objects.Kill()
		if err := restart(ctx, fleet.Objects); err != nil {
			return err
		}
		if _, err := fleet.Accept(ctx, s.Site.files[configFirst]); err != nil {
			return err
		}
		for i, entry := range fleet.Entries {
			if err := restart(ctx, entry.Process); err != nil {
				return err
			}
			s.Site.returnEntry(i)
		}
		return nil
	}
	f := Fault{Name: "sabotage", At: []Kind{kindSpread}, Touch: touchStore, inject: none, heal: lose}
	c := courseCell(f, stepSpread)
	c.Excluded = ""
	violates(t, c, NotReverted)
}

// TestOldOrderIsFound gives an engine that does not check an old order, past its
// side.
func TestOldOrderIsFound(t *testing.T) {
	bypass := func(ctx context.Context, s *Scene) error {
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
			return fmt.Errorf("the engine said %s", response.Status)
		}
		return nil
	}
	f := Fault{Name: "sabotage", At: []Kind{kindOrder}, inject: bypass, heal: none}
	c := courseCell(f, stepOrder)
	c.Excluded = ""
	violates(t, c, NotFenced)
}
