package request

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// chunksPerStage is how many chunks each simulated stage produces.
const chunksPerStage = 3

// randomSource is a uniform random source, seeded by rapid, and a Services whose
// budgets allow calls at random. Rapid's own draws favour small numbers, which
// would end most requests after a few steps.
type randomSource struct{ *rand.Rand }

// newRandomSource returns a source with a seed drawn from rapid.
func newRandomSource(t *rapid.T) randomSource {
	seed := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed")
	return randomSource{rand.New(rand.NewPCG(xxhash.Sum64(seed), 0))}
}

// chance returns true with the given probability in percent.
func (d randomSource) chance(percent int) bool { return d.IntN(100) < percent }

func (randomSource) Estimate(string) latency.Estimate {
	return latency.Estimate{
		ServiceP50: 20 * time.Millisecond, ServiceP95: 40 * time.Millisecond,
		FirstChunkP50: 10 * time.Millisecond, FirstChunkP95: 20 * time.Millisecond, ChunkGapP95: 5 * time.Millisecond,
	}
}
func (d randomSource) RetryBudget(string) Budget { return d }
func (d randomSource) HedgeBudget(string) Budget { return d }
func (randomSource) Deposit(time.Time)           {}
func (d randomSource) Withdraw(time.Time) bool   { return d.chance(75) }
func chunkOf(stage, i int) []byte                { return fmt.Appendf(nil, "%d.%d ", stage, i) }

// simulatedRun is what actually happens to one attempt.
type simulatedRun struct {
	stage     int
	resume    int
	claimed   bool
	foreign   bool
	delivered bool
	tombstone bool
	executed  bool
	// proved is set once an event proves that the attempt has not run and never will.
	proved bool
}

// simulation simulates the sidecars, the claims and the caller, and records what
// actually ran.
type simulation struct {
	t      *rapid.T
	random randomSource
	m      *Machine
	now    time.Time
	stages []Stage
	runs   map[AttemptID]*simulatedRun
	// pending holds the steps that may happen next, in any order.
	pending []func()

	emitted  [][]byte
	answer   *Answer
	answers  int
	answerAt time.Time
	deadline time.Time
	ran      map[int]int
	late     []int
}

// newSimulation starts a request whose stage `claimed` is non-idempotent, or none
// if it is negative.
func newSimulation(t *rapid.T, stages, claimed int) *simulation {
	w := &simulation{t: t, random: newRandomSource(t), now: time.Unix(1000, 0), runs: make(map[AttemptID]*simulatedRun), ran: make(map[int]int)}
	for i := range stages {
		w.stages = append(w.stages, Stage{
			Name: fmt.Sprint(i), Service: fmt.Sprint(i), NonIdempotent: i == claimed, Resumable: i == stages-1,
		})
	}
	const deadline = 2 * time.Second
	w.deadline = w.now.Add(deadline)
	w.m = New("e-1", Plan{Stages: w.stages, Deadline: deadline}, w.random, DefaultRules())
	w.act(w.m.Start(w.now))
	return w
}

// schedule adds an event to the pending steps, sometimes twice.
func (w *simulation) schedule(event Event) {
	w.pending = append(w.pending, func() { w.handle(event) })
	if w.random.chance(10) {
		w.pending = append(w.pending, func() { w.handle(event) })
	}
}

// handle passes an event to the machine.
func (w *simulation) handle(event Event) {
	w.act(w.m.Handle(w.now, event))
}

// step runs a random pending step, or only advances the time. Without pending
// steps the time advances to when the machine wants to be woken.
func (w *simulation) step() {
	if len(w.pending) == 0 {
		if wake := w.m.Wake(); wake.After(w.now) {
			w.now = wake
		}
		w.handle(Tick{})
		return
	}
	if w.random.chance(15) {
		w.pass(time.Duration(w.random.IntN(80)) * time.Millisecond)
		return
	}
	w.pass(time.Duration(w.random.IntN(2000)) * time.Microsecond)
	i := w.random.IntN(len(w.pending))
	next := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	next()
}

// pass advances the time by d, at most to when the machine wants to be woken.
func (w *simulation) pass(d time.Duration) {
	w.now = w.now.Add(d)
	if wake := w.m.Wake(); !w.m.Answered() && w.now.After(wake) {
		w.now = wake
		w.handle(Tick{})
	}
}

// act executes actions.
func (w *simulation) act(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Choose:
			w.choose(a)
		case Run:
			w.run(a)
		case Attach:
			w.attach(a)
		case Ping:
			w.schedule(Pinged{Attempt: a.Attempt, Alive: w.random.chance(70)})
		case Resolve:
			w.pending = append(w.pending, func() { w.resolve(a) })
		case Cancel:
			w.pending = append(w.pending, func() { w.cancel(a) })
		case OpenClaim:
			w.claim(a.Attempt, a.Stage)
		case Reassign:
			w.claim(a.Attempt, a.Stage)
		case Release:
			w.schedule(Released(a))
		case Finish:
			w.schedule(Finished{Attempt: a.Attempt, Recorded: w.random.chance(80)})
		case Emit:
			assert.Equal(w.t, a.Index, uint64(len(w.emitted)))
			w.emitted = append(w.emitted, a.Data)
		case Answer:
			w.answers++
			w.answer = &a
			w.answerAt = w.now
		case Note:
			assert.Assert(w.t, a.Kind != NoteBug, a.Reason)
		}
	}
}

// choose schedules the response to a Choose.
func (w *simulation) choose(a Choose) {
	if w.random.chance(10) {
		w.schedule(NotChosen{Attempt: a.Attempt, LackOfTime: w.random.chance(50), RetryAfter: time.Second})
		return
	}
	w.schedule(Chosen{Attempt: a.Attempt, Upstream: core.UpstreamID(fmt.Sprint(w.random.IntN(4)))})
}

