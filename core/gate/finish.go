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
	// EndFailed: the output is incomplete; the upstream may have done the work.
	EndFailed
	// EndNotRun: the upstream certainly did not begin the work.
	EndNotRun
)

// Ending describes the end of an attempt, as reported by the runtime.
type Ending struct {
	Kind EndKind
	// Cost is the work done in the upstream's units.
	Cost uint64
	// Bytes is the size of the output that the runtime keeps.
	Bytes int
	// Reason and Detail explain an end without output.
	Reason Reason
	Detail string
}

// Progress records that the upstream produced a chunk of an attempt's output.
func (g *Gate) Progress(now time.Duration, key core.AttemptKey) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseRunning {
		return
	}
	if r.chunks == 0 {
		g.firstChunkTimes.add(now, now-r.startedAt)
	} else {
		g.chunkGaps.add(now, now-r.lastProgressAt)
	}
	r.chunks++
	r.lastProgressAt = now
	g.recordProgress(now)
}

// Finish records the end of a running attempt. A second call has no effect.
func (g *Gate) Finish(now time.Duration, key core.AttemptKey, ending Ending) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseRunning {
		return
	}
	g.running = slices.DeleteFunc(g.running, func(other *record) bool { return other == r })
	g.finished++
	r.passCost = ending.Cost
	switch ending.Kind {
	case EndDone:
		g.finishDone(now, r, ending)
	case EndNotRun:
		g.failed++
		g.settle(now, r, phaseRefused, ending.Reason, ending.Detail)
	default:
		g.finishFailed(now, r, ending)
	}
}

// finishDone settles an attempt with a complete output.
func (g *Gate) finishDone(now time.Duration, r *record, ending Ending) {
	g.serviceTimes.add(now, now-r.startedAt)
	if r.chunks == 0 {
		g.firstChunkTimes.add(now, now-r.startedAt)
	}
	g.recordProgress(now)
	g.settle(now, r, phaseDone, "", "")
	g.recordKeptOutput(r, ending.Bytes)
	if r.stopCause != "" {
		g.charge(r, r.stopCause)
	}
}

// finishFailed settles an attempt without a result. If the attempt was stopped by the
// gate, its failure says nothing about the upstream's health and is not counted.
func (g *Gate) finishFailed(now time.Duration, r *record, ending Ending) {
	g.settle(now, r, phaseFailed, ending.Reason, ending.Detail)
	g.recordKeptOutput(r, ending.Bytes)
	if r.stopCause != "" {
		g.charge(r, r.stopCause)
		return
	}
	g.failed++
	g.charge(r, CauseFailed)
}

// Cancel ends an attempt: a waiting one is refused, a running one is stopped, and an
// unknown one is never started. It reports whether the attempt may have been passed
// to the upstream. For a claimed attempt, false proves that it was not run and will
// not be. For an idempotent attempt that was already forgotten, false only means that
// it is not run from now on.
func (g *Gate) Cancel(now time.Duration, key core.AttemptKey, cause Cause) bool {
	if key.Side != g.options.Incarnation {
		return true
	}
	r, ok := g.table[key]
	if !ok {
		g.addKeyOnlyTombstone(now, key, "cancelled before it arrived")
		return g.horizon != noHorizon
	}
	switch r.phase {
	case phaseQueued:
		g.refuseQueued(now, r, Decision{Reason: ReasonCancelled, Detail: "cancelled in the queue"})
		return false
	case phaseRunning:
		g.stop(r, cause)
	case phaseDone:
		g.charge(r, cause)
		g.dropIdempotentOutput(r)
	case phaseRefused:
		// A key-only tombstone may have replaced the record of a forgotten claimed attempt.
		return r.keyOnly && g.horizon != noHorizon
	}
	return true
}

// dropIdempotentOutput drops the output of a settled idempotent attempt. The output
// of a claimed attempt is kept for a caller that resolves the claim.
func (g *Gate) dropIdempotentOutput(r *record) {
	if !r.claimed() {
		g.dropOutput(r)
	}
}

// Acknowledge records that the caller has the complete result. The output of a
// claimed attempt is kept for Options.KeepResult more, because its caller may crash
// before it has recorded the result.
func (g *Gate) Acknowledge(now time.Duration, key core.AttemptKey) {
	r, ok := g.table[key]
	if !ok || r.phase != phaseDone {
		return
	}
	g.charge(r, CauseUseful)
	if r.claimed() {
		g.pendingDrops = append(g.pendingDrops, pendingDrop{at: now + g.options.KeepResult, r: r})
		return
	}
	g.dropOutput(r)
}
