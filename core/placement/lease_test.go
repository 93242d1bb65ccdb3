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

// leaseMutation disables one mechanism, to verify that the checker detects it.
type leaseMutation int

const (
	noLeaseMutation leaseMutation = iota
	planUnconditional
	noFirstWrite
	noWaitForTTL
	heldFromResponse
	noRevisionGuard
	leaseMutations
)

// Parameters of the simulated interleavings.
const (
	leaseTTL      = 10 * time.Second
	proposerCount = 3
	leaseEvents   = 150
	settleSteps   = 350
	leaseRuns     = 10000
	mutationSeeds = 100000
)

// object is one object of the store.
type object[T any] struct {
	value   T
	version uint64
}

// proposer is one entry that takes part in placement. Each step either makes a call or
// receives its response.
type proposer struct {
	name     string
	lease    *placement.Lease
	round    *placement.Round
	receive  func()
	revision core.Revision
	// term is the sequence number of its latest acquisition of the lease among all
	// acquisitions that took effect.
	term int
}

// leaseCluster simulates a store and proposers whose clocks run at the same rate.
type leaseCluster struct {
	pick      func(label string, n int) int
	broken    leaseMutation
	faultless bool
	now       time.Duration
	revision  core.Revision
	version   uint64
	lease     *object[placement.LeaseRecord]
	plan      *object[placement.Plan]
	proposers []*proposer
	delayed   []func()
	terms     int
	completed int
	violation string
}

// fail records the first violation.
func (cl *leaseCluster) fail(format string, args ...any) {
	if cl.violation == "" {
		cl.violation = fmt.Sprintf(format, args...)
	}
}

// put makes a conditional write with injected faults of the store: the write may be lost,
// delayed, or take effect with its response lost.
func (cl *leaseCluster) put(apply func() bool, responded func(ok bool), lost func()) func() {
	fault := 0
	if !cl.faultless {
		fault = cl.pick("write fault", 10)
	}
	switch fault {
	case 7:
		apply()
		return lost
	case 8:
		cl.delayed = append(cl.delayed, func() { apply() })
		return lost
	case 9:
		return lost
	default:
		ok := apply()
		return func() { responded(ok) }
	}
}

// applyLease executes a write of the lease.
func (cl *leaseCluster) applyLease(p *proposer, step placement.RoundStep) bool {
	current := uint64(0)
	if cl.lease != nil {
		current = cl.lease.version
	}
	if current != step.Version {
		return false
	}
	if cl.lease == nil || cl.lease.value.Term != step.Lease.Term {
		cl.terms++
		p.term = cl.terms
	}
	cl.version++
	cl.lease = &object[placement.LeaseRecord]{value: step.Lease, version: cl.version}
	return true
}

// applyPlan executes a write of the plan and checks that the writer's term and revision
// are not superseded.
func (cl *leaseCluster) applyPlan(p *proposer, term int, step placement.RoundStep) bool {
	current, revision := uint64(0), core.Revision(0)
	if cl.plan != nil {
		current, revision = cl.plan.version, cl.plan.value.Revision
	}
	if current != step.Version && cl.broken != planUnconditional {
		return false
	}
	if term < cl.completed {
		cl.fail("%s wrote a plan in term %d after a round of term %d had ended", p.name, term, cl.completed)
	}
	if step.Plan.Revision < revision {
		cl.fail("%s reverted the plan from revision %d to %d", p.name, revision, step.Plan.Revision)
	}
	cl.version++
	cl.plan = &object[placement.Plan]{value: step.Plan, version: cl.version}
	return true
}

// step makes one step of a proposer.
func (cl *leaseCluster) step(p *proposer) {
	if p.receive != nil {
		receive := p.receive
		p.receive = nil
		receive()
		return
	}
	if p.round == nil {
		p.round = placement.NewRound(p.lease)
	}
	round, step := p.round, p.round.Next()
	before := cl.now
	switch step.Call {
	case placement.RoundEnd:
		p.round = nil
	case placement.RoundReadLease:
		cl.readLease(p, round)
	case placement.RoundWriteLease:
		written := uint64(0)
		responded := func(ok bool) {
			if cl.broken == heldFromResponse {
				before = cl.now
			}
			if !ok {
				round.NotWritten()
				return
			}
			round.LeaseWritten(before, written)
			if cl.broken == noFirstWrite {
				p.lease.Planned()
			}
		}
		apply := func() bool {
			ok := cl.applyLease(p, step)
			written = cl.version
			return ok
		}
		p.receive = cl.put(apply, responded, func() { round.LeaseUnconfirmed(before) })
	case placement.RoundReadPlan:
		plan, version := placement.Plan{}, uint64(0)
		if cl.plan != nil {
			plan, version = cl.plan.value, cl.plan.version
		}
		p.receive = func() { round.PlanRead(plan, version) }
	case placement.RoundGather:
		cl.gather(p, round)
	case placement.RoundWritePlan:
		term := p.term
		responded := func(ok bool) {
			if !ok {
				round.NotWritten()
				return
			}
			round.PlanWritten()
			cl.completed = max(cl.completed, term)
		}
		p.receive = cl.put(func() bool { return cl.applyPlan(p, term, step) }, responded, round.NotWritten)
	}
}

// readLease reads the lease object.
func (cl *leaseCluster) readLease(p *proposer, round *placement.Round) {
	found := cl.lease
	p.receive = func() {
		now := cl.now
		if found == nil {
			round.LeaseAbsent(now)
			return
		}
		if cl.broken == noWaitForTTL {
			round.LeaseFound(now, found.value, found.version)
			now += leaseTTL
		}
		round.LeaseFound(now, found.value, found.version)
	}
}

