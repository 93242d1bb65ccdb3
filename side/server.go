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

// server is the drpc Side service.
type server struct {
	keeper        *keeper
	incarnation   core.Incarnation
	maxInputBytes int
	// revision returns the configuration revision that the side knows of.
	revision func() core.Revision
	// noteRevision is told the revision of each message.
	noteRevision func(core.Revision)
}

// Probe implements wirepb.DRPCSideServer.
func (s *server) Probe(_ context.Context, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	s.noteRevision(core.Revision(request.GetRevision()))
	reply := &wirepb.ProbeReply{
		Incarnation: uint64(s.incarnation),
		Revision:    uint64(s.revision()),
	}
	s.keeper.read(func(now time.Duration) {
		reply.SideClockUs = uint64(now.Microseconds())
		reply.Load = s.keeper.load(now)
		reply.PrefixCached = s.keeper.prefixes.Has(request.GetPrefixHash())
		reply.WaitUs = uint64(s.keeper.gate.Wait(now, request.GetWorkspace(), int(request.GetPriority())).Microseconds())
	})
	return reply, nil
}

// Run implements wirepb.DRPCSideServer.
func (s *server) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	s.noteRevision(core.Revision(request.GetRevision()))
	key := keyOf(request.GetKey())
	if detail := s.check(request); detail != "" {
		return stream.Send(refusedEvent(key, &wirepb.Refused{
			Reason: wirepb.RefusalReason_REFUSAL_INVALID,
			Detail: detail,
		}))
	}
	a, closing := s.keeper.submit(request)
	if closing != nil {
		return stream.Send(closing)
	}
	return s.keeper.deliver(stream.Context(), &reader{attempt: a, send: stream.Send})
}

// check returns what is wrong with a Run message, or "". Nothing is remembered of
// a wrong message, since the same message is wrong again.
func (s *server) check(request *wirepb.RunRequest) string {
	size := len(request.GetInput())
	for _, chunk := range request.GetResume() {
		size += len(chunk)
	}
	switch {
	case request.GetKey().GetRequestId() == "" || request.GetKey().GetStage() == "":
		return "the attempt has no name"
	case size > s.maxInputBytes:
		return "the input is too large"
	}
	return ""
}

// submit asks the gate about an attempt. It returns the attempt to follow, or the
// event that ends the call.
func (k *keeper) submit(request *wirepb.RunRequest) (a *attempt, closing *wirepb.RunEvent) {
	ask := askOf(request, k.options.engine)
	k.do(func(now time.Duration) {
		d := k.gate.Submit(now, ask)
		k.logDecision(request, ask, d)
		if d.Verdict == gate.Admitted {
			k.attempts[ask.Key] = newAttempt(ask.Key, callOf(ask.Key, request), request.GetClaim())
		}
		a, closing = k.join(now, ask.Key, d)
	})
	return a, closing
}

// join makes the caller a reader of the attempt if the decision allows it, else
// it returns the event that ends the call. The caller holds the mutex.
func (k *keeper) join(now time.Duration, key core.AttemptKey, d gate.Decision) (*attempt, *wirepb.RunEvent) {
	switch d.Verdict {
	case gate.Admitted, gate.Attached:
		k.gate.Watch(key)
		k.readers++
		return k.attempts[key], nil
	case gate.Refused:
		return nil, refusedEvent(key, &wirepb.Refused{
			Reason:       reasonMessages[d.Reason],
			RetryAfterMs: milliseconds(d.RetryAfter),
			Load:         k.load(now),
			Detail:       d.Detail,
		})
	}
	return nil, failedEvent(key, &wirepb.Failed{Detail: d.Detail, MayHaveRun: true, Load: k.load(now)})
}

// deliver sends the attempt's events to its reader and tells the gate when the
// reader leaves.
func (k *keeper) deliver(ctx context.Context, r *reader) error {
	err := r.follow(ctx)
	k.do(func(now time.Duration) {
		k.gate.Unwatch(now, r.attempt.key, err == nil)
		k.readers--
	})
	return err
}

// Attach implements wirepb.DRPCSideServer.
func (s *server) Attach(request *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
	k := s.keeper
	key := keyOf(request.GetKey())
	var a *attempt
	var closing *wirepb.RunEvent
	k.do(func(now time.Duration) {
		d := k.gate.Attach(now, key)
		k.logFollow(key, callAttach, d, attemptFields(key))
		a, closing = k.join(now, key, d)
	})
	if closing != nil {
		return stream.Send(closing)
	}
	return k.deliver(stream.Context(), &reader{attempt: a, send: stream.Send, next: request.GetFromChunk()})
}

// Cancel implements wirepb.DRPCSideServer.
func (s *server) Cancel(_ context.Context, request *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	k := s.keeper
	reply := &wirepb.CancelReply{}
	k.do(func(now time.Duration) {
		reply.Started = k.gate.Cancel(now, keyOf(request.GetKey()), causes[request.GetReason()])
	})
	return reply, nil
}

// Acknowledge implements wirepb.DRPCSideServer.
func (s *server) Acknowledge(_ context.Context, request *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	s.keeper.acknowledge(keyOf(request.GetKey()))
	return &wirepb.AcknowledgeReply{}, nil
}

// Resolve implements wirepb.DRPCSideServer.
func (s *server) Resolve(_ context.Context, request *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	k := s.keeper
	key := keyOf(request.GetKey())
	reply := &wirepb.ResolveReply{Incarnation: uint64(s.incarnation)}
	ticket := ticketOf(request.GetClaim())
	if ticket == nil {
		reply.State = wirepb.ResolveState_RESOLVE_GONE
		reply.Detail = "the message names no claim"
		return reply, nil
	}
	k.do(func(now time.Duration) {
		state, detail := k.gate.Resolve(now, key, *ticket)
		reply.State = states[state]
		reply.Detail = detail
		if state == gate.StateDone {
			reply.Chunks, reply.Digest = k.attempts[key].output()
		}
		k.logResolve(key, request.GetClaim().GetClaim(), reply.State, detail)
	})
	return reply, nil
}

// Drain implements wirepb.DRPCSideServer.
func (s *server) Drain(_ context.Context, request *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	k := s.keeper
	k.setDrain(gate.DrainCall, !request.GetResume())
	reply := &wirepb.DrainReply{}
	k.read(func(now time.Duration) {
		load := k.gate.Load(now)
		reply.Queued = uint32(load.Queued)
		reply.InFlight = uint32(load.InFlight)
	})
	return reply, nil
}

// setDrain tells the gate what a source of drains wants, and logs a change.
func (k *keeper) setDrain(source gate.DrainSource, on bool) {
	k.do(func(now time.Duration) {
		if !k.gate.SetDrain(now, source, on) {
			return
		}
		k.logDrain(now, source, on)
	})
}

// logDrain logs the change of one source. The caller holds the mutex.
func (k *keeper) logDrain(now time.Duration, source gate.DrainSource, on bool) {
	fields := observe.Fields{
		"upstream": string(k.options.upstream),
		"source":   string(source),
		"sources":  k.gate.DrainSources(),
	}
	if !on {
		k.log(event.DrainEnded, fields)
		return
	}
	load := k.gate.Load(now)
	k.log(event.DrainBegan, with(fields, observe.Fields{"queued": load.Queued, "in_flight": load.InFlight}))
}

// modelMessage returns the message of a "model@version".
func modelMessage(name string) *wirepb.LoadedModel {
	model, version, _ := strings.Cut(name, "@")
	return &wirepb.LoadedModel{Model: model, Version: version}
}
