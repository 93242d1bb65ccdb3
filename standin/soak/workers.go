package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/worker"
)

// Kinds of steps on what workers say in their answers. They are drawn apart from the others, so that
// the plans of older seeds stay as they were.
const (
	// LeaveWorker lets a worker's answers say that it leaves. Its entry says so later, or never.
	LeaveWorker Kind = "leave worker"
	// PauseWorker lets a worker turn requests away with the time for which it wants none.
	PauseWorker Kind = "pause worker"
)

// workerSteps is how many such steps a run has.
const workerSteps = 5

// planWorkers returns the steps of a seed on what workers say.
func planWorkers(seed uint64) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x2545f491))
	var plan []Step
	for range workerSteps {
		step := Step{At: between(random, 0, faultsFor), For: between(random, shortestStep, longestStep), Kind: PauseWorker,
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
	// leaveServes is how long a worker that leaves serves on: longer than gateways may send to it.
	leaveServes = drainWithin + time.Second
	// shortestDown and longestDown bound the time until a worker is back.
	shortestDown = time.Second
	longestDown  = 2500 * time.Millisecond
	// entryLapse is how long discovery keeps the entry of a worker that crashed.
	entryLapse = 1200 * time.Millisecond
)

// longestPause bounds what a worker asks for.
const longestPause = 3 * time.Second

// pauseWorker lets a worker turn requests away for a while.
func (s *soak) pauseWorker(ctx context.Context, step Step) {
	at := s.worker(step.Target)
	asks := longestPause / time.Duration(1+step.Choice%4)
	at.Set(worker.Faults{Reject: 1 << 20, RetryAfter: asks})
	sleep(ctx, step.For)
	at.Set(worker.Faults{})
}

// leaveWorker lets a worker leave and another start of it come back.
func (s *soak) leaveWorker(ctx context.Context, step Step) {
	at := s.worker(step.Target)
	at.Leave()
	if step.Choice%2 == 0 {
		sleep(ctx, step.For)
		s.enter(at, "draining")
	}
	sleep(ctx, leaveServes)
	if !s.endOnce(at.ID) {
		return // it has crashed meanwhile, or left by another step
	}
	s.fleet.Store.Remove("servers", at.ID)
	at.Close()
	s.bringBack(ctx, at, step.Choice)
}

// watchCrashes brings a worker back each time it crashes, until ctx ends.
func (s *soak) watchCrashes(ctx context.Context, at entered) {
	select {
	case <-ctx.Done():
		return
	case <-at.Crashed():
	}
	if !s.endOnce(at.ID) {
		return
	}
	s.note(at.ID + " has crashed")
	sleep(ctx, entryLapse)
	s.fleet.Store.Remove("servers", at.ID)
	s.bringBack(ctx, at, len(at.Runs()))
}

// bringBack starts a worker anew under another id, at the address of the one that has ended. Choice
// picks how long that takes.
func (s *soak) bringBack(ctx context.Context, at entered, choice int) {
	sleep(ctx, shortestDown+time.Duration(choice%8)*(longestDown-shortestDown)/8)
	if ctx.Err() != nil {
		return
	}
	again, err := worker.StartAt(at.Listens(), s.nextID(at.ID), at.Kind)
	if err != nil {
		s.violate("the stand-in %s could not start again: %v", at.ID, err)
		return
	}
	again.Advertised, again.CallTime, again.WorkTime, again.CrashBody = at.Advertised, at.CallTime, at.WorkTime, at.CrashBody
	next := entered{Worker: again, service: at.service}
	s.fleet.Add(at.service, again)
	s.mu.Lock()
	for i := range s.workers {
		if s.workers[i].ID == at.ID {
			s.workers[i] = next
		}
	}
	s.mu.Unlock()
	s.enter(next, "ready")
	s.revivals.Go(func() { s.watchCrashes(s.reviving, next) })
}

// endOnce notes the end of a start of a worker, and tells whether it is the first to do so.
func (s *soak) endOnce(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.endedStarts[id]
	s.endedStarts[id] = true
	return first
}

// nextID returns the id of the next start of a worker.
func (s *soak) nextID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	return fmt.Sprintf("%s+%d", id, s.starts)
}

// worker returns the worker that a step means, as it runs now.
func (s *soak) worker(target int) entered {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[target%len(s.workers)]
}

// enter writes the entry of a worker, unless that start has ended.
func (s *soak) enter(at entered, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		if w.ID == at.ID {
			if _, crashed := at.CrashedBy(); !crashed {
				s.fleet.Enter(at.service, at.Worker, state)
			}
		}
	}
}
