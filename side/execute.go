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

// errOutputTooLarge ends an attempt whose output passes its bound.
var errOutputTooLarge = errors.New("the output is too large")

// execute carries an attempt out at the upstream and reports its end to the gate.
func (k *keeper) execute(a *attempt) {
	defer k.executions.Done()
	began := k.options.clock()
	call := a.takeCall()
	result, err := k.options.client.Run(a.ctx, call, func(chunk []byte) error {
		if a.add(chunk) > k.options.maxOutputBytes {
			return errOutputTooLarge
		}
		k.progress(a)
		return nil
	})
	stopped := a.ctx.Err() != nil
	k.do(func(now time.Duration) {
		if err == nil {
			k.prefixes.Use(call.Prefix)
		}
		k.ended(now, a, outcome{result: result, err: err, stopped: stopped, ran: now - began})
	})
	a.cancel(nil)
	if fault.Is(err, fault.Unavailable) && !stopped {
		signal(k.poll)
	}
}

// progress tells the gate of a chunk. It doesn't advance the gate, since nothing
// becomes due by progress, and chunks are many.
func (k *keeper) progress(a *attempt) {
	k.read(func(now time.Duration) { k.gate.Progress(now, a.key) })
}

// outcome is how a call of the upstream ended.
type outcome struct {
	result upstream.Result
	err    error
	// stopped tells that the side itself cancelled the call.
	stopped bool
	ran     time.Duration
}

// ended settles an attempt. The caller holds the mutex.
func (k *keeper) ended(now time.Duration, a *attempt, o outcome) {
	end := k.ending(a, o)
	k.gate.Finish(now, a.key, end)
	if end.Kind == gate.EndNotRun {
		// The gate keeps a tombstone and refuses the attempt by itself.
		delete(k.attempts, a.key)
	}
	if fault.Is(o.err, fault.Unavailable) && !o.stopped {
		k.gate.ObserveSilence(now)
	}
	a.finish(k.closing(now, a, o))
	chunks, _ := a.size()
	k.log(event.AttemptEnded, with(attemptFields(a.key), observe.Fields{
		"result": endNames[end.Kind],
		"detail": end.Detail,
		"cost":   end.Cost,
		"chunks": chunks,
		"ran_ms": o.ran.Milliseconds(),
	}))
}

// endNames are the names of the ends in log lines.
var endNames = map[gate.EndKind]string{
	gate.EndDone:   "done",
	gate.EndFailed: "failed",
	gate.EndNotRun: "not_run",
}

// ending classifies the end of a call. Only a refusal by the upstream, or a
// connection that was never made, proves that it did not run.
func (k *keeper) ending(a *attempt, o outcome) gate.Ending {
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

// closing returns the closing event for the attempt's readers.
func (k *keeper) closing(now time.Duration, a *attempt, o outcome) *wirepb.RunEvent {
	load := k.load(now)
	switch {
	case o.err == nil:
		return a.done(o.result.Cost, load)
	case fault.Is(o.err, fault.Refused):
		return refusedEvent(a.key, &wirepb.Refused{
			Reason: reasonMessages[gate.ReasonUpstream],
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
