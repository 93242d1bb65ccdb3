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

// chunksPerStage is how many chunks each stage of the world gives.
const chunksPerStage = 3

// dice is an even source of chance, seeded by rapid, and a Knowledge whose
// budgets are left to it. Rapid's own draws favour small numbers, which would end
// most requests after a few steps.
type dice struct{ *rand.Rand }

// newDice draws the seed.
func newDice(t *rapid.T) dice {
	seed := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed")
	return dice{rand.New(rand.NewPCG(xxhash.Sum64(seed), 0))}
}

// chance returns true in so many cases of a hundred.
func (d dice) chance(percent int) bool { return d.IntN(100) < percent }

func (dice) Estimate(string) latency.Estimate {
	return latency.Estimate{
		ServiceP50: 20 * time.Millisecond, ServiceP95: 40 * time.Millisecond,
		FirstP50: 10 * time.Millisecond, FirstP95: 20 * time.Millisecond, GapP95: 5 * time.Millisecond,
	}
}
func (d dice) RetryBudget(string) Budget { return d }
func (d dice) HedgeBudget(string) Budget { return d }
func (dice) Deposit(time.Time)           {}
func (d dice) Withdraw(time.Time) bool   { return d.chance(75) }
func chunkOf(stage, i int) []byte        { return fmt.Appendf(nil, "%d.%d ", stage, i) }

// run is the truth about one attempt.
type run struct {
	stage     int
	resume    int
	claimed   bool
	foreign   bool
	delivered bool
	tombstone bool
	executed  bool
	// proved is set once the machine was told that it has not run and never will.
	proved bool
}

// world plays the sides, the claims and the caller, and knows the truth.
type world struct {
	t      *rapid.T
	dice   dice
	m      *Machine
	now    time.Time
	stages []Stage
	runs   map[AttemptID]*run
	// pool holds what may happen next, in any order.
	pool []func()

	emitted  [][]byte
	answer   *Answer
	answers  int
	answerAt time.Time
	deadline time.Time
	ran      map[int]int
	late     []int
}

// newWorld starts a request whose stage `claimed` is non-idempotent, or none if
// it is negative.
func newWorld(t *rapid.T, stages, claimed int) *world {
	w := &world{t: t, dice: newDice(t), now: time.Unix(1000, 0), runs: make(map[AttemptID]*run), ran: make(map[int]int)}
	for i := range stages {
		w.stages = append(w.stages, Stage{
			Name: fmt.Sprint(i), Service: fmt.Sprint(i), NonIdempotent: i == claimed, Resumable: i == stages-1,
		})
	}
	const deadline = 2 * time.Second
	w.deadline = w.now.Add(deadline)
	w.m = New("e-1", Plan{Stages: w.stages, Deadline: deadline}, w.dice, DefaultRules())
	w.act(w.m.Start(w.now))
	return w
}

// later adds something that may happen, perhaps twice.
func (w *world) later(event Event) {
	w.pool = append(w.pool, func() { w.handle(event) })
	if w.dice.chance(10) {
		w.pool = append(w.pool, func() { w.handle(event) })
	}
}

// handle hands an event to the machine.
func (w *world) handle(event Event) {
	w.act(w.m.Handle(w.now, event))
}

// step lets one thing happen: something of the pool, or time alone. With an
// empty pool time goes to where the machine wants to be woken.
func (w *world) step() {
	if len(w.pool) == 0 {
		if wake := w.m.Wake(); wake.After(w.now) {
			w.now = wake
		}
		w.handle(Tick{})
		return
	}
	if w.dice.chance(15) {
		w.pass(time.Duration(w.dice.IntN(80)) * time.Millisecond)
		return
	}
	w.pass(time.Duration(w.dice.IntN(2000)) * time.Microsecond)
	i := w.dice.IntN(len(w.pool))
	next := w.pool[i]
	w.pool = append(w.pool[:i], w.pool[i+1:]...)
	next()
}

// pass lets time go on, at most to where the machine wants to be woken.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	if wake := w.m.Wake(); !w.m.Answered() && w.now.After(wake) {
		w.now = wake
		w.handle(Tick{})
	}
}

