package pipeline

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/request"
	"acaciawinch/wire/wirepb"
)

// eventStream is the receiving end of a stream of an attempt's events.
type eventStream interface {
	Recv() (*wirepb.RunEvent, error)
	Close() error
}

// follow opens a stream of an attempt after a delay and posts the attempt's events
// until the stream ends. It closes an earlier stream of the attempt.
func (f *flow) follow(a *attempt, after time.Duration, open func(context.Context, wirepb.DRPCSideClient) (eventStream, error)) {
	if a.cancelStream != nil {
		a.cancelStream()
	}
	a.streamNumber++
	ctx, stop := context.WithCancel(context.Background())
	a.cancelStream = stop
	s := &stream{flow: f, attempt: a.id, number: a.streamNumber, key: f.keyOf(a), upstream: a.choice.Upstream}
	addr := a.target.addr
	go func() {
		if !f.sleep(after) {
			return
		}
		err := f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			events, err := open(ctx, side)
			if err != nil {
				return err
			}
			defer func() { _ = events.Close() }() // the stream has ended or is no longer read
			return s.read(events)
		})
		f.post(post{streamNumber: s.number, event: request.Broken{
			Attempt: s.attempt,
			NotSent: notSent(err),
			Detail:  err.Error(),
		}})
	}()
}

// stream reads one stream of an attempt.
type stream struct {
	flow     *flow
	attempt  request.AttemptID
	number   int
	key      *wirepb.AttemptKey
	upstream core.UpstreamID
}

// read posts events until the stream ends, and returns the error that ended it.
func (s *stream) read(events eventStream) error {
	for {
		message, err := events.Recv()
		if err != nil {
			return err
		}
		if !sameKey(message.GetKey(), s.key) {
			s.recordDropped(message)
			continue
		}
		s.forward(message)
	}
}

// sameKey reports whether two keys name the same attempt at the same incarnation.
func sameKey(a, b *wirepb.AttemptKey) bool {
	return a.GetRequestId() == b.GetRequestId() &&
		a.GetStage() == b.GetStage() &&
		a.GetAttempt() == b.GetAttempt() &&
		a.GetSideIncarnation() == b.GetSideIncarnation()
}

// recordDropped posts that an event of another attempt was received and dropped.
func (s *stream) recordDropped(message *wirepb.RunEvent) {
	key := message.GetKey()
	s.flow.post(post{apply: func() { s.flow.record.dropped(s.flow.attempts[s.attempt], key) }})
}

// forward passes a message's load to the router and its event to the flow.
func (s *stream) forward(message *wirepb.RunEvent) {
	event, load := s.convert(message)
	if load != nil {
		s.flow.runner.opts.Router.ObserveLoad(s.upstream, load)
	}
	if event == nil {
		return
	}
	s.flow.post(post{event: event, streamNumber: s.number, apply: func() {
		s.flow.record.received(s.flow.attempts[s.attempt], event)
	}})
}

// convert returns the machine's event for a message, and the load that the message
// carries. Both are nil for an unknown event.
func (s *stream) convert(message *wirepb.RunEvent) (request.Event, *wirepb.Load) {
	switch e := message.GetEvent().(type) {
	case *wirepb.RunEvent_Started:
		return request.Started{Attempt: s.attempt}, nil
	case *wirepb.RunEvent_Chunk:
		return request.Chunk{Attempt: s.attempt, Index: e.Chunk.GetIndex(), Data: e.Chunk.GetData()}, nil
	case *wirepb.RunEvent_Done:
		return request.Done{Attempt: s.attempt, Chunks: e.Done.GetChunks(), Digest: e.Done.GetDigest()}, e.Done.GetLoad()
	case *wirepb.RunEvent_Refused:
		return request.Refused{
			Attempt:    s.attempt,
			Refusal:    refusalOf(e.Refused.GetReason()),
			LackOfTime: isLackOfTime(e.Refused.GetReason()),
			RetryAfter: time.Duration(e.Refused.GetRetryAfterMs()) * time.Millisecond,
			Detail:     e.Refused.GetReason().String() + " " + e.Refused.GetDetail(),
		}, e.Refused.GetLoad()
	case *wirepb.RunEvent_Failed:
		return request.Failed{Attempt: s.attempt, MayHaveRun: e.Failed.GetMayHaveRun(), Detail: e.Failed.GetDetail()}, e.Failed.GetLoad()
	}
	return nil, nil
}

// refusalOf classifies a refusal. Reasons other than those listed prove that the
// attempt has not run.
func refusalOf(reason wirepb.RefusalReason) request.Refusal {
	switch reason {
	case wirepb.RefusalReason_REFUSAL_INVALID:
		return request.RefusalInvalid
	case wirepb.RefusalReason_REFUSAL_DUPLICATE, wirepb.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT:
		return request.RefusalAmbiguous
	}
	return request.RefusalProved
}

// isLackOfTime reports whether a sidecar refused because its queue is full or the
// deadline can't be met.
func isLackOfTime(reason wirepb.RefusalReason) bool {
	return reason == wirepb.RefusalReason_REFUSAL_DEADLINE || reason == wirepb.RefusalReason_REFUSAL_QUEUE_FULL
}
