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

// Names of calls in log lines.
const (
	callRun    = "run"
	callAttach = "attach"
)

// attemptFields returns the log fields that identify an attempt.
func attemptFields(key core.AttemptKey) observe.Fields {
	return observe.Fields{
		"request": string(key.Request),
		"stage":   key.Stage,
		"attempt": key.Number,
	}
}

// mergeFields adds more to fields in place and returns fields.
func mergeFields(fields, more observe.Fields) observe.Fields {
	maps.Copy(fields, more)
	return fields
}

// logDecision logs the gate's decision about a Run call. The mutex must be held.
func (d *dispatcher) logDecision(request *wirepb.RunRequest, submission gate.Attempt, decision gate.Decision) {
	fields := mergeFields(attemptFields(submission.Key), observe.Fields{
		"workspace":    submission.Workspace,
		"queued":       decision.Queued,
		"running":      decision.Running,
		"wait_ms":      decision.Wait.Milliseconds(),
		"service_ms":   decision.Service.Milliseconds(),
		"remaining_ms": submission.Remaining.Milliseconds(),
	})
	if decision.Verdict != gate.Admitted {
		d.logNotAdmitted(submission.Key, callRun, decision, fields)
		return
	}
	d.log(event.AttemptAdmitted, mergeFields(fields, observe.Fields{
		"claimed":  submission.Ticket != nil,
		"hedge":    request.GetHedge(),
		"priority": submission.Priority,
	}))
}

// logNotAdmitted logs a decision that starts no new attempt. The mutex must be held.
func (d *dispatcher) logNotAdmitted(key core.AttemptKey, call string, decision gate.Decision, fields observe.Fields) {
	fields["call"] = call
	switch decision.Verdict {
	case gate.Attached:
		d.log(event.AttemptAttached, mergeFields(attemptFields(key), observe.Fields{"call": call}))
	case gate.Refused:
		d.log(event.AttemptRefused, mergeFields(fields, observe.Fields{
			"reason":         string(decision.Reason),
			"detail":         decision.Detail,
			"retry_after_ms": decision.RetryAfter.Milliseconds(),
		}))
	case gate.Gone:
		d.warn(event.AttemptGone, mergeFields(attemptFields(key), observe.Fields{
			"call":   call,
			"reason": string(decision.Reason),
			"detail": decision.Detail,
		}))
	}
}

// logResolve logs the reply to a Resolve call. The mutex must be held.
func (d *dispatcher) logResolve(key core.AttemptKey, claim string, state wirepb.ResolveState, detail string) {
	d.log(event.AttemptResolved, mergeFields(attemptFields(key), observe.Fields{
		"claim":  claim,
		"state":  state.String(),
		"detail": detail,
	}))
}

// load returns the current load. The mutex must be held.
func (d *dispatcher) load(now time.Duration) *wirepb.Load { return loadMessage(d.gate.Load(now)) }
