package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/gateway/view"
	"acaciawinch/standin/metastore"
)

// ReturnStore makes the store return from a copy of itself: the copy is taken at the start of the step,
// and what is written during the step is lost.
const ReturnStore Kind = "return store from copy"

// planReturns returns the steps of a seed in which the store returns from a copy. They are drawn from a
// random source of their own, so that the plans of older seeds do not change.
func planReturns(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b9))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, 0, faultsFor), For: between(random, shortestStep, longestStep), Kind: ReturnStore,
			Choice: random.IntN(1 << 16)})
	}
	return plan
}

// planRun returns all steps of a run.
func planRun(o Options) []Step {
	plan := append(Plan(o.Seed, o.Steps), planWorkers(o.Seed)...)
	plan = append(plan, planReturns(o.Seed, o.Returns)...)
	plan = append(plan, planDisorder(o.Seed, o.Disorders)...)
	plan = append(plan, planLimits(o.Seed, o.Limits)...)
	plan = append(plan, planVersions(o.Seed, o.Versions)...)
	plan = append(plan, planSilences(o.Seed, o.Silences)...)
	plan = append(plan, planDoubles(o.Seed, o.Doubles)...)
	plan = append(plan, planBodies(o.Seed, o.Bodies)...)
	return append(plan, planBroken(o.Seed, o.Broken)...)
}

// Timing of a return.
const (
	// shortestAway and longestAway bound how long the store does not respond before it returns.
	shortestAway = 300 * time.Millisecond
	longestAway  = 2500 * time.Millisecond
	// writtenAgainWithin bounds the time from the return until the operator and the workers have written
	// again what was lost.
	writtenAgainWithin = time.Second
)

// returnStore lets the store return from a copy.
func (s *soak) returnStore(ctx context.Context, step Step) {
	s.fleet.Store.Copy()
	sleep(ctx, step.For)
	s.awayAndBack(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(step.Choice))))
}

// awayAndBack lets the store stop responding for a while and return from its latest copy.
func (s *soak) awayAndBack(ctx context.Context, random *rand.Rand) {
	s.away.Lock()
	defer s.away.Unlock()
	defer s.beginDisruption(allGateways, false)()
	faults := metastore.Faults{Silent: true}
	if random.IntN(2) == 0 {
		faults = metastore.Faults{Refuse: http.StatusServiceUnavailable}
	}
	s.fleet.Store.SetFaults(faults)
	sleep(ctx, between(random, shortestAway, longestAway))
	s.fleet.Store.ReturnFromCopy()
	s.fleet.Store.SetFaults(metastore.Faults{})
	s.note(fmt.Sprintf("the store has returned in era %d", s.fleet.Store.Era()))
	s.writeAgain(ctx, random)
}

// writeAgain writes what the operator and the workers had written, each after a random delay.
func (s *soak) writeAgain(ctx context.Context, random *rand.Rand) {
	var writers errgroup.Group
	write := func(put func()) {
		delay := between(random, 0, writtenAgainWithin)
		writers.Go(func() error {
			sleep(ctx, delay)
			s.mu.Lock()
			defer s.mu.Unlock()
			put()
			return nil
		})
	}
	s.mu.Lock()
	written := append([]registeredWorker(nil), s.workers...)
	s.mu.Unlock()
	write(s.putConfiguration)
	write(s.removeEnded)
	for _, w := range written {
		write(func() {
			if !s.endedIncarnations[w.ID] {
				s.putEntry(w)
			}
		})
	}
	_ = writers.Wait() // the writers return no errors
}

// putConfiguration writes the newest configuration. s.mu must be held.
func (s *soak) putConfiguration() {
	s.fleet.Store.Put("config", "main", s.shortenResults(s.limitGaps(configuration(s.version, s.spareRevoked))))
}

// removeEnded removes the entries of the incarnations of workers that have ended. s.mu must be held.
func (s *soak) removeEnded() {
	for id := range s.endedIncarnations {
		s.fleet.Store.Remove("servers", id)
	}
}

// putEntry writes the entry of a worker with its latest state, unless that incarnation has crashed or has
// no entry now. s.mu must be held.
func (s *soak) putEntry(w registeredWorker) {
	state := s.states[w.ID]
	if _, crashed := w.CrashedBy(); !crashed && state != "" {
		s.fleet.Register(w.service, w.Worker, state)
	}
}

// maxLost is the maximum number of configurations that the store loses in verifyReturn.
const maxLost = 24

// verifyReturn lets the store return from a copy while no fault is active, and checks that the gateways
// still know what the store has lost, and learn what is written afterwards: a drained worker gets nothing
// new, and the next configuration, without the spare key, is in force.
func (s *soak) verifyReturn(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0x2e7a))
	drained := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	s.fleet.Store.Copy()
	s.register(drained, "draining")
	for range random.IntN(maxLost) {
		s.configure(false)
	}
	sleep(ctx, drainWithin)
	before := len(drained.Runs())
	s.awayAndBack(ctx, random)
	s.configure(true)
	limit, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for i := range s.fleet.Gateways {
		s.awaitService(limit, i)
	}
	s.awaitMembers(limit)
	sleep(ctx, drainedFor)
	if after := len(drained.Runs()); after > before {
		s.addViolation("%s got %d requests although it was drained, as the store had lost that", drained.ID, after-before)
	}
	s.register(drained, "ready")
}

// awaitMembers waits until the store holds the objects of all gateways.
func (s *soak) awaitMembers(ctx context.Context) {
	for _, g := range s.fleet.Gateways {
		for !s.hasMember(g.Name) {
			if ctx.Err() != nil {
				s.addViolation("the store has no object of %s %v after the last fault", g.Name, recoverWithin)
				return
			}
			sleep(ctx, probeInterval)
		}
	}
}

// hasMember reports whether the store holds the object of a gateway.
func (s *soak) hasMember(name string) bool {
	_, found := s.fleet.Store.Get(view.MemberKind, name)
	return found
}
