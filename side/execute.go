package side

import (
	"errors"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/wirepb"
)

// errOutputTooLarge ends an attempt whose output exceeds maxOutputBytes.
var errOutputTooLarge = errors.New("the output exceeds the size limit")

// execute runs an attempt at the upstream and reports its end to the gate.
func (d *dispatcher) execute(a *attempt) {
	defer d.executions.Done()
	started := d.options.clock()
	call := a.takeCall()
	result, err := d.options.client.Run(a.ctx, call, func(chunk []byte) error {
		if a.appendChunk(chunk) > d.options.maxOutputBytes {
			return errOutputTooLarge
		}
		d.progress(a)
		return nil
	})
	stopped := a.ctx.Err() != nil
	d.do(func(now time.Duration) {
		if err == nil {
			d.prefixes.Use(call.Prefix)
		}
		d.settle(now, a, outcome{result: result, err: err, stopped: stopped, ran: now - started})
	})
	a.cancel(nil)
	if fault.Is(err, fault.Unavailable) && !stopped {
		signal(d.pollNow)
	}
}

// progress reports a chunk to the gate. It doesn't advance the gate, since a chunk makes
// no action due and chunks are frequent.
func (d *dispatcher) progress(a *attempt) {
	d.read(func(now time.Duration) { d.gate.Progress(now, a.key) })
}

// outcome describes how a call of the upstream ended.
type outcome struct {
	result upstream.Result
	err    error
	// stopped is set if the sidecar itself cancelled the call.
	stopped bool
	// ran is the duration of the call.
	ran time.Duration
}

// settle records the end of an attempt. The mutex must be held.
func (d *dispatcher) settle(now time.Duration, a *attempt, o outcome) {
	end := d.endingOf(a, o)
	d.gate.Finish(now, a.key, end)
	if end.Kind == gate.EndNotRun {
		// The gate keeps a tombstone and refuses later copies of the attempt.
		delete(d.attempts, a.key)
	}
	if fault.Is(o.err, fault.Unavailable) && !o.stopped {
		d.gate.ObserveSilence(now)
	}
	a.finish(d.closingEvent(now, a, o))
	chunks, _ := a.size()
	d.log(event.AttemptEnded, mergeFields(attemptFields(a.key), observe.Fields{
		"result": endNames[end.Kind],
		"detail": end.Detail,
		"cost":   end.Cost,
		"chunks": chunks,
		"ran_ms": o.ran.Milliseconds(),
	}))
}

// endNames are the results of attempts in log lines.
var endNames = map[gate.EndKind]string{
	gate.EndDone:   "done",
	gate.EndFailed: "failed",
	gate.EndNotRun: "not_run",
}

// endingOf classifies the end of a call. Only a rejection by the upstream, or a
// connection that was never established, proves that the call did not run.
func (d *dispatcher) endingOf(a *attempt, o outcome) gate.Ending {
	chunks, bytes := a.size()
	end := gate.Ending{Bytes: bytes}
	switch {
	case o.err == nil:
		end.Kind = gate.EndDone
		end.Cost = o.result.Cost
		return end
	case fault.Is(o.err, fault.Refused):
		end.Kind = gate.EndNotRun
		end.Reason = gate.ReasonUpstream
	case fault.Is(o.err, fault.Unavailable):
		end.Kind = gate.EndNotRun
		end.Reason = gate.ReasonStalled
	default:
		end.Kind = gate.EndFailed
		end.Cost = uint64(max(1, chunks))
	}
	end.Detail = o.err.Error()
	return end
}

// closingEvent returns the last event for the attempt's subscribers.
func (d *dispatcher) closingEvent(now time.Duration, a *attempt, o outcome) *wirepb.RunEvent {
	load := d.load(now)
	switch {
	case o.err == nil:
		return a.doneEvent(o.result.Cost, load)
	case fault.Is(o.err, fault.Refused):
		return refusedEvent(a.key, &wirepb.Refused{
			Reason: refusalReasons[gate.ReasonUpstream],
			Detail: o.err.Error(),
			Load:   load,
		})
	}
	detail := o.err.Error()
	if o.stopped {
		detail = "stopped: " + a.stopCause()
	}
	return failedEvent(a.key, &wirepb.Failed{
		Detail:     detail,
		MayHaveRun: !fault.Is(o.err, fault.Unavailable),
		Load:       load,
	})
}
