package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/placement"
)

// leaseMutation disables one mechanism, so that a test can see the checker fail.
type leaseMutation int

const (
	leaseWhole leaseMutation = iota
	planUnconditional
	noFirstWrite
	noWaitForTTL
	heldFromAnswer
	noRevisionGuard
	leaseMutations
)

// Sizes of one interleaving.
const (
	leaseTTL      = 10 * time.Second
	proposers     = 3
	leaseSteps    = 150
	calmRounds    = 350
	leaseRuns     = 10000
	leaseSearches = 100000
)

// held is one object of the store.
type held[T any] struct {
	value   T
	version uint64
}

// proposer is one entry that may place. It makes one effect or reception a step.
type proposer struct {
	name     string
	lease    *placement.Lease
	round    *placement.Round
	answer   func()
	revision core.Revision
	// term counts when it took the lease, among all takings that took effect.
	term int
}

// leaseWorld is a store and proposers on one clock rate.
type leaseWorld struct {
	pick      func(label string, n int) int
	broken    leaseMutation
	calm      bool
	now       time.Duration
	revision  core.Revision
	version   uint64
	lease     *held[placement.LeaseRecord]
	plan      *held[placement.Plan]
	all       []*proposer
	late      []func()
	terms     int
	completed int
	problem   string
}

// fail notes the first violation.
func (w *leaseWorld) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// put makes a conditional write with the faults of the store: the effect may be
// lost, late, or take place with its answer lost.
func (w *leaseWorld) put(apply func() bool, answered func(ok bool), lost func()) func() {
	fault := 0
	if !w.calm {
		fault = w.pick("write fault", 10)
	}
	switch fault {
	case 7:
		apply()
		return lost
	case 8:
		w.late = append(w.late, func() { apply() })
		return lost
	case 9:
		return lost
	default:
		ok := apply()
		return func() { answered(ok) }
	}
}

// applyLease carries out a write of the lease.
func (w *leaseWorld) applyLease(p *proposer, step placement.RoundStep) bool {
	current := uint64(0)
	if w.lease != nil {
		current = w.lease.version
	}
	if current != step.Version {
		return false
	}
	if w.lease == nil || w.lease.value.Term != step.Lease.Term {
		w.terms++
		p.term = w.terms
	}
	w.version++
	w.lease = &held[placement.LeaseRecord]{value: step.Lease, version: w.version}
	return true
}

// applyPlan carries out a write of the plan and checks that it does no harm.
func (w *leaseWorld) applyPlan(p *proposer, term int, step placement.RoundStep) bool {
	current, revision := uint64(0), core.Revision(0)
	if w.plan != nil {
		current, revision = w.plan.version, w.plan.value.Revision
	}
	if current != step.Version && w.broken != planUnconditional {
		return false
	}
	if term < w.completed {
		w.fail("%s wrote a plan in term %d after a round of term %d ended", p.name, term, w.completed)
	}
	if step.Plan.Revision < revision {
		w.fail("%s took the plan from revision %d back to %d", p.name, revision, step.Plan.Revision)
	}
	w.version++
	w.plan = &held[placement.Plan]{value: step.Plan, version: w.version}
	return true
}

// step makes one step of a proposer.
func (w *leaseWorld) step(p *proposer) {
	if p.answer != nil {
		receive := p.answer
		p.answer = nil
		receive()
		return
	}
	if p.round == nil {
		p.round = placement.NewRound(p.lease)
	}
	round, step := p.round, p.round.Next()
	before := w.now
	switch step.Call {
	case placement.RoundEnd:
		p.round = nil
	case placement.RoundReadLease:
		w.readLease(p, round)
	case placement.RoundWriteLease:
		written := uint64(0)
		answered := func(ok bool) {
			if w.broken == heldFromAnswer {
				before = w.now
			}
			if !ok {
				round.NotWritten()
				return
			}
			round.LeaseWritten(before, written)
			if w.broken == noFirstWrite {
				p.lease.Planned()
			}
		}
		apply := func() bool {
			ok := w.applyLease(p, step)
			written = w.version
			return ok
		}
		p.answer = w.put(apply, answered, func() { round.LeaseLost(before) })
	case placement.RoundReadPlan:
		plan, version := placement.Plan{}, uint64(0)
		if w.plan != nil {
			plan, version = w.plan.value, w.plan.version
		}
		p.answer = func() { round.PlanRead(plan, version) }
	case placement.RoundGather:
		w.gather(p, round)
	case placement.RoundWritePlan:
		term := p.term
		answered := func(ok bool) {
			if !ok {
				round.NotWritten()
				return
			}
			round.PlanWritten()
			w.completed = max(w.completed, term)
		}
		p.answer = w.put(func() bool { return w.applyPlan(p, term, step) }, answered, round.NotWritten)
	}
}

// readLease reads the lease object.
func (w *leaseWorld) readLease(p *proposer, round *placement.Round) {
	found := w.lease
	p.answer = func() {
		now := w.now
		if found == nil {
			round.LeaseAbsent(now)
			return
		}
		if w.broken == noWaitForTTL {
			round.LeaseFound(now, found.value, found.version)
			now += leaseTTL
		}
		round.LeaseFound(now, found.value, found.version)
	}
}

