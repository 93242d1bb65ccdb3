package side

import (
	"maps"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// The names of calls in log lines.
const (
	callRun    = "run"
	callAttach = "attach"
)

// attemptFields name an attempt in a log line.
func attemptFields(key core.AttemptKey) observe.Fields {
	return observe.Fields{
		"request": string(key.Request),
		"stage":   key.Stage,
		"attempt": key.Number,
	}
}

// with adds more to fields.
func with(fields, more observe.Fields) observe.Fields {
	maps.Copy(fields, more)
	return fields
}

// logDecision logs the gate's decision about a Run. The caller holds the mutex.
func (k *keeper) logDecision(request *wirepb.RunRequest, ask gate.Ask, d gate.Decision) {
	fields := with(attemptFields(ask.Key), observe.Fields{
		"workspace":    ask.Workspace,
		"queued":       d.Queued,
		"running":      d.Running,
		"wait_ms":      d.Wait.Milliseconds(),
		"service_ms":   d.Service.Milliseconds(),
		"remaining_ms": ask.Remaining.Milliseconds(),
	})
	if d.Verdict != gate.Admitted {
		k.logFollow(ask.Key, callRun, d, fields)
		return
	}
	k.log(event.AttemptAdmitted, with(fields, observe.Fields{
		"claimed":  ask.Ticket != nil,
		"hedge":    request.GetHedge(),
		"priority": ask.Priority,
	}))
}

// logFollow logs a decision that runs nothing. The caller holds the mutex.
func (k *keeper) logFollow(key core.AttemptKey, call string, d gate.Decision, fields observe.Fields) {
	fields["call"] = call
	switch d.Verdict {
	case gate.Attached:
		k.log(event.AttemptAttached, with(attemptFields(key), observe.Fields{"call": call}))
	case gate.Refused:
		k.log(event.AttemptRefused, with(fields, observe.Fields{
			"reason":         string(d.Reason),
			"detail":         d.Detail,
			"retry_after_ms": d.RetryAfter.Milliseconds(),
		}))
	case gate.Gone:
		k.warn(event.AttemptGone, with(attemptFields(key), observe.Fields{
			"call":   call,
			"reason": string(d.Reason),
			"detail": d.Detail,
		}))
	}
}

// logResolve logs the answer to a Resolve. The caller holds the mutex.
func (k *keeper) logResolve(key core.AttemptKey, claim string, state wirepb.ResolveState, detail string) {
	k.log(event.AttemptResolved, with(attemptFields(key), observe.Fields{
		"claim":  claim,
		"state":  state.String(),
		"detail": detail,
	}))
}

// load returns the present load. The caller holds the mutex.
func (k *keeper) load(now time.Duration) *wirepb.Load { return loadMessage(k.gate.Load(now)) }
