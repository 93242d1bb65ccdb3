package side

import (
	"time"

	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// carryOut does what the gate decided, in order. The caller holds the mutex.
func (k *keeper) carryOut(now time.Duration, actions []gate.Action) {
	for _, action := range actions {
		a, ok := k.attempts[action.Key]
		if !ok {
			// Tombstones and marks have no attempt.
			continue
		}
		switch action.Kind {
		case gate.ActionStart:
			k.start(a, action)
		case gate.ActionRefuse:
			k.refuse(now, a, action)
		case gate.ActionStop:
			k.stop(a, action)
		case gate.ActionDrop, gate.ActionForget:
			delete(k.attempts, action.Key)
		}
	}
}

// start hands an attempt to the upstream.
func (k *keeper) start(a *attempt, action gate.Action) {
	a.start(uint64(action.Waited.Microseconds()))
	k.log(event.AttemptStarted, with(attemptFields(a.key), observe.Fields{"waited_ms": action.Waited.Milliseconds()}))
	k.executions.Add(1)
	go k.execute(a)
}

// refuse ends a waiting attempt.
func (k *keeper) refuse(now time.Duration, a *attempt, action gate.Action) {
	delete(k.attempts, action.Key)
	a.finish(refusedEvent(a.key, &wirepb.Refused{
		Reason:       reasonMessages[action.Reason],
		RetryAfterMs: milliseconds(action.RetryAfter),
		Detail:       action.Detail,
		Load:         k.load(now),
	}))
	k.log(event.AttemptEvicted, with(attemptFields(a.key), observe.Fields{
		"reason":         string(action.Reason),
		"detail":         action.Detail,
		"retry_after_ms": action.RetryAfter.Milliseconds(),
	}))
}

// stop cancels a running attempt at the upstream. It ends when execute does.
func (k *keeper) stop(a *attempt, action gate.Action) {
	a.stop(string(action.Cause))
	k.log(event.AttemptStopped, with(attemptFields(a.key), observe.Fields{"cause": string(action.Cause)}))
}

// milliseconds rounds d up, so that a time to wait never ends early.
func milliseconds(d time.Duration) uint64 {
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}
