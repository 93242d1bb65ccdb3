package side

import (
	"context"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// server implements the drpc Side service.
type server struct {
	dispatcher    *dispatcher
	incarnation   core.Incarnation
	maxInputBytes int
	// revision returns the latest configuration revision that the sidecar has.
	revision func() core.Revision
	// noteRevision receives the revision that each message carries.
	noteRevision func(core.Revision)
}

// Probe implements wirepb.DRPCSideServer.
func (s *server) Probe(_ context.Context, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	s.noteRevision(core.Revision(request.GetRevision()))
	reply := &wirepb.ProbeReply{
		Incarnation: uint64(s.incarnation),
		Revision:    uint64(s.revision()),
	}
	s.dispatcher.read(func(now time.Duration) {
		reply.SideClockUs = uint64(now.Microseconds())
		reply.Load = s.dispatcher.load(now)
		reply.PrefixCached = s.dispatcher.prefixes.Has(request.GetPrefixHash())
		reply.WaitUs = uint64(s.dispatcher.gate.Wait(now, request.GetWorkspace(), int(request.GetPriority())).Microseconds())
	})
	return reply, nil
}

// Run implements wirepb.DRPCSideServer.
func (s *server) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	s.noteRevision(core.Revision(request.GetRevision()))
	key := attemptKeyOf(request.GetKey())
	if detail := s.validateRun(request); detail != "" {
		return stream.Send(refusedEvent(key, &wirepb.Refused{
			Reason: wirepb.RefusalReason_REFUSAL_INVALID,
			Detail: detail,
		}))
	}
	a, closingEvent := s.dispatcher.submit(request)
	if closingEvent != nil {
		return stream.Send(closingEvent)
	}
	return s.dispatcher.deliver(stream.Context(), &subscriber{attempt: a, send: stream.Send})
}

// validateRun returns why a Run message is invalid, or "". Invalid messages leave no
// state behind, because the same message is rejected again when it is resent.
func (s *server) validateRun(request *wirepb.RunRequest) string {
	size := len(request.GetInput())
	for _, chunk := range request.GetResume() {
		size += len(chunk)
	}
	switch {
	case request.GetKey().GetRequestId() == "" || request.GetKey().GetStage() == "":
		return "the attempt key lacks the request id or the stage"
	case size > s.maxInputBytes:
		return "the input exceeds the size limit"
	}
	return ""
}

// submit passes an attempt to the gate. It returns the attempt to follow, or the
// event that ends the call.
func (d *dispatcher) submit(request *wirepb.RunRequest) (a *attempt, closingEvent *wirepb.RunEvent) {
	submission := submissionOf(request, d.options.engine)
	d.do(func(now time.Duration) {
		decision := d.gate.Submit(now, submission)
		d.logDecision(request, submission, decision)
		if decision.Verdict == gate.Admitted {
			d.attempts[submission.Key] = newAttempt(submission.Key, callOf(submission.Key, request), request.GetClaim())
		}
		a, closingEvent = d.subscribe(now, submission.Key, decision)
	})
	return a, closingEvent
}

// subscribe registers the caller as a subscriber of the attempt if the decision
// allows it; otherwise it returns the event that ends the call. The mutex must be
// held.
func (d *dispatcher) subscribe(now time.Duration, key core.AttemptKey, decision gate.Decision) (*attempt, *wirepb.RunEvent) {
	switch decision.Verdict {
	case gate.Admitted, gate.Attached:
		d.gate.Watch(key)
		d.subscribers++
		return d.attempts[key], nil
	case gate.Refused:
		return nil, refusedEvent(key, &wirepb.Refused{
			Reason:       refusalReasons[decision.Reason],
			RetryAfterMs: milliseconds(decision.RetryAfter),
			Load:         d.load(now),
			Detail:       decision.Detail,
		})
	}
	return nil, failedEvent(key, &wirepb.Failed{Detail: decision.Detail, MayHaveRun: true, Load: d.load(now)})
}

