package side

import (
	"time"

	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// applyActions executes the gate's actions in order. The mutex must be held.
func (d *dispatcher) applyActions(now time.Duration, actions []gate.Action) {
	for _, action := range actions {
		a, ok := d.attempts[action.Key]
		if !ok {
			// Tombstones, and marks of attempts that were cancelled before they arrived,
			// have no stored attempt.
			continue
		}
		switch action.Kind {
		case gate.ActionStart:
			d.start(a, action)
		case gate.ActionRefuse:
			d.refuse(now, a, action)
		case gate.ActionStop:
			d.stop(a, action)
		case gate.ActionDrop, gate.ActionForget:
			delete(d.attempts, action.Key)
		}
	}
}

// start sends an attempt to the upstream.
func (d *dispatcher) start(a *attempt, action gate.Action) {
	a.start(uint64(action.Waited.Microseconds()))
	d.log(event.AttemptStarted, mergeFields(attemptFields(a.key), observe.Fields{"waited_ms": action.Waited.Milliseconds()}))
	d.executions.Add(1)
	go d.execute(a)
}

// refuse ends a waiting attempt that will not run.
func (d *dispatcher) refuse(now time.Duration, a *attempt, action gate.Action) {
	delete(d.attempts, action.Key)
	a.finish(refusedEvent(a.key, &wirepb.Refused{
		Reason:       refusalReasons[action.Reason],
		RetryAfterMs: milliseconds(action.RetryAfter),
		Detail:       action.Detail,
		Load:         d.load(now),
	}))
	d.log(event.AttemptEvicted, mergeFields(attemptFields(a.key), observe.Fields{
		"reason":         string(action.Reason),
		"detail":         action.Detail,
		"retry_after_ms": action.RetryAfter.Milliseconds(),
	}))
}

// stop cancels a running attempt at the upstream. The attempt ends when execute
// returns.
func (d *dispatcher) stop(a *attempt, action gate.Action) {
	a.stop(string(action.Cause))
	d.log(event.AttemptStopped, mergeFields(attemptFields(a.key), observe.Fields{"cause": string(action.Cause)}))
}

// milliseconds returns d in milliseconds, rounded up so that a retry delay never ends
// early.
func milliseconds(d time.Duration) uint64 {
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}
