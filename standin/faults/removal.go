package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/standin/faults/hold"
	"acaciawinch/standin/faults/storetap"
	"acaciawinch/standin/harness"
)

// keptRevisions is the smallest number of kept revisions that the settings allow.
const keptRevisions = 100

// oldRevisions is the number of additional revisions, which are to be removed.
const oldRevisions = 30

// removalSettings make an entry start to remove old configuration after 1 s, and
// quickly.
var removalSettings = fmt.Sprintf(`
[retention]
revisions = %d
hours = 0
first_pass_seconds = 1
calls_per_second = 1000
`, keptRevisions)

// removalLimit bounds the wait until the removal has begun, and until it has ended.
const removalLimit = 15 * time.Second

// headUpdate matches an entry's update of the head, which records the oldest kept
// revision, before it takes effect.
func headUpdate(m storetap.Message) bool {
	return m.Point == storetap.Before && m.Method == http.MethodPut && m.Path == headPath && m.Process != harness.OperatorsCommand
}

// partDeletion matches an entry's deletion of a part of the configuration, before it takes
// effect.
func partDeletion(m storetap.Message) bool {
	return m.Point == storetap.Before && m.Method == http.MethodDelete && strings.HasPrefix(m.Path, "/v1/objects/"+config.PartPrefix)
}

// runRemoval lets an entry remove old configuration under traffic while a fault happens.
// In the end every kept revision must exist with its parts, restarted entries must load
// the head, and a change must come into force.
func runRemoval(ctx context.Context, s *CellRun, f Fault, report *Report) error {
	point := headUpdate
	if s.Step.Kind == kindDelete {
		point = partDeletion
	}
	held := s.Site.Store.Hold(point)
	defer held.Release()
	store := s.Site.history()
	if err := store.grow(ctx, keptRevisions+oldRevisions); err != nil {
		return err
	}
	if err := s.restartEntries(ctx); err != nil {
		return err
	}
	t := s.Site.startTraffic(ctx)
	problem := s.injectDuringRemoval(ctx, f, t, held)
	if problem == nil {
		problem = s.checkAfterRemoval(ctx, t, store)
	}
	lost, err := store.findLost(ctx)
	if problem == nil {
		problem = err
	}
	report.Findings, report.Counts, err = judgeScenario(ctx, s, f, t, problem, func(j *judge) {
		j.checkMonotonic(t)
		for _, detail := range lost {
			j.addFinding(HistoryKept, "%s", detail)
		}
	})
	return err
}

// injectDuringRemoval makes the fault happen during the removal and ends it.
func (s *CellRun) injectDuringRemoval(ctx context.Context, f Fault, t *traffic, held *hold.Hold[storetap.Message]) error {
	limited, cancel := context.WithTimeout(ctx, removalLimit)
	defer cancel()
	var call storetap.Message
	select {
	case call = <-held.Stopped():
		for _, entry := range s.Site.Fleet.Entries {
			if entry.Name == call.Process {
				s.Entry = entry
			}
		}
	case <-limited.Done():
		return errors.New("no entry removed anything")
	}
	if err := s.inject(ctx, f); err != nil {
		return err
	}
	if !f.HoldMessage {
		s.finishCall(ctx, call, held)
	}
	var problem error
	if f.Affects&componentStore == 0 || f.Partition.present() {
		problem = t.awaitAnswered(ctx, trafficLimit, "no responses during the fault", s.unaffectedEntries(f), startedAfter(time.Now(), 2))
	}
	held.Release()
	return errors.Join(problem, s.heal(ctx, f))
}

// callLimit bounds the wait for the response to a call, which the fault may prevent.
const callLimit = time.Second

// finishCall releases the held call and waits for its response, so that the fault does
// not end before it can affect the call.
func (s *CellRun) finishCall(ctx context.Context, call storetap.Message, held *hold.Hold[storetap.Message]) {
	answered := s.Site.Store.Hold(func(m storetap.Message) bool {
		return m.Point == storetap.After && m.Process == call.Process && m.Method == call.Method && m.Path == call.Path
	})
	answered.Release()
	held.Release()
	// No response means that the fault has prevented it.
	_ = await(ctx, callLimit, answered.Stopped())
}

// checkAfterRemoval restarts the entries, waits until the removal has ended, and changes
// the configuration.
func (s *CellRun) checkAfterRemoval(ctx context.Context, t *traffic, store *history) error {
	if err := s.restartEntries(ctx); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, removalLimit)
	defer cancel()
	if err := harness.Await(limited, "old configuration still exists", store.checkRemoved); err != nil {
		return err
	}
	change := s.Site.startOperation(ctx, "apply", s.Site.files[configSecond])
	<-change.done
	if change.outcome != outcomeAccepted {
		return fmt.Errorf("a change after the removal was reported as %q", change.outcome)
	}
	return t.awaitRevision(ctx, s.allEntries(), configSecond, time.Now())
}

// restartEntries kills each entry and starts it again, one after the other.
func (s *CellRun) restartEntries(ctx context.Context) error {
	for i, entry := range s.Site.Fleet.Entries {
		s.Site.markEntryDown(i, "restarted")
		if err := entry.Restart(ctx); err != nil {
			return err
		}
		s.Site.markEntryUp(i)
	}
	return nil
}