// deliver sends the attempt's events to the subscriber. When the stream
// ends, deliver tells the gate whether the closing event was sent.
func (d *dispatcher) deliver(ctx context.Context, s *subscriber) error {
	err := s.follow(ctx)
	d.do(func(now time.Duration) {
		d.gate.Unwatch(now, s.attempt.key, err == nil)
		d.subscribers--
	})
	return err
}

// Attach implements wirepb.DRPCSideServer.
func (s *server) Attach(request *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
	d := s.dispatcher
	key := attemptKeyOf(request.GetKey())
	var a *attempt
	var closingEvent *wirepb.RunEvent
	d.do(func(now time.Duration) {
		decision := d.gate.Attach(now, key)
		d.logNotAdmitted(key, callAttach, decision, attemptFields(key))
		a, closingEvent = d.subscribe(now, key, decision)
	})
	if closingEvent != nil {
		return stream.Send(closingEvent)
	}
	return d.deliver(stream.Context(), &subscriber{attempt: a, send: stream.Send, next: request.GetFromChunk()})
}

// Cancel implements wirepb.DRPCSideServer.
func (s *server) Cancel(_ context.Context, request *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	d := s.dispatcher
	reply := &wirepb.CancelReply{}
	d.do(func(now time.Duration) {
		reply.Started = d.gate.Cancel(now, attemptKeyOf(request.GetKey()), cancelCauses[request.GetReason()])
	})
	return reply, nil
}

// Acknowledge implements wirepb.DRPCSideServer.
func (s *server) Acknowledge(_ context.Context, request *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	s.dispatcher.acknowledge(attemptKeyOf(request.GetKey()))
	return &wirepb.AcknowledgeReply{}, nil
}

// Resolve implements wirepb.DRPCSideServer.
func (s *server) Resolve(_ context.Context, request *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	d := s.dispatcher
	key := attemptKeyOf(request.GetKey())
	reply := &wirepb.ResolveReply{Incarnation: uint64(s.incarnation)}
	ticket := ticketOf(request.GetClaim())
	if ticket == nil {
		reply.State = wirepb.ResolveState_RESOLVE_GONE
		reply.Detail = "the request carries no claim"
		return reply, nil
	}
	d.do(func(now time.Duration) {
		state, detail := d.gate.Resolve(now, key, *ticket)
		reply.State = resolveStates[state]
		reply.Detail = detail
		if state == gate.StateDone {
			reply.Chunks, reply.Digest = d.attempts[key].output()
		}
		d.logResolve(key, request.GetClaim().GetClaim(), reply.State, detail)
	})
	return reply, nil
}

// Drain implements wirepb.DRPCSideServer.
func (s *server) Drain(_ context.Context, request *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	d := s.dispatcher
	d.setDrain(gate.DrainCall, !request.GetResume())
	reply := &wirepb.DrainReply{}
	d.read(func(now time.Duration) {
		load := d.gate.Load(now)
		reply.Queued = uint32(load.Queued)
		reply.InFlight = uint32(load.InFlight)
	})
	return reply, nil
}

// setDrain turns the drain of one source on or off at the gate, and logs a change.
func (d *dispatcher) setDrain(source gate.DrainSource, on bool) {
	d.do(func(now time.Duration) {
		if !d.gate.SetDrain(now, source, on) {
			return
		}
		d.logDrain(now, source, on)
	})
}

// logDrain logs that a source started or ended its drain. The mutex must be held.
func (d *dispatcher) logDrain(now time.Duration, source gate.DrainSource, on bool) {
	fields := observe.Fields{
		"upstream": string(d.options.upstream),
		"source":   string(source),
		"sources":  d.gate.DrainSources(),
	}
	if !on {
		d.log(event.DrainEnded, fields)
		return
	}
	load := d.gate.Load(now)
	d.log(event.DrainBegan, mergeFields(fields, observe.Fields{"queued": load.Queued, "in_flight": load.InFlight}))
}

// modelMessage converts a "model@version" to its message.
func modelMessage(name string) *wirepb.LoadedModel {
	model, version, _ := strings.Cut(name, "@")
	return &wirepb.LoadedModel{Model: model, Version: version}
}
