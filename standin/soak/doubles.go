package soak

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// DoubleWorker makes a worker send responses twice, at once or when the next request has come. Steps of this kind are
// drawn from a random source of their own, so that the plans of older seeds do not change.
const DoubleWorker Kind = "double worker"

// DoubleAfterPause makes all stage workers send the last response on each connection once more when the connection is
// used again after a pause. Half of the steps of planDoubles are of this kind.
const DoubleAfterPause Kind = "double after pause"

// planDoubles returns the steps of a seed on responses that come twice.
func planDoubles(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x3c6ef372))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, 0, faultsFor), For: between(random, shortestStep, longestStep), Kind: DoubleWorker,
			Target: random.IntN(1 << 16), Choice: random.IntN(1 << 16)})
		if random.IntN(2) == 0 {
			plan[len(plan)-1].Kind = DoubleAfterPause
		}
	}
	return plan
}

// Timing of runs in which responses come twice.
const (
	// doublesHandleS is how long stage workers keep results in these runs, in seconds; idlePause is longer, so that
	// results from before a pause are forgotten.
	doublesHandleS = 1
	idlePause      = 1500 * time.Millisecond
	// doublesCallTime leaves time for another call on a connection on which a copy came before the response.
	doublesCallTime = 60 * time.Millisecond
	// keepAliveS is the idle timeout of workers' connections in these runs, in seconds.
	keepAliveS = 15
)

// always is the count of a fault that strikes until it is removed.
const always = 1 << 20

// doubles are the variants of DoubleWorker.
var doubles = []worker.Faults{
	{Extra: 6}, {ExtraLate: 6}, {Reject: 4, Extra: 4}, {Reject: 4, ExtraLate: 4},
}

// doublesOfStages are the further variants for stage workers: reasons without results.
var doublesOfStages = []worker.Faults{{NoRoom: 4, ExtraLate: 4}, {Gone: 2, NoRoom: 2, Extra: 4}}

// afterPause makes a worker send its last response on each connection once more when the connection is used again after a
// pause.
var afterPause = worker.Faults{ExtraLate: always, LateAfter: idlePause}

// doubleWorker runs a step on responses that come twice.
func (s *soak) doubleWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	if step.Choice%2 == 0 {
		w = s.workerOfKind(worker.Stage, step.Target)
	}
	variants := doubles
	if w.Kind == worker.Stage {
		variants = append(doublesOfStages, doubles...)
	}
	w.SetFaults(variants[step.Choice/2%len(variants)])
	sleep(ctx, step.For)
	w.SetFaults(worker.Faults{})
}

// doubleAfterPause makes all stage workers send responses once more after a pause of all streams.
func (s *soak) doubleAfterPause(ctx context.Context, step Step) {
	s.setFaultsOf(worker.Stage, afterPause)
	s.streamPauses.Add(1)
	sleep(ctx, idlePause+longestRequest)
	s.streamPauses.Add(-1)
	sleep(ctx, step.For)
	s.setFaultsOf(worker.Stage, worker.Faults{})
}

// longestRequest is how long streams that began before a pause mostly take.
const longestRequest = 300 * time.Millisecond

// prepareWorker returns a function that prepares a worker for the run; prepare is called first unless it is nil.
func (s *soak) prepareWorker(prepare func(number int, w *worker.Worker)) func(number int, w *worker.Worker) {
	return func(number int, w *worker.Worker) {
		if prepare != nil {
			prepare(number, w)
		}
		s.prepareDoubles(w)
	}
}

// prepareDoubles prepares a worker for responses that come twice: its connections stay open over a pause, and half of the
// workers echo the IDs of calls. Restarted workers are prepared too.
func (s *soak) prepareDoubles(w *worker.Worker) {
	if s.options.Doubles == 0 {
		return
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(w.ID)) // a hash never fails to write
	w.EchoesCalls, w.KeepAlive = hash.Sum32()%2 == 0, keepAliveS*time.Second
	w.CallTime = doublesCallTime
}

// shortenResults shortens how long stage workers keep results in runs with responses that come twice.
func (s *soak) shortenResults(document platformdoc.Document) platformdoc.Document {
	for i := range document.Services {
		if pieces := document.Services[i].Pieces; s.options.Doubles > 0 && pieces != nil {
			short := *pieces
			short.HandleS = doublesHandleS
			document.Services[i].Pieces = &short
		}
	}
	return document
}

// judgeInputs finds requests that ran at an engine with results of other requests or of another stage.
func (e *evidence) judgeInputs() []string {
	var found []string
	for _, w := range e.workers {
		for _, run := range w.runs {
			if fault := e.judgeInputsOf(run); fault != "" {
				found = append(found, run.ID+" ran at "+w.id+" and "+fault)
			}
		}
	}
	return found
}

// lastStage is the stage whose results engines get.
const lastStage = 1

// judgeInputsOf returns what is wrong with the inputs of a run, or "".
func (e *evidence) judgeInputsOf(run worker.Run) string {
	text := run.Header.Get("X-Inputs")
	if text == "" {
		return ""
	}
	seen := make(map[int]bool)
	for _, handle := range strings.Split(text, ",") {
		input, known := e.itemByHandle[handle]
		if !known || input.ID != run.ID || input.Stage != lastStage {
			return "got the input " + handle + " of another request or stage"
		}
		seen[input.Index] = true
	}
	if len(seen) != rankItems {
		return "lacked inputs"
	}
	return ""
}
