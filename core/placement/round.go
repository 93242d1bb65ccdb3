package placement

import "time"

// RoundCall is the call that the driver of a round has to make next.
type RoundCall int

// The calls.
const (
	// RoundEnd: the round is over.
	RoundEnd RoundCall = iota
	// RoundReadLease: read the lease object, then call LeaseAbsent, LeaseFound or
	// Unreadable.
	RoundReadLease
	// RoundWriteLease: write the lease object, then call LeaseWritten,
	// LeaseUnconfirmed or NotWritten.
	RoundWriteLease
	// RoundReadPlan: read the plan object, then call PlanRead or Unreadable.
	RoundReadPlan
	// RoundGather: query the models loaded on the engines, then call Gathered.
	RoundGather
	// RoundWritePlan: write the plan object, then call PlanWritten or NotWritten.
	RoundWritePlan
)

// RoundStep is the next call of a round with its arguments.
type RoundStep struct {
	Call RoundCall
	// Lease and Plan are the values to write. Version is the version on which the write
	// is conditional, zero for a create.
	Lease   LeaseRecord
	Plan    Plan
	Version uint64
}

// Round is one planning round of a process: it renews or acquires the lease and, if the
// process holds the lease, plans. The driver makes the calls that Next returns.
//
// The order of the calls makes a pause of the process at any point harmless. The plan is
// read before the engines are queried, so that all inputs are newer than the version on
// which the write is conditional. The lease is checked again before the write. A later
// holder of the lease writes a plan in its first round, so a write that is delayed past
// that point finds another version and fails.
type Round struct {
	lease *Lease
	step  RoundStep
	// current is the current plan, and version the version of its object.
	current   Plan
	version   uint64
	decisions []Decision
}

// NewRound returns a round whose first call is RoundReadLease.
func NewRound(lease *Lease) *Round {
	return &Round{lease: lease, step: RoundStep{Call: RoundReadLease}}
}

// Next returns the call to make.
func (r *Round) Next() RoundStep { return r.step }

// CurrentPlan returns the current plan after it was read.
func (r *Round) CurrentPlan() Plan { return r.current }

// Decisions returns the changes of the plan to write, and their reasons.
func (r *Round) Decisions() []Decision { return r.decisions }

// Unreadable records that a read failed.
func (r *Round) Unreadable() { r.end() }

// NotWritten records that a write did not take effect.
func (r *Round) NotWritten() { r.end() }

// LeaseAbsent records that a read at now found no lease object.
func (r *Round) LeaseAbsent(now time.Duration) { r.applyLeaseStep(r.lease.Absent(now)) }

// LeaseFound records the lease object found by a read at now.
func (r *Round) LeaseFound(now time.Duration, record LeaseRecord, version uint64) {
	r.applyLeaseStep(r.lease.Found(now, record, version))
}

// applyLeaseStep continues with the write of a lease step, or ends the round if there is
// none.
func (r *Round) applyLeaseStep(step LeaseStep) {
	if !step.Write {
		r.end()
		return
	}
	r.step = RoundStep{Call: RoundWriteLease, Lease: step.Record, Version: step.Version}
}

// LeaseWritten records that the write of the lease took effect; before is the time before
// the write was sent.
func (r *Round) LeaseWritten(before time.Duration, version uint64) {
	r.lease.Wrote(before, version)
	r.step = RoundStep{Call: RoundReadPlan}
}

// LeaseUnconfirmed records that the response to the write of the lease was lost; before
// is the time before the write was sent.
func (r *Round) LeaseUnconfirmed(before time.Duration) {
	r.lease.Unconfirmed(before)
	r.end()
}

// PlanRead records the current plan and the version of its object, both zero if there is
// none.
func (r *Round) PlanRead(plan Plan, version uint64) {
	r.current = plan
	r.version = version
	r.step = RoundStep{Call: RoundGather}
}

// Gathered proposes a plan from the input gathered by now. It sets Input.Current.
func (r *Round) Gathered(now time.Duration, in Input) {
	in.Current = r.current
	plan, decisions, changed := Propose(in)
	stale := in.Revision < r.current.Revision
	if stale || !r.lease.Holds(now) || (!changed && !r.lease.NeedsPlan()) {
		r.end()
		return
	}
	r.decisions = decisions
	r.step = RoundStep{Call: RoundWritePlan, Plan: plan, Version: r.version}
}

// PlanWritten records that the write of the plan took effect.
func (r *Round) PlanWritten() {
	r.lease.Planned()
	r.end()
}

// end ends the round.
func (r *Round) end() { r.step = RoundStep{} }