// gather passes the proposer's input to its round: the proposer's revision of the
// configuration, which may lag behind, and one engine that has loaded all that is assigned
// to it.
func (cl *leaseCluster) gather(p *proposer, round *placement.Round) {
	loaded := []placement.ModelVersion{}
	if cl.plan != nil {
		for _, a := range cl.plan.value.Assignments {
			loaded = append(loaded, a.Assigned())
		}
	}
	in := placement.Input{
		Revision: p.revision,
		Models:   []config.Model{{Name: "m", Version: fmt.Sprint(p.revision), Service: "llm", Replicas: 1}},
		Engines:  []placement.Engine{{Upstream: "llm-0", Service: "llm", Zone: "z", Known: true, Loaded: loaded}},
		Rules:    placement.Rules{MaxLoads: 1, ModelsPerEngine: 2},
		Proposer: p.name,
	}
	if cl.broken == noRevisionGuard {
		in.Revision = 1 << 20
	}
	holds := p.lease.Holds(cl.now)
	round.Gathered(cl.now, in)
	if cl.broken == noRevisionGuard && round.Next().Call == placement.RoundWritePlan {
		p.receive = func() { round.NotWritten() }
		step := round.Next()
		step.Plan.Revision = p.revision
		cl.applyPlan(p, p.term, step)
	}
	if holds && round.Next().Call == placement.RoundEnd && p.revision >= planRevision(cl) {
		cl.completed = max(cl.completed, p.term)
	}
}

// planRevision returns the revision of the current plan.
func planRevision(cl *leaseCluster) core.Revision {
	if cl.plan == nil {
		return 0
	}
	return cl.plan.value.Revision
}

// checkOneHolder fails if two proposers believe that they hold the lease.
func (cl *leaseCluster) checkOneHolder() {
	holders := 0
	for _, p := range cl.proposers {
		if p.lease.Holds(cl.now) {
			holders++
		}
	}
	if holders > 1 {
		cl.fail("%d proposers hold the lease at once", holders)
	}
}

// runLease runs one interleaving with faults, then settles without faults.
func runLease(pick func(string, int) int, broken leaseMutation) *leaseCluster {
	cl := &leaseCluster{pick: pick, broken: broken, revision: 1}
	for i := range proposerCount {
		name := fmt.Sprintf("entry-%d", i)
		cl.proposers = append(cl.proposers, &proposer{name: name, revision: 1, lease: placement.NewLease(name, uint64(i+1), leaseTTL)})
	}
	for range leaseEvents {
		cl.runEvent()
		cl.checkOneHolder()
		if cl.violation != "" {
			return cl
		}
	}
	cl.settle()
	return cl
}

// runEvent runs one random event. A proposer that is not picked is effectively paused.
func (cl *leaseCluster) runEvent() {
	switch n := cl.pick("turn", 16); {
	case n == 0 && len(cl.delayed) > 0:
		deliver := cl.delayed[0]
		cl.delayed = cl.delayed[1:]
		deliver()
	case n == 1:
		cl.now += time.Duration(cl.pick("seconds", 15)) * time.Second
	case n == 2:
		cl.revision++
	case n <= 4:
		cl.proposers[cl.pick("who", proposerCount)].revision = cl.revision
	default:
		cl.step(cl.proposers[cl.pick("who", proposerCount)])
	}
}

// settle ends the faults and checks that the newest configuration is planned.
func (cl *leaseCluster) settle() {
	cl.faultless = true
	for _, deliver := range cl.delayed {
		deliver()
	}
	for i := range settleSteps {
		p := cl.proposers[i%proposerCount]
		p.revision = cl.revision
		cl.step(p)
		cl.now += 100 * time.Millisecond
		cl.checkOneHolder()
	}
	if planRevision(cl) != cl.revision {
		cl.fail("the plan has revision %d, want %d", planRevision(cl), cl.revision)
	}
}

// TestPausedHolderDoesNoHarm runs interleavings of proposers that pause anywhere, lose
// responses and lag behind in configuration. It checks that at most one proposer holds
// the lease at a time, that no proposer writes a plan after a later holder has planned,
// that the revision of the plan never decreases, and that the newest configuration is
// planned eventually.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	terms, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		cl := runLease(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }, noLeaseMutation)
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
		runs++
		terms += cl.terms
	})
	t.Logf("%d interleavings, the lease was acquired %d times", runs, terms)
	assert.Assert(t, terms > 2*runs, "the lease rarely changes its holder")
}

// TestCheckerSeesEachLeaseMutation disables one mechanism at a time and expects the checks
// of TestPausedHolderDoesNoHarm to detect a violation.
func TestCheckerSeesEachLeaseMutation(t *testing.T) {
	names := map[leaseMutation]string{
		planUnconditional: "plans written without condition", noFirstWrite: "no first write by a new holder",
		noWaitForTTL: "no wait for the TTL", heldFromResponse: "time held counts from the answer",
		noRevisionGuard: "no revision guard",
	}
	for broken := noLeaseMutation + 1; broken < leaseMutations; broken++ {
		t.Run(names[broken], func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				rng := rand.New(rand.NewPCG(seed, 1))
				cl := runLease(func(_ string, n int) int { return rng.IntN(n) }, broken)
				if cl.violation != "" {
					t.Logf("interleaving %d: %s", seed, cl.violation)
					return
				}
			}
			t.Fatal("the checker found no violation")
		})
	}
}
