package gate

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
)

// Gate decides for one upstream. It isn't safe for concurrent use. The clock that
// its methods are given never goes back.
type Gate struct {
	options Options

	table    map[core.AttemptKey]*record
	queue    *queue
	running  []*record
	sequence uint64
	actions  []Action

	claims    claimHeap
	unclaimed []*record
	marks     []*record
	results   []*record
	drops     []drop
	keptBytes int
	keptCount int
	// horizon is the highest ticket clock of a forgotten claimed attempt, or -1.
	horizon time.Duration

	service window
	first   window
	gap     window

	machine  *chart.Machine
	fault    error
	upstream upstreamState
	drain    drainState
	fencing  uint64

	charges  map[Cause]Charge
	finished uint64
	failed   uint64
}

// nothingForgotten is the horizon of a gate that has forgotten no claimed attempt.
const nothingForgotten time.Duration = -1

// New returns a Gate that has seen nothing.
func New(options Options) *Gate {
	options = options.withDefaults()
	return &Gate{
		options:  options,
		table:    make(map[core.AttemptKey]*record),
		queue:    newQueue(options.StarvationTurns),
		horizon:  nothingForgotten,
		upstream: upstreamState{capacity: options.Capacity, trialWait: options.TrialMin},
		charges:  make(map[Cause]Charge),
		machine:  chart.MustLoad(upstreamChart).Start(string(options.Upstream)),
	}
}

// act adds an action for the runtime.
func (g *Gate) act(a Action) { g.actions = append(g.actions, a) }

// Advance does what is due at now and returns the actions since the last call, in
// order. The runtime calls it after every other method and at least every few
// tens of milliseconds while attempts wait or run.
func (g *Gate) Advance(now time.Duration) []Action {
	g.watchUpstream(now)
	g.endOverdue(now)
	g.endOrphans(now)
	g.refuseHopeless(now)
	g.refuseDrained(now)
	g.dispatch(now)
	g.forgetOld(now)
	g.updateState()
	actions := g.actions
	g.actions = nil
	return actions
}

// dispatch starts waiting attempts while the upstream has room.
func (g *Gate) dispatch(now time.Duration) {
	for len(g.running) < g.room(now) {
		r := g.next(now)
		if r == nil {
			return
		}
		g.start(now, r)
	}
}

// start moves an attempt from the queue to the upstream.
func (g *Gate) start(now time.Duration, r *record) {
	if len(g.running) == 0 {
		g.upstream.heldSince = now
	}
	r.phase = phaseRunning
	r.startedAt = now
	r.lastAt = now
	g.running = append(g.running, r)
	g.act(Action{Kind: ActionStart, Key: r.key, Waited: now - r.queuedAt})
}

// refuseQueued ends a waiting attempt. If it is claimed its record stays as a
// tombstone, as after every refusal.
func (g *Gate) refuseQueued(now time.Duration, r *record, d Decision) {
	if !g.queue.remove(r) {
		return
	}
	g.act(Action{Kind: ActionRefuse, Key: r.key, Reason: d.Reason, RetryAfter: d.RetryAfter, Detail: d.Detail})
	g.settle(now, r, phaseRefused, d.Reason, d.Detail)
}

// endOverdue stops running attempts whose deadline has passed. A claimed one gets
// some time more: stopping it can't undo its effect, and would only turn an
// outcome that may soon be known into an unknown one.
func (g *Gate) endOverdue(now time.Duration) {
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

// endOrphans ends idempotent attempts that nobody has followed for the grace. A
// claimed one that has started goes on: whoever resolves the claim wants its
// outcome.
func (g *Gate) endOrphans(now time.Duration) {
	for _, r := range g.running {
		if !r.claimed() && g.orphaned(now, r) {
			g.stop(r, CauseCallerGone)
		}
	}
	for _, r := range g.queue.all() {
		if g.orphaned(now, r) {
			g.refuseQueued(now, r, Decision{Reason: ReasonCancelled, Detail: "nobody follows the attempt"})
		}
	}
}

// orphaned tells whether r has had no reader for the grace.
func (g *Gate) orphaned(now time.Duration, r *record) bool {
	return r.readers == 0 && now-r.orphanSince >= g.options.Grace
}

// stop tells the runtime, once, to cancel a running attempt. The attempt ends
// when the runtime calls Finish.
func (g *Gate) stop(r *record, cause Cause) {
	if r.stopped != "" {
		return
	}
	r.stopped = cause
	g.act(Action{Kind: ActionStop, Key: r.key, Cause: cause})
}

// refuseHopeless refuses waiting attempts that can't be finished in time even if
// they started now. They have not run.
func (g *Gate) refuseHopeless(now time.Duration) {
	pace := g.pace(now)
	for _, r := range g.queue.all() {
		hopeless := now+pace.service(r.cost) > r.deadline && !g.options.FIFO
		if now < r.deadline && !hopeless {
			continue
		}
		g.refuseQueued(now, r, Decision{
			Reason:     ReasonDeadline,
			RetryAfter: g.wait(now, r.workspace, r.priority),
			Detail:     "the deadline became impossible in the queue",
		})
	}
}
