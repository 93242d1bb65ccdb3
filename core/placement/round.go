package placement

import "time"

// RoundCall is what the driver of a round has to do next.
type RoundCall int

// The calls.
const (
	// RoundEnd: the round is over.
	RoundEnd RoundCall = iota
	// RoundReadLease: read the lease object; answer by LeaseAbsent, LeaseFound or
	// Unreadable.
	RoundReadLease
	// RoundWriteLease: write the lease object; answer by LeaseWritten or NotWritten.
	RoundWriteLease
	// RoundReadPlan: read the plan object; answer by PlanRead or Unreadable.
	RoundReadPlan
	// RoundGather: find out what the engines hold; answer by Gathered.
	RoundGather
	// RoundWritePlan: write the plan object; answer by PlanWritten or NotWritten.
	RoundWritePlan
)

// RoundStep is the next call of a round with its arguments.
type RoundStep struct {
	Call RoundCall
	// Lease is to be written; Version is the condition, zero for a create.
	Lease   LeaseRecord
	Plan    Plan
	Version uint64
}

// Round is one process's turn at placement: it renews or takes the lease and, if
// it holds it, plans. The driver makes the calls that Next returns.
//
// The order of the calls is what makes a pause at any point harmless. The plan is
// read before the engines are asked, so that all facts are newer than the version
// on which the write is conditional. The lease is looked at once more before the
// write. Whoever takes the lease later writes a plan in its first round; so a
// write that is held up past that point finds another version and fails.
type Round struct {
	lease *Lease
	step  RoundStep
	// present is the plan in force, read at version.
	present   Plan
	version   uint64
	decisions []Decision
}

// NewRound returns a round at its first call.
func NewRound(lease *Lease) *Round {
	return &Round{lease: lease, step: RoundStep{Call: RoundReadLease}}
}

// Next returns the call to make.
func (r *Round) Next() RoundStep { return r.step }

// Present returns the plan in force, once it was read.
func (r *Round) Present() Plan { return r.present }

// Decisions returns what a written plan changes and why.
func (r *Round) Decisions() []Decision { return r.decisions }

// Unreadable hands in that a read had no answer.
func (r *Round) Unreadable() { r.end() }

// NotWritten hands in that a write did not take effect.
func (r *Round) NotWritten() { r.end() }

// LeaseAbsent hands in that there is no lease object at now.
func (r *Round) LeaseAbsent(now time.Duration) { r.leaseSeen(r.lease.Absent(now)) }

// LeaseFound hands in what the read at now found.
func (r *Round) LeaseFound(now time.Duration, record LeaseRecord, version uint64) {
	r.leaseSeen(r.lease.Found(now, record, version))
}

// leaseSeen follows what the lease decided.
func (r *Round) leaseSeen(step LeaseStep) {
	if !step.Write {
		r.end()
		return
	}
	r.step = RoundStep{Call: RoundWriteLease, Lease: step.Record, Version: step.Version}
}

// LeaseWritten hands in that the lease is held; before is the moment before the
// write was sent.
func (r *Round) LeaseWritten(before time.Duration, version uint64) {
	r.lease.Wrote(before, version)
	r.step = RoundStep{Call: RoundReadPlan}
}

// LeaseLost hands in that the answer to the write of the lease was lost.
func (r *Round) LeaseLost(before time.Duration) {
	r.lease.Lost(before)
	r.end()
}

// PlanRead hands in the plan in force and the version of its object, both zero if
// there is none.
func (r *Round) PlanRead(plan Plan, version uint64) {
	r.present = plan
	r.version = version
	r.step = RoundStep{Call: RoundGather}
}

// Gathered hands in what the plan follows from, at now. The plan in force is
// filled in here.
func (r *Round) Gathered(now time.Duration, in Input) {
	in.Present = r.present
	plan, decisions, changed := Propose(in)
	stale := in.Revision < r.present.Revision
	if stale || !r.lease.Holds(now) || (!changed && !r.lease.Fresh()) {
		r.end()
		return
	}
	r.decisions = decisions
	r.step = RoundStep{Call: RoundWritePlan, Plan: plan, Version: r.version}
}

// PlanWritten hands in that the plan is in force.
func (r *Round) PlanWritten() {
	r.lease.Planned()
	r.end()
}

// end ends the round.
func (r *Round) end() { r.step = RoundStep{} }
