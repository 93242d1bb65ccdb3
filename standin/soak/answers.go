package soak

import (
	"context"
	"math/rand/v2"

	"acaciawinch/standin/worker"
)

// DisorderWorker makes the responses of a worker end without a mark of their end, or its streams repeat
// events. Steps of this kind are drawn from a random source of their own, so that the plans of older seeds
// do not change.
const DisorderWorker Kind = "disorder worker"

// planDisorder returns the steps of a seed on the order and the end of responses.
func planDisorder(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x6c62272e))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, 0, faultsFor), For: between(random, shortestStep, longestStep), Kind: DisorderWorker,
			Target: random.IntN(1 << 16), Choice: random.IntN(1 << 16)})
	}
	return plan
}

// disorders are the variants of DisorderWorker, by the kind of the worker.
var disorders = map[worker.Kind][]worker.Faults{
	worker.Plain:  {{Unmarked: 4}, {Unmarked: 2, Reject: 2}},
	worker.Stage:  {{Unmarked: 4}, {Unmarked: 2, NoRoom: 2}},
	worker.Engine: {{Unmarked: 4}, {Repeat: 4}, {Restart: 4}, {Unmarked: 2, Repeat: 3, Restart: 3, Cut: 2}},
}

// disorderWorker runs a step on the order and the end of a worker's responses.
func (s *soak) disorderWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	variants := disorders[w.Kind]
	w.SetFaults(variants[step.Choice%len(variants)])
	sleep(ctx, step.For)
	w.SetFaults(worker.Faults{})
}
