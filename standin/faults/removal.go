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

// keptRevisions is the fewest that the settings allow to keep.
const keptRevisions = 100

// oldRevisions is how many are beyond that, to be removed.
const oldRevisions = 30

// removalSettings make an entry remove old configuration at once and fast.
var removalSettings = fmt.Sprintf(`
[retention]
revisions = %d
hours = 0
first_pass_seconds = 1
calls_per_second = 1000
`, keptRevisions)

// removalLimit bounds the wait until the removal has begun, and has ended.
const removalLimit = 15 * time.Second

// fencing matches an entry's update of the head, which tells what is kept, and
// deleting its deletion of a part, both before they take effect.
func fencing(m storetap.Message) bool {
	return m.Point == storetap.Before && m.Method == http.MethodPut && m.Path == headPath && m.Process != harness.OperatorsCommand
}

func deleting(m storetap.Message) bool {
	return m.Point == storetap.Before && m.Method == http.MethodDelete && strings.HasPrefix(m.Path, "/v1/objects/"+config.PartPrefix)
}

// playRemoval lets an entry remove old configuration under traffic while a fault
// happens. In the end every kept revision must be there with its parts, entries
// that start afresh must load the head, and a change must come in force.
func playRemoval(ctx context.Context, s *Scene, f Fault, report *Report) error {
	point := fencing
	if s.Step.Kind == kindDelete {
		point = deleting
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
	problem := s.duringRemoval(ctx, f, t, held)
	if problem == nil {
		problem = s.afterRemoval(ctx, t, store)
	}
	lost, err := store.check(ctx)
	if problem == nil {
		problem = err
	}
	report.Findings, report.Counts, err = judgeCourse(ctx, s, f, t, problem, func(j *judge) {
		j.monotonic(t)
		for _, detail := range lost {
			j.find(HistoryKept, "%s", detail)
		}
	})
	return err
}

// duringRemoval makes the fault happen and ends it.
func (s *Scene) duringRemoval(ctx context.Context, f Fault, t *traffic, held *hold.Hold[storetap.Message]) error {
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
		return errors.New("no entry removes anything")
	}
	if err := s.inject(ctx, f); err != nil {
		return err
	}
	if !f.HoldOn {
		s.finishCall(ctx, call, held)
	}
	var problem error
	if f.Touch&touchStore == 0 || f.Partition.present() {
		problem = t.awaitAnswers(ctx, drainLimit, "no answers during the fault", s.others(f), began(time.Now(), 2))
	}
	held.Release()
	return errors.Join(problem, s.heal(ctx, f))
}

// callLimit bounds the wait for the answer to a call, which the fault may prevent.
const callLimit = time.Second

// finishCall lets the held call go on and waits for its answer, so that the fault
// does not end before the call has met it.
func (s *Scene) finishCall(ctx context.Context, call storetap.Message, held *hold.Hold[storetap.Message]) {
	answered := s.Site.Store.Hold(func(m storetap.Message) bool {
		return m.Point == storetap.After && m.Process == call.Process && m.Method == call.Method && m.Path == call.Path
	})
	answered.Release()
	held.Release()
	// Without an answer the fault has prevented it.
	_ = await(ctx, callLimit, answered.Stopped())
}

// afterRemoval starts the entries afresh, waits until the removal has come to its
// end, and changes the configuration.
func (s *Scene) afterRemoval(ctx context.Context, t *traffic, store *history) error {
	if err := s.restartEntries(ctx); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, removalLimit)
	defer cancel()
	if err := harness.Await(limited, "old configuration is left", store.cleaned); err != nil {
		return err
	}
	change := s.Site.operate(ctx, "apply", s.Site.files[configSecond])
	<-change.done
	if change.said != saidAccepted {
		return fmt.Errorf("a change behind the removal was told %q", change.said)
	}
	return t.awaitRevision(ctx, s.all(), configSecond, time.Now())
}

// restartEntries kills each entry and starts it again, one after the other.
func (s *Scene) restartEntries(ctx context.Context) error {
	for i, entry := range s.Site.Fleet.Entries {
		s.Site.leaveEntry(i, "restarted")
		if err := entry.Restart(ctx); err != nil {
			return err
		}
		s.Site.returnEntry(i)
	}
	return nil
}
