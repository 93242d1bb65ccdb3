package flow

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/events"
	"acaciawinch/gateway/framing"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// relayStream passes on the events of a stream as they arrive, each one complete. If the
// upstream fails, an incomplete event is dropped and the stream may continue at another
// upstream. An upstream has also failed if the ID of an event is not above that of the last one: it
// repeats itself, or does not go on where it was asked to.
func (rq *request) relayStream(upstream routes.Upstream, response *httpconn.Response) error {
	id := upstream.ID
	if !rq.headSent {
		if err := rq.startStream(response); err != nil {
			return &sendFailure{mayHaveRun: true, err: err}
		}
	}
	out := http.NewResponseController(rq.w)
	arrivals := rq.observeArrivals(upstream, response)
	defer arrivals.ended()
	reader := events.NewReader(arrivals)
	reader.ReserveIn(rq.eventRoom)
	for {
		next, err := rq.silence.watch.next(reader)
		if err == io.EOF {
			return rq.endStream(upstream, response)
		}
		if err != nil {
			if errors.Is(err, bufio.ErrTooLong) {
				response.OverLimit(httpconn.Event, events.MaxEventBytes)
			}
			rq.streamBroke(reader.WithinEvent())
			return &sendFailure{mayHaveRun: true, closedByUpstream: rq.wasClosedByUpstream(err), err: rq.readError("upstream.stream", id, err)}
		}
		if !events.MayFollow(next.ID, rq.lastEvent) {
			rq.recordOutOfOrder(upstream, next.ID)
			rq.streamBroke(false)
			return &sendFailure{mayHaveRun: true, err: fault.New(fault.Ambiguous, "upstream.stream", id, "event %s follows event %s", next.ID, rq.lastEvent)}
		}
		arrivals.event()
		rq.recordVersion(upstream)
		if err := rq.writeEvent(next, out); err != nil {
			return &sendFailure{mayHaveRun: true, err: fault.Wrap(fault.Cancelled, "answer.write", id, err)}
		}
	}
}

// startStream writes the head of a stream. If the upstream's head does not mark the end of the
// stream, the client's does not either: what only the end of the connection marks can't be known to
// be complete.
func (rq *request) startStream(response *httpconn.Response) error {
	if !rq.provesEnd(response) || !rq.r.ProtoAtLeast(1, 1) {
		if err := rq.endWithConnection(); err != nil {
			return err
		}
	}
	rq.isStream = true
	rq.copyHead(response)
	rq.w.WriteHeader(response.Status)
	return nil
}

// endWithConnection makes the client's response end with its connection, without a length or
// chunks. Until endInOrder is called, that end is a reset. It must be called before the head of the
// response is written.
func (rq *request) endWithConnection() error {
	if err := framing.ResetOnClose(rq.r); err != nil {
		return err
	}
	rq.endsWithConnection = true
	rq.w.Header().Set("Transfer-Encoding", "identity") // net/http then adds neither a length nor chunks
	return nil
}

// endInOrder ends the client's response as one that was not broken off. It is flushed first: if this
// process ended meanwhile, an orderly end would make the part before the buffers look whole.
func (rq *request) endInOrder() error {
	if !rq.endsWithConnection {
		return nil // a length or the last chunk marks the end
	}
	if err := http.NewResponseController(rq.w).Flush(); err != nil {
		return fault.Wrap(fault.Cancelled, "answer.write", "", err)
	}
	return framing.EndInOrder(rq.r)
}

// endStream ends a stream whose upstream has sent its last whole event. If the end proves nothing,
// endStream returns a sendFailure, so that another upstream is asked for what may be missing.
func (rq *request) endStream(upstream routes.Upstream, response *httpconn.Response) error {
	if rq.provesEnd(response) {
		if err := rq.endInOrder(); err != nil {
			return &sendFailure{mayHaveRun: true, err: err}
		}
		rq.recordResponse(response, upstream)
		return nil
	}
	rq.recordOutcome(response, upstream)
	rq.doubt(passedOn{upstream: upstream, status: response.Status})
	return &sendFailure{mayHaveRun: true, unproved: true, err: fault.New(fault.Ambiguous, "upstream.stream", upstream.ID, "the stream ended with its connection")}
}

// streamBroke records that a response of an upstream broke off. An empty remainder is no evidence of a
// doubtful end being wrong, but a part of an event is: more was to come.
func (rq *request) streamBroke(withinEvent bool) {
	if withinEvent {
		rq.endDoubt()
	}
	rq.isIncomplete = rq.doubtful == nil
}

// doubt records a response as the last one if nothing proves that its end is that of the stream, unless
// the response before it is known to be incomplete and it has added nothing.
// Clients abandon a stream that stays silent for as long as they wait for its first event: the
// remainder must begin within half of that time, or the stream ends in doubt.
func (rq *request) doubt(answer passedOn) {
	if rq.isIncomplete {
		return
	}
	rq.doubtful = &answer
	if rq.doubtEnd != nil {
		return
	}
	var end context.CancelFunc
	rq.ctx, end = context.WithCancel(rq.ctx)
	rq.doubtEnd = time.AfterFunc(rq.route.StartWithin/2, end)
}

// endDoubt records that the stream goes on after the events passed on so far.
func (rq *request) endDoubt() {
	rq.doubtful = nil
	if rq.doubtEnd != nil {
		rq.doubtEnd.Stop()
		rq.doubtEnd = nil
	}
}

// recordOutOfOrder logs an event that was not passed on because of its ID.
func (rq *request) recordOutOfOrder(upstream routes.Upstream, got string) {
	rq.Logger.Warn(event.GatewayDisorder, observe.Fields{"request": rq.hdr.ID, "upstream": upstream.ID, "attempt": len(rq.tried),
		"events": rq.events, "last": rq.lastEvent, "got": got})
}

// recordUnproved logs a stream whose end does not prove that it is complete.
func (rq *request) recordUnproved(upstream routes.Upstream) {
	rq.Logger.Event(event.GatewayUnproved, observe.Fields{"request": rq.hdr.ID, "upstream": upstream.ID, "attempt": len(rq.tried),
		"events": rq.events, "last": rq.lastEvent})
}

// writeEvent writes one event to the client.
func (rq *request) writeEvent(next events.Event, out *http.ResponseController) error {
	if rq.events == 0 {
		rq.firstEventAt = time.Now()
		rq.Metrics.firstEvent(rq.firstEventAt.Sub(rq.started))
		// An engine reads the results of the stages before it sends its first event.
		rq.results.free()
	}
	rq.endDoubt()
	rq.isIncomplete = false
	if _, err := io.Copy(rq.w, bytes.NewReader(next.Bytes)); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	rq.events++
	switch {
	case next.ID != "":
		rq.lastEvent = next.ID
		rq.isPastLast = false
	case next.HasData:
		rq.isPastLast = true
	}
	return nil
}
