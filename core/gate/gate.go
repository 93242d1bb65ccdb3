package gate

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
)

// Gate schedules the attempts for one upstream. It isn't safe for concurrent use. The
// clock that is passed to its methods must never go back.
type Gate struct {
	options Options

	table    map[core.AttemptKey]*record
	queue    *queue
	running  []*record
	sequence uint64
	actions  []Action

	settledClaimed    claimHeap
	settledUnclaimed  []*record
	keyOnlyTombstones []*record
	keptOutputs       []*record
	pendingDrops      []pendingDrop
	keptBytes         int
	keptCount         int
	// horizon is the highest ticket clock of a forgotten claimed attempt, or noHorizon (-1).
	horizon time.Duration

	serviceTimes    window
	firstChunkTimes window
	chunkGaps       window

	stateMachine *chart.Machine
	// fault is the error of the first event that the state chart did not allow.
	fault    error
	upstream upstreamState
	drain    drainState
	// fencing is the highest fencing token seen.
	fencing uint64

	charges  map[Cause]Charge
	finished uint64
	failed   uint64
}

// noHorizon is the horizon of a gate that has not forgotten any claimed attempt.
const noHorizon time.Duration = -1

// New returns a Gate without attempts.
func New(options Options) *Gate {
	options = options.withDefaults()
	return &Gate{
		options:      options,
		table:        make(map[core.AttemptKey]*record),
		queue:        newQueue(options.StarvationTurns),
		horizon:      noHorizon,
		upstream:     upstreamState{capacity: options.Capacity, trialDelay: options.TrialMin},
		charges:      make(map[Cause]Charge),
		stateMachine: chart.MustLoad(upstreamChart).Start(string(options.Upstream)),
	}
}

// emit appends an action for the runtime.
func (g *Gate) emit(a Action) { g.actions = append(g.actions, a) }

// Advance does the work that is due at now and returns the actions since the last
// call, in order. The runtime calls it after every other method, and at least every
// few tens of milliseconds while attempts wait or run.
func (g *Gate) Advance(now time.Duration) []Action {
	g.detectHang(now)
	g.stopOverdue(now)
	g.endOrphaned(now)
	g.refuseInfeasible(now)
	g.refuseAfterDrainWindow(now)
	g.dispatch(now)
	g.forgetExpired(now)
	g.updateState()
	actions := g.actions
	g.actions = nil
	return actions
}

// dispatch starts waiting attempts while the upstream has a free slot.
func (g *Gate) dispatch(now time.Duration) {
	for len(g.running) < g.concurrencyLimit(now) {
		r := g.popNext(now)
		if r == nil {
			return
		}
		g.start(now, r)
	}
}

// start passes an attempt that was taken from the queue to the upstream.
func (g *Gate) start(now time.Duration, r *record) {
	if len(g.running) == 0 {
		g.upstream.busySince = now
	}
	r.phase = phaseRunning
	r.startedAt = now
	r.lastProgressAt = now
	g.running = append(g.running, r)
	g.emit(Action{Kind: ActionStart, Key: r.key, Waited: now - r.queuedAt})
}

// refuseQueued refuses a waiting attempt. The record of a claimed attempt stays as a
// tombstone, as after every refusal.
func (g *Gate) refuseQueued(now time.Duration, r *record, d Decision) {
	if !g.queue.remove(r) {
		return
	}
	g.emit(Action{Kind: ActionRefuse, Key: r.key, Reason: d.Reason, RetryAfter: d.RetryAfter, Detail: d.Detail})
	g.settle(now, r, phaseRefused, d.Reason, d.Detail)
}

// stopOverdue stops running attempts whose deadline has passed. A claimed attempt gets
// Options.ClaimedOverrun more: stopping it can't undo its effect, and would only make
// an outcome unknown that may soon be known.
func (g *Gate) stopOverdue(now time.Duration) {
	for _, r := range g.running {
		limit := r.deadline
		if r.claimed() {
			limit += g.options.ClaimedOverrun
		}
		if now >= limit {
			g.stop(r, CauseDeadline)
		}
	}
}

// endOrphaned ends idempotent attempts that have had no reader for the grace period.
// A claimed attempt that has started continues, because a caller that resolves the
// claim needs its outcome.
func (g *Gate) endOrphaned(now time.Duration) {
	for _, r := range g.running {
		if !r.claimed() && g.orphaned(now, r) {
			g.stop(r, CauseCallerGone)
		}
	}
	for _, r := range g.queue.all() {
		if g.orphaned(now, r) {
			g.refuseQueued(now, r, Decision{Reason: ReasonCancelled, Detail: "no reader follows the attempt"})
		}
	}
}

// orphaned reports whether r has had no reader for the grace period.
func (g *Gate) orphaned(now time.Duration, r *record) bool {
	return r.readers == 0 && now-r.unwatchedSince >= g.options.Grace
}

// stop tells the runtime, at most once, to cancel a running attempt. The attempt ends
// when the runtime calls Finish.
func (g *Gate) stop(r *record, cause Cause) {
	if r.stopCause != "" {
		return
	}
	r.stopCause = cause
	g.emit(Action{Kind: ActionStop, Key: r.key, Cause: cause})
}

// refuseInfeasible refuses waiting attempts that could not finish by their deadline
// even if they started now. They have not run.
func (g *Gate) refuseInfeasible(now time.Duration) {
	estimate := g.estimateLatency(now)
	for _, r := range g.queue.all() {
		infeasible := now+estimate.serviceTime(r.cost) > r.deadline && !g.options.FIFO
		if now < r.deadline && !infeasible {
			continue
		}
		g.refuseQueued(now, r, Decision{
			Reason:     ReasonDeadline,
			RetryAfter: g.expectedWait(now, r.workspace, r.priority),
			Detail:     "the deadline can no longer be met",
		})
	}
}