// gather hands in what the proposer knows: its own revision of the configuration,
// which may lag, and one engine that has loaded whatever it was told to.
func (w *leaseWorld) gather(p *proposer, round *placement.Round) {
	loaded := []placement.ModelVersion{}
	if w.plan != nil {
		for _, a := range w.plan.value.Assignments {
			loaded = append(loaded, a.Holds())
		}
	}
	in := placement.Input{
		Revision: p.revision,
		Models:   []config.Model{{Name: "m", Version: fmt.Sprint(p.revision), Service: "llm", Replicas: 1}},
		Engines:  []placement.Engine{{Upstream: "llm-0", Service: "llm", Zone: "z", Known: true, Loaded: loaded}},
		Rules:    placement.Rules{MaxLoads: 1, ModelsPerEngine: 2},
		Proposer: p.name,
	}
	if w.broken == noRevisionGuard {
		in.Revision = 1 << 20
	}
	holds := p.lease.Holds(w.now)
	round.Gathered(w.now, in)
	if w.broken == noRevisionGuard && round.Next().Call == placement.RoundWritePlan {
		p.answer = func() { round.NotWritten() }
		step := round.Next()
		step.Plan.Revision = p.revision
		w.applyPlan(p, p.term, step)
	}
	if holds && round.Next().Call == placement.RoundEnd && p.revision >= planRevision(w) {
		w.completed = max(w.completed, p.term)
	}
}

// planRevision returns the revision of the plan in force.
func planRevision(w *leaseWorld) core.Revision {
	if w.plan == nil {
		return 0
	}
	return w.plan.value.Revision
}

// oneHolder fails if two proposers believe to hold the lease.
func (w *leaseWorld) oneHolder() {
	holders := 0
	for _, p := range w.all {
		if p.lease.Holds(w.now) {
			holders++
		}
	}
	if holders > 1 {
		w.fail("%d proposers hold the lease at once", holders)
	}
}

// playLease runs one interleaving with faults, then without.
func playLease(pick func(string, int) int, broken leaseMutation) *leaseWorld {
	w := &leaseWorld{pick: pick, broken: broken, revision: 1}
	for i := range proposers {
		name := fmt.Sprintf("entry-%d", i)
		w.all = append(w.all, &proposer{name: name, revision: 1, lease: placement.NewLease(name, uint64(i+1), leaseTTL)})
	}
	for range leaseSteps {
		w.turn()
		w.oneHolder()
		if w.problem != "" {
			return w
		}
	}
	w.settle()
	return w
}

// turn lets one thing happen. Whoever is not picked is as if paused.
func (w *leaseWorld) turn() {
	switch n := w.pick("turn", 16); {
	case n == 0 && len(w.late) > 0:
		deliver := w.late[0]
		w.late = w.late[1:]
		deliver()
	case n == 1:
		w.now += time.Duration(w.pick("seconds", 15)) * time.Second
	case n == 2:
		w.revision++
	case n <= 4:
		w.all[w.pick("who", proposers)].revision = w.revision
	default:
		w.step(w.all[w.pick("who", proposers)])
	}
}

// settle ends the faults and expects the newest configuration to be planned.
func (w *leaseWorld) settle() {
	w.calm = true
	for _, deliver := range w.late {
		deliver()
	}
	for i := range calmRounds {
		p := w.all[i%proposers]
		p.revision = w.revision
		w.step(p)
		w.now += 100 * time.Millisecond
		w.oneHolder()
	}
	if planRevision(w) != w.revision {
		w.fail("the plan is of revision %d, not %d", planRevision(w), w.revision)
	}
}

// TestPausedHolderDoesNoHarm plays interleavings of proposers that pause anywhere,
// lose answers and lag behind in configuration. It checks that one holds the
// lease at a time, that nobody writes a plan after a later holder has planned,
// that plans never go back in revision, and that the newest comes into force.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	terms, played := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := playLease(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, leaseWhole)
		if w.problem != "" {
			t.Fatal(w.problem)
		}
		played++
		terms += w.terms
	})
	t.Logf("%d interleavings, the lease was taken %d times", played, terms)
	assert.Assert(t, terms > 2*played, "the lease hardly ever changes hands")
}

// TestCheckerSeesEachLeaseMutation disables one mechanism at a time and expects
// the same checker to find a violation.
func TestCheckerSeesEachLeaseMutation(t *testing.T) {
	names := map[leaseMutation]string{
		planUnconditional: "plans written without condition", noFirstWrite: "no first write by a new holder",
		noWaitForTTL: "no wait for the TTL", heldFromAnswer: "time held counts from the answer",
		noRevisionGuard: "no revision guard",
	}
	for broken := leaseWhole + 1; broken < leaseMutations; broken++ {
		t.Run(names[broken], func(t *testing.T) {
			for seed := range uint64(leaseSearches) {
				rng := rand.New(rand.NewPCG(seed, 1))
				w := playLease(func(_ string, n int) int { return rng.IntN(n) }, broken)
				if w.problem != "" {
					t.Logf("interleaving %d: %s", seed, w.problem)
					return
				}
			}
			t.Fatal("the checker found nothing")
		})
	}
}
