package gate

import (
	"slices"
	"time"

	"acaciawinch/core"
)

// EndKind is how an attempt at the upstream ended.
type EndKind int

// The ways in which an attempt ends.
const (
	// EndDone: the output is complete.
	EndDone EndKind = iota + 1
	// EndFailed: no complete output; the upstream may have done the work.
	EndFailed
	// EndNotRun: the upstream certainly did not begin the work.
	EndNotRun
)

// Ending is what the runtime reports of an attempt that has ended.
type Ending struct {
	Kind EndKind
	// Cost is the work spent in the upstream's units.
	Cost uint64
	// Bytes is the size of the output that the runtime keeps.
	Bytes int
	// Reason and Detail explain an end without output.
	Reason Reason
	Detail string
}

// Progress notes that the upstream produced a chunk of an attempt's output.
func (g *Gate) Progress(now time.Duration, key core.AttemptKey) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseRunning {
		return
	}
	if r.chunks == 0 {
		g.first.add(now, now-r.startedAt)
	} else {
		g.gap.add(now, now-r.lastAt)
	}
	r.chunks++
	r.lastAt = now
	g.progressed(now)
}

// Finish notes the end of a running attempt. A second call has no effect.
func (g *Gate) Finish(now time.Duration, key core.AttemptKey, end Ending) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseRunning {
		return
	}
	g.running = slices.DeleteFunc(g.running, func(other *record) bool { return other == r })
	g.finished++
	r.spent = end.Cost
	switch end.Kind {
	case EndDone:
		g.finishDone(now, r, end)
	case EndNotRun:
		g.failed++
		g.settle(now, r, phaseRefused, end.Reason, end.Detail)
	default:
		g.finishFailed(now, r, end)
	}
}

// finishDone settles an attempt with a whole output.
func (g *Gate) finishDone(now time.Duration, r *record, end Ending) {
	g.service.add(now, now-r.startedAt)
	if r.chunks == 0 {
		g.first.add(now, now-r.startedAt)
	}
	g.progressed(now)
	g.settle(now, r, phaseDone, "", "")
	g.keep(r, end.Bytes)
	if r.stopped != "" {
		g.charge(r, r.stopped)
	}
}

// finishFailed settles an attempt without a result. An attempt that was told to
// stop says nothing about the upstream's health.
func (g *Gate) finishFailed(now time.Duration, r *record, end Ending) {
	g.settle(now, r, phaseFailed, end.Reason, end.Detail)
	g.keep(r, end.Bytes)
	if r.stopped != "" {
		g.charge(r, r.stopped)
		return
	}
	g.failed++
	g.charge(r, CauseFailed)
}

// Cancel ends an attempt: one that waits is refused, one that runs is stopped, one
// that is unknown is never started. It tells whether the attempt may have been
// handed to the upstream. The answer false proves that a claimed attempt was not
// run and will not be; of an idempotent one that has aged out it only tells that
// it is not run from now on.
func (g *Gate) Cancel(now time.Duration, key core.AttemptKey, cause Cause) bool {
	if key.Side != g.options.Incarnation {
		return true
	}
	r, ok := g.table[key]
	if !ok {
		g.mark(now, key, "cancelled before it came")
		return g.horizon != nothingForgotten
	}
	switch r.phase {
	case phaseQueued:
		g.refuseQueued(now, r, Decision{Reason: ReasonCancelled, Detail: "cancelled in the queue"})
		return false
	case phaseRunning:
		g.stop(r, cause)
	case phaseDone:
		g.charge(r, cause)
		g.dropIdempotent(r)
	case phaseRefused:
		// A mark may stand where a claimed attempt was forgotten.
		return r.mark && g.horizon != nothingForgotten
	}
	return true
}

// dropIdempotent drops the output of a settled idempotent attempt. The output of
// a claimed one is kept, for whoever resolves the claim.
func (g *Gate) dropIdempotent(r *record) {
	if !r.claimed() {
		g.dropOutput(r)
	}
}

// Acknowledge notes that the caller has the whole result. The output of a claimed
// attempt is kept a little longer: its caller may die before it has recorded the
// result.
func (g *Gate) Acknowledge(now time.Duration, key core.AttemptKey) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseDone {
		return
	}
	g.charge(r, CauseUseful)
	if r.claimed() {
		g.drops = append(g.drops, drop{at: now + g.options.KeepResult, r: r})
		return
	}
	g.dropOutput(r)
}
