package pipeline

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/request"
	"acaciawinch/wire/wirepb"
)

// eventStream is a stream of an attempt's events.
type eventStream interface {
	Recv() (*wirepb.RunEvent, error)
	Close() error
}

// follow opens a stream of an attempt after a delay and posts its events until it
// ends. An earlier stream of the attempt is closed.
func (f *flow) follow(a *attempt, after time.Duration, open func(context.Context, wirepb.DRPCSideClient) (eventStream, error)) {
	if a.stop != nil {
		a.stop()
	}
	a.stream++
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	s := &stream{flow: f, attempt: a.id, number: a.stream, key: f.keyOf(a), upstream: a.choice.Upstream}
	addr := a.target.addr
	go func() {
		if !f.pause(after) {
			return
		}
		err := f.call(ctx, addr, func(ctx context.Context, side wirepb.DRPCSideClient) error {
			events, err := open(ctx, side)
			if err != nil {
				return err
			}
			defer func() { _ = events.Close() }() // the stream is read or given up
			return s.read(events)
		})
		f.post(post{stream: s.number, event: request.Broken{
			Attempt: s.attempt,
			NotSent: notSent(err),
			Detail:  err.Error(),
		}})
	}()
}

// stream reads one stream of one attempt.
type stream struct {
	flow     *flow
	attempt  request.AttemptID
	number   int
	key      *wirepb.AttemptKey
	upstream core.UpstreamID
}

// read posts events until the stream ends and returns why it did.
func (s *stream) read(events eventStream) error {
	for {
		message, err := events.Recv()
		if err != nil {
			return err
		}
		if !sameKey(message.GetKey(), s.key) {
			s.drop(message)
			continue
		}
		s.pass(message)
	}
}

// sameKey tells whether two keys name the same attempt of the same incarnation.
func sameKey(a, b *wirepb.AttemptKey) bool {
	return a.GetRequestId() == b.GetRequestId() &&
		a.GetStage() == b.GetStage() &&
		a.GetAttempt() == b.GetAttempt() &&
		a.GetSideIncarnation() == b.GetSideIncarnation()
}

// drop logs an event that belongs to another attempt.
func (s *stream) drop(message *wirepb.RunEvent) {
	key := message.GetKey()
	s.flow.post(post{apply: func() { s.flow.record.dropped(s.flow.attempts[s.attempt], key) }})
}

// pass posts one event.
func (s *stream) pass(message *wirepb.RunEvent) {
	event, load := s.convert(message)
	if load != nil {
		s.flow.runner.opts.Router.ObserveLoad(s.upstream, load)
	}
	if event == nil {
		return
	}
	s.flow.post(post{event: event, stream: s.number, apply: func() {
		s.flow.record.received(s.flow.attempts[s.attempt], event)
	}})
}

// convert returns the machine's form of a message, and the load that it carries.
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
			Late:       late(e.Refused.GetReason()),
			RetryAfter: time.Duration(e.Refused.GetRetryAfterMs()) * time.Millisecond,
			Detail:     e.Refused.GetReason().String() + " " + e.Refused.GetDetail(),
		}, e.Refused.GetLoad()
	case *wirepb.RunEvent_Failed:
		return request.Failed{Attempt: s.attempt, MayHaveRun: e.Failed.GetMayHaveRun(), Detail: e.Failed.GetDetail()}, e.Failed.GetLoad()
	}
	return nil, nil
}

// refusalOf classifies a refusal. What is not known to be proof is none.
func refusalOf(reason wirepb.RefusalReason) request.Refusal {
	switch reason {
	case wirepb.RefusalReason_REFUSAL_INVALID:
		return request.RefusalInvalid
	case wirepb.RefusalReason_REFUSAL_DUPLICATE, wirepb.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT:
		return request.RefusalAmbiguous
	}
	return request.RefusalProved
}

// late tells whether a side refused for want of time or of room.
func late(reason wirepb.RefusalReason) bool {
	return reason == wirepb.RefusalReason_REFUSAL_DEADLINE || reason == wirepb.RefusalReason_REFUSAL_QUEUE_FULL
}
