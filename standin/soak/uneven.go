package soak

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// SilenceEngine makes an engine accept requests and send nothing, or nothing after its first event, while its
// connections stay open. Steps of this kind are drawn from a random source of their own, so that the plans of older
// seeds do not change.
const SilenceEngine Kind = "silence engine"

// Pace of the workers of an uneven run.
const (
	// eventTime is how long an event takes at a usual engine, slowEventTime at a slow one: 2.4 times as long.
	eventTime     = 20 * time.Millisecond
	slowEventTime = 48 * time.Millisecond
	// gapGoalMS is the longest time that the streaming route allows between two events. Usual engines keep to it
	// also while their machine is slower by a factor of 2.5, slow ones only while it is not.
	gapGoalMS = 100
)

// shortestSilence is above the 0.45 s to 0.56 s after which gateways gave up silent engines in runs.
const shortestSilence = time.Second

// planSilences returns the steps of a seed on silent engines, in the second half of the faults: a gateway knows
// the usual time to the first event from 20 streams on.
func planSilences(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x27d4eb2f))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, faultsFor/2, faultsFor), For: between(random, shortestSilence, longestStep), Kind: SilenceEngine,
			Target: random.IntN(1 << 16), Choice: random.IntN(1 << 16)})
	}
	return plan
}

// silences are the variants of SilenceEngine.
var silences = []worker.Faults{{Silent: 1 << 20}, {Stalled: 1 << 20}, {Silent: 2}, {Silent: 2, Stalled: 4}}

// silenceEngine makes an engine silent for the time of the step. Requests that it got meanwhile stay without a
// response.
func (s *soak) silenceEngine(ctx context.Context, step Step) {
	w := s.workerOfKind(worker.Engine, step.Target)
	w.SetFaults(silences[step.Choice%len(silences)])
	sleep(ctx, step.For)
	w.SetFaults(worker.Faults{})
}

// workerOfKind returns the current incarnation of the worker of a kind that a step targets.
func (s *soak) workerOfKind(kind worker.Kind, target int) registeredWorker {
	var ofKind []registeredWorker
	for _, w := range s.fleetWorkers() {
		if w.Kind == kind {
			ofKind = append(ofKind, w)
		}
	}
	return ofKind[target%len(ofKind)]
}

// prepareUneven returns a function that draws the pace of a worker by the seed: one of every so many engines is slow,
// and each machine has slow phases of its own. It returns nil if no engine is slow.
func prepareUneven(seed uint64, every int, began time.Time) func(number int, w *worker.Worker) {
	if every == 0 {
		return nil
	}
	shift := rand.New(rand.NewPCG(seed, seed^0x165667b1)).IntN(every)
	return func(number int, w *worker.Worker) {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(w.ID)) // a hash never fails to write
		random := rand.New(rand.NewPCG(seed, hash.Sum64()))
		w.Machine = &worker.Machine{SlowFrom: began.Add(between(random, 0, worker.SlowEvery))}
		w.EventTime = eventTime
		if (number+shift)%every == 0 {
			w.EventTime = slowEventTime
		}
	}
}

// limitGaps sets the longest time between two events of the streams of an uneven run.
func (s *soak) limitGaps(document platformdoc.Document) platformdoc.Document {
	for i := range document.Routes {
		if s.options.Uneven > 0 && document.Routes[i].Name == streamingRoute {
			document.Routes[i].GapGoalMS = gapGoalMS
		}
	}
	return document
}