// act carries out actions.
func (w *world) act(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Choose:
			w.choose(a)
		case Run:
			w.run(a)
		case Attach:
			w.attach(a)
		case Ping:
			w.later(Pinged{Attempt: a.Attempt, Alive: w.dice.chance(70)})
		case Resolve:
			w.pool = append(w.pool, func() { w.resolve(a) })
		case Cancel:
			w.pool = append(w.pool, func() { w.cancel(a) })
		case OpenClaim:
			w.claim(a.Attempt, a.Stage)
		case Reassign:
			w.claim(a.Attempt, a.Stage)
		case Release:
			w.later(Released(a))
		case Finish:
			w.later(Finished{Attempt: a.Attempt, Recorded: w.dice.chance(80)})
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

// choose answers a choice.
func (w *world) choose(a Choose) {
	if w.dice.chance(10) {
		w.later(NotChosen{Attempt: a.Attempt, Late: w.dice.chance(50), RetryAfter: time.Second})
		return
	}
	w.later(Chosen{Attempt: a.Attempt, Upstream: core.UpstreamID(fmt.Sprint(w.dice.IntN(4)))})
}

// claim answers the opening or reassigning of a claim.
func (w *world) claim(id AttemptID, stage int) {
	e := Claimed{Attempt: id, Status: ClaimMine}
	if w.dice.chance(30) {
		e.Status = ClaimStatus(1 + w.dice.IntN(7))
	}
	switch e.Status {
	case ClaimDone:
		e.Chunks = wholeOf(stage)
		e.Recorded = w.dice.chance(50)
	case ClaimRunning:
		w.runs[id] = &run{stage: stage, claimed: true, foreign: true, delivered: true, executed: true}
	}
	w.later(e)
}

// wholeOf returns a stage's whole output.
func wholeOf(stage int) [][]byte {
	var chunks [][]byte
	for i := range chunksPerStage {
		chunks = append(chunks, chunkOf(stage, i))
	}
	return chunks
}

// run dispatches an attempt to one of many fates.
func (w *world) run(a Run) {
	claimed := w.stages[a.Stage].NonIdempotent
	if claimed {
		for _, other := range w.runs {
			if other.stage == a.Stage && !other.foreign {
				assert.Assert(w.t, other.proved, "a second dispatch without proof that the first did not run")
			}
		}
	}
	r := &run{stage: a.Stage, resume: a.Resume, claimed: claimed}
	w.runs[a.Attempt] = r
	switch w.dice.IntN(8) {
	case 0:
		r.proved = true
		w.later(Broken{Attempt: a.Attempt, NotSent: true})
	case 1: // On its way: it arrives some time, or never.
		w.later(Broken{Attempt: a.Attempt})
		w.pool = append(w.pool, func() { w.deliver(r) })
	case 2:
		r.tombstone = true
		r.proved = true
		w.later(Refused{Attempt: a.Attempt, Refusal: RefusalProved, Late: w.dice.chance(50), RetryAfter: time.Second})
	case 3:
		w.deliver(r)
		if w.dice.chance(50) {
			r.executed, w.ran[r.stage] = false, w.ran[r.stage]-1
			r.proved = true
			w.later(Failed{Attempt: a.Attempt})
			return
		}
		w.later(Failed{Attempt: a.Attempt, MayHaveRun: true})
	case 4: // Silent: it runs, and nothing is heard.
		w.pool = append(w.pool, func() { w.deliver(r) })
	default:
		w.pool = append(w.pool, func() {
			if w.deliver(r) {
				w.stream(a.Attempt, r, 0)
			}
		})
	}
}

// deliver lets a Run reach its side. It returns false if the side refuses it.
func (w *world) deliver(r *run) bool {
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

// stream sends an attempt's events from its own chunk `from` on, perhaps broken
// off, perhaps with a wrong closing event.
func (w *world) stream(id AttemptID, r *run, from uint64) {
	w.later(Started{Attempt: id})
	digest := xxhash.New()
	own := wholeOf(r.stage)[r.resume:]
	cut := len(own) + 1
	if w.dice.chance(25) {
		cut = w.dice.IntN(len(own) + 1)
	}
	for i, chunk := range own {
		digest.Write(chunk)
		if i < cut && uint64(i) >= from {
			w.later(Chunk{Attempt: id, Index: uint64(i), Data: chunk})
		}
	}
	if cut <= len(own) {
		w.later(Broken{Attempt: id})
		return
	}
	done := Done{Attempt: id, Chunks: uint64(len(own)), Digest: digest.Sum64()}
	if w.dice.chance(5) {
		done.Digest++
	}
	w.later(done)
}

// attach follows an attempt on a new stream.
func (w *world) attach(a Attach) {
	r := w.runs[a.Attempt]
	switch {
	case w.dice.chance(30):
		w.later(Broken{Attempt: a.Attempt, NotSent: w.dice.chance(50)})
	case r.executed:
		w.stream(a.Attempt, r, a.From)
	default: // Whatever a side says to an Attach, the Run may still arrive.
		w.later(Refused{Attempt: a.Attempt, Refusal: Refusal(1 + w.dice.IntN(3))})
	}
}

// resolve answers truthfully what became of an attempt, if at all.
func (w *world) resolve(a Resolve) {
	r := w.runs[a.Attempt]
	e := Resolved{Attempt: a.Attempt}
	switch {
	case w.dice.chance(20):
		e.Resolution = ResolvedUnreachable
	case w.dice.chance(10):
		e.Resolution = ResolvedGone
	case r.executed && w.dice.chance(70):
		e.Resolution, e.Chunks = ResolvedDone, wholeOf(r.stage)
	case r.executed:
		e.Resolution = ResolvedRunning
	default:
		r.tombstone, r.proved = true, true
		e.Resolution = ResolvedNotRun
	}
	w.later(e)
}

// cancel ends an attempt; one that has not arrived gets a tombstone.
func (w *world) cancel(a Cancel) {
	r := w.runs[a.Attempt]
	if w.dice.chance(30) {
		w.later(Cancelled{Attempt: a.Attempt})
		return
	}
	if !r.delivered {
		r.tombstone = true
	}
	w.later(Cancelled{Attempt: a.Attempt, Confirmed: true, Started: r.executed})
}