// claim schedules the response to an OpenClaim or a Reassign.
func (w *simulation) claim(id AttemptID, stage int) {
	e := Claimed{Attempt: id, Status: ClaimOwned}
	if w.random.chance(30) {
		e.Status = ClaimStatus(1 + w.random.IntN(7))
	}
	switch e.Status {
	case ClaimDone:
		e.Chunks = wholeOf(stage)
		e.Recorded = w.random.chance(50)
	case ClaimRunning:
		w.runs[id] = &simulatedRun{stage: stage, claimed: true, foreign: true, delivered: true, executed: true}
	}
	w.schedule(e)
}

// wholeOf returns a stage's complete output.
func wholeOf(stage int) [][]byte {
	var chunks [][]byte
	for i := range chunksPerStage {
		chunks = append(chunks, chunkOf(stage, i))
	}
	return chunks
}

// run dispatches an attempt, which ends in one of several ways at random.
func (w *simulation) run(a Run) {
	claimed := w.stages[a.Stage].NonIdempotent
	if claimed {
		for _, other := range w.runs {
			if other.stage == a.Stage && !other.foreign {
				assert.Assert(w.t, other.proved, "a second dispatch without proof that the first did not run")
			}
		}
	}
	r := &simulatedRun{stage: a.Stage, resume: a.Resume, claimed: claimed}
	w.runs[a.Attempt] = r
	switch w.random.IntN(8) {
	case 0:
		r.proved = true
		w.schedule(Broken{Attempt: a.Attempt, NotSent: true})
	case 1: // In flight: it arrives later or never.
		w.schedule(Broken{Attempt: a.Attempt})
		w.pending = append(w.pending, func() { w.deliver(r) })
	case 2:
		r.tombstone = true
		r.proved = true
		w.schedule(Refused{Attempt: a.Attempt, Refusal: RefusalProved, LackOfTime: w.random.chance(50), RetryAfter: time.Second})
	case 3:
		w.deliver(r)
		if w.random.chance(50) {
			r.executed, w.ran[r.stage] = false, w.ran[r.stage]-1
			r.proved = true
			w.schedule(Failed{Attempt: a.Attempt})
			return
		}
		w.schedule(Failed{Attempt: a.Attempt, MayHaveRun: true})
	case 4: // Silent: it runs, but sends no events.
		w.pending = append(w.pending, func() { w.deliver(r) })
	default:
		w.pending = append(w.pending, func() {
			if w.deliver(r) {
				w.stream(a.Attempt, r, 0)
			}
		})
	}
}

// deliver lets a Run reach its sidecar. It returns false if the sidecar refuses it.
func (w *simulation) deliver(r *simulatedRun) bool {
	if r.tombstone || r.delivered {
		return false
	}
	r.delivered, r.executed = true, true
	w.ran[r.stage]++
	if w.answer != nil {
		w.late = append(w.late, r.stage)
	}
	return true
}

// stream schedules an attempt's events from its own chunk `from` on. The stream may
// break, or end with a wrong digest.
func (w *simulation) stream(id AttemptID, r *simulatedRun, from uint64) {
	w.schedule(Started{Attempt: id})
	digest := xxhash.New()
	own := wholeOf(r.stage)[r.resume:]
	cut := len(own) + 1
	if w.random.chance(25) {
		cut = w.random.IntN(len(own) + 1)
	}
	for i, chunk := range own {
		digest.Write(chunk)
		if i < cut && uint64(i) >= from {
			w.schedule(Chunk{Attempt: id, Index: uint64(i), Data: chunk})
		}
	}
	if cut <= len(own) {
		w.schedule(Broken{Attempt: id})
		return
	}
	done := Done{Attempt: id, Chunks: uint64(len(own)), Digest: digest.Sum64()}
	if w.random.chance(5) {
		done.Digest++
	}
	w.schedule(done)
}

// attach opens a new stream of an attempt, which may fail.
func (w *simulation) attach(a Attach) {
	r := w.runs[a.Attempt]
	switch {
	case w.random.chance(30):
		w.schedule(Broken{Attempt: a.Attempt, NotSent: w.random.chance(50)})
	case r.executed:
		w.stream(a.Attempt, r, a.From)
	default: // Whatever a sidecar responds to an Attach, the Run may still arrive.
		w.schedule(Refused{Attempt: a.Attempt, Refusal: Refusal(1 + w.random.IntN(3))})
	}
}

// resolve schedules the true outcome of an attempt as the response to a Resolve, or
// a response without an outcome.
func (w *simulation) resolve(a Resolve) {
	r := w.runs[a.Attempt]
	e := Resolved{Attempt: a.Attempt}
	switch {
	case w.random.chance(20):
		e.Resolution = ResolvedUnreachable
	case w.random.chance(10):
		e.Resolution = ResolvedGone
	case r.executed && w.random.chance(70):
		e.Resolution, e.Chunks = ResolvedDone, wholeOf(r.stage)
	case r.executed:
		e.Resolution = ResolvedRunning
	default:
		r.tombstone, r.proved = true, true
		e.Resolution = ResolvedNotRun
	}
	w.schedule(e)
}

// cancel cancels an attempt, if the sidecar responds. An attempt that has not arrived
// gets a tombstone.
func (w *simulation) cancel(a Cancel) {
	r := w.runs[a.Attempt]
	if w.random.chance(30) {
		w.schedule(Cancelled{Attempt: a.Attempt})
		return
	}
	if !r.delivered {
		r.tombstone = true
	}
	w.schedule(Cancelled{Attempt: a.Attempt, Confirmed: true, Started: r.executed})
}
