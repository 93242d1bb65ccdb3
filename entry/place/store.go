package place

import (
	"context"
	"encoding/json"

	"acaciawinch/core/fault"
	"acaciawinch/core/placement"
)

// call makes the call of one step of a round and passes the result to the round.
func (p *Proposer) call(ctx context.Context, round *placement.Round, step placement.RoundStep, facts Facts) {
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch step.Call {
	case placement.RoundReadLease:
		p.readLease(storeCtx, round)
	case placement.RoundWriteLease:
		p.writeLease(storeCtx, round, step)
	case placement.RoundReadPlan:
		p.readPlan(storeCtx, round)
	case placement.RoundGather:
		p.gather(ctx, round, facts)
	case placement.RoundWritePlan:
		p.writePlan(storeCtx, round, step)
	}
}

// readLease reads the lease object and passes it, or the failure, to the round.
func (p *Proposer) readLease(ctx context.Context, round *placement.Round) {
	object, err := p.options.Objects.Get(ctx, placement.LeaseKey)
	if fault.Is(err, fault.NotFound) {
		round.LeaseAbsent(p.now())
		return
	}
	var record placement.LeaseRecord
	if err != nil || json.Unmarshal(object.Value, &record) != nil {
		round.Unreadable()
		return
	}
	round.LeaseFound(p.now(), record, object.Version)
}

// writeLease takes or renews the lease.
func (p *Proposer) writeLease(ctx context.Context, round *placement.Round, step placement.RoundStep) {
	before := p.now()
	version, err := p.write(ctx, placement.LeaseKey, step.Lease, step.Version)
	switch fault.CodeOf(err) {
	case "":
		round.LeaseWritten(before, version)
		p.updateHolding("")
	case fault.Conflict, fault.NotFound, fault.Unavailable:
		round.NotWritten()
	default:
		round.LeaseUnconfirmed(before)
	}
}

// readPlan reads the plan in force, if there is one.
func (p *Proposer) readPlan(ctx context.Context, round *placement.Round) {
	object, err := p.options.Objects.Get(ctx, placement.PlanKey)
	if fault.Is(err, fault.NotFound) {
		round.PlanRead(placement.Plan{}, 0)
		return
	}
	var plan placement.Plan
	if err != nil || json.Unmarshal(object.Value, &plan) != nil {
		round.Unreadable()
		return
	}
	round.PlanRead(plan, object.Version)
}

// writePlan writes a plan, which puts it in force. If the response is lost, nothing needs
// to be done: the next round reads which plan is in force.
func (p *Proposer) writePlan(ctx context.Context, round *placement.Round, step placement.RoundStep) {
	version, err := p.write(ctx, placement.PlanKey, step.Plan, step.Version)
	if err != nil {
		p.logNotWritten(step.Plan, err)
		round.NotWritten()
		return
	}
	p.logWritten(step.Plan, version, round.Decisions())
	round.PlanWritten()
}

// write creates the object if version is zero, otherwise it updates that version.
func (p *Proposer) write(ctx context.Context, key string, value any, version uint64) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, "place.encode", "", err)
	}
	if version == 0 {
		return p.options.Objects.Create(ctx, key, encoded)
	}
	return p.options.Objects.Update(ctx, key, encoded, version)
}

// release releases the lease, so that another entry need not wait until it expires.
func (p *Proposer) release(ctx context.Context) {
	step := p.lease.Release()
	if !step.Write {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	// If this fails, the next holder only has to wait for LeaseMS.
	_, _ = p.write(ctx, placement.LeaseKey, step.Record, step.Version)
	p.updateHolding("the process is shutting down")
}
