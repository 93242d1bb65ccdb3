package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/core"
)

// Limits of what a Table remembers.
const (
	// loadTTL is how long a remembered load is used to estimate occupancy.
	loadTTL = 10 * time.Second
	// unavailableTTL is how long an upstream that reported a drain or a stall is avoided
	// without a new probe.
	unavailableTTL = 2 * time.Second
	// maxRecentChoices bounds the remembered choices of one upstream.
	maxRecentChoices = 64
)

// Table holds what one entry has observed of the upstreams. It is not safe for concurrent
// use.
type Table struct {
	states map[core.UpstreamID]*upstreamState
	paths  map[string]pathRTT
}

// upstreamState is what a Table holds about one upstream.
type upstreamState struct {
	addr string
	// result is the last reply; Replied is unset before the first. Its load may be newer
	// than the rest, because other messages carry loads too.
	result ProbeResult
	// loadAt is when the load of result arrived.
	loadAt time.Time
	// uses counts the choices that relied on result.
	uses int
	// inFlight counts the attempts of this entry that have not ended.
	inFlight int
	// recentChoices holds the times of the last choices, oldest first.
	recentChoices []time.Time
	attempts      attemptStats
	suspicion     Suspicion
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		states: make(map[core.UpstreamID]*upstreamState),
		paths:  make(map[string]pathRTT),
	}
}

// Prune removes the upstreams that picker does not have and those whose address changed. A
// new address means another process on another host.
func (t *Table) Prune(picker *Picker) {
	for id, state := range t.states {
		upstream, ok := picker.Upstream(id)
		if !ok || (state.addr != "" && state.addr != upstream.Addr) {
			delete(t.states, id)
		}
	}
}

// RecordReply stores the reply to a probe. It reports whether the reply ended a suspicion.
func (t *Table) RecordReply(result ProbeResult, now time.Time) bool {
	state := t.stateOf(result.Upstream.ID)
	state.addr = result.Upstream.Addr
	state.result = result
	state.uses = 0
	t.setLoad(state, result.Load, now)
	t.observeRTT(result.Upstream.Zone, result.RTT)
	suspected := state.suspicion.Active
	state.suspicion = state.suspicion.afterReply(now)
	return suspected && !state.suspicion.Active
}

// RecordLoad stores a load that another message of a sidecar carried.
func (t *Table) RecordLoad(id core.UpstreamID, load Load, now time.Time) {
	t.setLoad(t.stateOf(id), load, now)
}

func (t *Table) setLoad(state *upstreamState, load Load, now time.Time) {
	state.result.Load = load
	state.loadAt = now
	state.attempts.observe(load, now)
}

// RecordChoice records the start of an attempt at an upstream.
func (t *Table) RecordChoice(id core.UpstreamID, now time.Time) {
	state := t.stateOf(id)
	state.inFlight++
	state.uses++
	if len(state.recentChoices) == maxRecentChoices {
		state.recentChoices = slices.Delete(state.recentChoices, 0, 1)
	}
	state.recentChoices = append(state.recentChoices, now)
}

// RecordEnd records the end of an attempt recorded with RecordChoice. Finished work
// clears the suspicion with its strikes.
func (t *Table) RecordEnd(id core.UpstreamID, finished bool) {
	state := t.stateOf(id)
	state.inFlight = max(0, state.inFlight-1)
	if finished {
		state.suspicion = Suspicion{}
	}
}

// RecordSilence records that an upstream did not reply or went silent. It returns the
// suspicion, and whether this silence added a strike. A silence before an active suspicion
// is due for a probe adds none: it is the same silence observed twice.
func (t *Table) RecordSilence(id core.UpstreamID, cause Cause, now time.Time, random *rand.Rand) (Suspicion, bool) {
	state := t.stateOf(id)
	if state.suspicion.Active && now.Before(state.suspicion.Until) {
		return state.suspicion, false
	}
	state.suspicion = state.suspicion.strike(cause, now, random)
	return state.suspicion, true
}

// Due returns at most n suspected upstreams that are due for a probe, the longest overdue
// first.
func (t *Table) Due(now time.Time, n int) []core.UpstreamID {
	var due []core.UpstreamID
	for id, state := range t.states {
		if state.suspicion.Active && !now.Before(state.suspicion.Until) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b core.UpstreamID) int {
		return cmp.Or(t.states[a].suspicion.Until.Compare(t.states[b].suspicion.Until), cmp.Compare(a, b))
	})
	return due[:min(n, len(due))]
}

// Suspected reports whether an upstream is suspected.
func (t *Table) Suspected(id core.UpstreamID) bool {
	state, ok := t.states[id]
	return ok && state.suspicion.Active
}

// SuspectedCount returns how many upstreams are suspected.
func (t *Table) SuspectedCount() int {
	count := 0
	for _, state := range t.states {
		if state.suspicion.Active {
			count++
		}
	}
	return count
}

// Remembered returns the last reply of an upstream if it is at most age old and fewer than
// uses choices have relied on it.
func (t *Table) Remembered(id core.UpstreamID, now time.Time, age time.Duration, uses int) (ProbeResult, bool) {
	state, ok := t.states[id]
	if !ok || !state.result.Replied || state.uses >= uses || now.Sub(state.result.SentAt) > age {
		return ProbeResult{}, false
	}
	remembered := state.result
	remembered.QueryWaitKnown = false // the probe was for another query
	return remembered, true
}

// InFlight returns how many attempts of this entry are in flight at an upstream.
func (t *Table) InFlight(id core.UpstreamID) int {
	if state, ok := t.states[id]; ok {
		return state.inFlight
	}
	return 0
}

// choicesSince counts the choices of an upstream at or after a time.
func (t *Table) choicesSince(id core.UpstreamID, at time.Time) int {
	state, ok := t.states[id]
	if !ok {
		return 0
	}
	count := 0
	for _, chosen := range state.recentChoices {
		if !chosen.Before(at) {
			count++
		}
	}
	return count
}

// unavailable reports whether an upstream recently reported that it is draining or stalled.
func (t *Table) unavailable(id core.UpstreamID, now time.Time) bool {
	state, ok := t.states[id]
	if !ok || now.Sub(state.loadAt) > unavailableTTL {
		return false
	}
	return state.result.Load.Draining || state.result.Load.Stalled
}

// pendingWork returns the number of attempts at an upstream, queued included, and its
// capacity, and reports whether a recent load is known.
func (t *Table) pendingWork(id core.UpstreamID, now time.Time) (pending, capacity int, ok bool) {
	state, found := t.states[id]
	if !found || state.loadAt.IsZero() || now.Sub(state.loadAt) > loadTTL {
		return 0, 0, false
	}
	load := state.result.Load
	return load.Queued + load.InFlight + t.choicesSince(id, state.loadAt), load.Capacity, true
}

// attemptsOf returns the attempt statistics of an upstream.
func (t *Table) attemptsOf(id core.UpstreamID) *attemptStats {
	if state, ok := t.states[id]; ok {
		return &state.attempts
	}
	return &attemptStats{}
}

// stateOf returns the state of an upstream and creates it if needed.
func (t *Table) stateOf(id core.UpstreamID) *upstreamState {
	state, ok := t.states[id]
	if !ok {
		state = &upstreamState{}
		t.states[id] = state
	}
	return state
}
