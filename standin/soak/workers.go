package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/worker"
)

// Kinds of steps on what workers announce in their responses. They are drawn from a random source of
// their own, so that the plans of older seeds do not change.
const (
	// LeaveWorker makes the responses of a worker announce that it leaves. Its entry in the store announces
	// that later, or never.
	LeaveWorker Kind = "leave worker"
	// BackOffWorker makes a worker reject requests with a Retry-After.
	BackOffWorker Kind = "pause worker"
)

// workerSteps is how many of these steps a run has.
const workerSteps = 5

// planWorkers returns the steps of a seed on what workers announce.
func planWorkers(seed uint64) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x2545f491))
	var plan []Step
	for range workerSteps {
		step := Step{At: between(random, 0, faultsFor), For: between(random, shortestStep, longestStep), Kind: BackOffWorker,
			Target: random.IntN(1 << 16), Choice: random.IntN(1 << 16)}
		if random.IntN(2) == 0 {
			step.Kind = LeaveWorker
		}
		plan = append(plan, step)
	}
	return plan
}

// Timing of workers that end.
const (
	// serveAfterLeaving is how long a leaving worker continues to serve: longer than gateways may still
	// send requests to it.
	serveAfterLeaving = drainWithin + time.Second
	// shortestDown and longestDown bound the time until a worker is started again.
	shortestDown = time.Second
	longestDown  = 2500 * time.Millisecond
	// entryExpiry is how long discovery keeps the entry of a crashed worker.
	entryExpiry = 1200 * time.Millisecond
)

// longestBackoff is the longest Retry-After that a worker sends.
const longestBackoff = 3 * time.Second

// backOffWorker makes a worker reject requests with a Retry-After for the time of the step.
func (s *soak) backOffWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	retryAfter := longestBackoff / time.Duration(1+step.Choice%4)
	w.SetFaults(worker.Faults{Reject: 1 << 20, RetryAfter: retryAfter})
	sleep(ctx, step.For)
	w.SetFaults(worker.Faults{})
}

// leaveWorker makes a worker leave and starts its next incarnation.
func (s *soak) leaveWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	w.Leave()
	if step.Choice%2 == 0 {
		sleep(ctx, step.For)
		s.register(w, "draining")
	}
	sleep(ctx, serveAfterLeaving)
	if !s.markEnded(w.ID) {
		return // it has crashed meanwhile, or another step made it leave
	}
	s.fleet.Store.Remove("servers", w.ID)
	w.Close()
	s.restartWorker(ctx, w, step.Choice)
}

// watchCrashes starts a worker again when it has crashed, unless ctx ends before.
func (s *soak) watchCrashes(ctx context.Context, w registeredWorker) {
	select {
	case <-ctx.Done():
		return
	case <-w.Crashed():
	}
	if !s.markEnded(w.ID) {
		return
	}
	s.note(w.ID + " has crashed")
	sleep(ctx, entryExpiry)
	s.fleet.Store.Remove("servers", w.ID)
	s.restartWorker(ctx, w, len(w.Runs()))
}

// restartWorker starts the next incarnation of a worker that has ended, under another id at the same
// address. Choice determines the time until then.
func (s *soak) restartWorker(ctx context.Context, ended registeredWorker, choice int) {
	sleep(ctx, shortestDown+time.Duration(choice%8)*(longestDown-shortestDown)/8)
	if ctx.Err() != nil {
		return
	}
	restarted, err := worker.StartAt(ended.ListenAddress(), s.nextID(ended.ID), ended.Kind)
	if err != nil {
		s.addViolation("the stand-in %s could not start again: %v", ended.ID, err)
		return
	}
	restarted.Advertised, restarted.CallTime, restarted.WorkTime, restarted.CrashBody, restarted.CrashParts = ended.Advertised, ended.CallTime, ended.WorkTime, ended.CrashBody, ended.CrashParts
	restarted.EventTime, restarted.Machine = ended.EventTime, ended.Machine
	s.prepareDoubles(restarted)
	restarted.Version = s.nextVersion(ended, choice)
	next := registeredWorker{Worker: restarted, service: ended.service}
	s.fleet.Add(ended.service, restarted)
	s.mu.Lock()
	for i := range s.workers {
		if s.workers[i].ID == ended.ID {
			s.workers[i] = next
		}
	}
	s.mu.Unlock()
	s.register(next, "ready")
	s.crashWatches.Go(func() { s.watchCrashes(s.watchCtx, next) })
}

// markEnded marks an incarnation of a worker as ended and reports whether it was not marked before.
func (s *soak) markEnded(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.endedIncarnations[id]
	s.endedIncarnations[id] = true
	return first
}

// nextID returns the id of the next incarnation of a worker.
func (s *soak) nextID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts++
	return fmt.Sprintf("%s+%d", id, s.restarts)
}

// worker returns the current incarnation of the worker that a step targets.
func (s *soak) worker(target int) registeredWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[target%len(s.workers)]
}

// register writes the entry of a worker, unless that incarnation has ended.
func (s *soak) register(incarnation registeredWorker, state string) {
	s.away.RLock()
	defer s.away.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.ID == incarnation.ID {
			s.states[w.ID] = state
			s.putEntry(w)
		}
	}
}

// unregister removes the entry of a worker.
func (s *soak) unregister(w registeredWorker) {
	s.away.RLock()
	defer s.away.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[w.ID] = ""
	s.fleet.Store.Remove("servers", w.ID)
}
