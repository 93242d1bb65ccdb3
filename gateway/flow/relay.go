package flow

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/events"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// wholeBytes is the most of an answer that is held before it is handed on: what is
// whole can still be replaced by another try if its upstream breaks off.
const wholeBytes = 256 << 10

// relayWhole hands on an answer that is no stream. One that fits is read whole first.
func (rq *request) relayWhole(upstream routes.Upstream, answer *httpconn.Answer) error {
	id := upstream.ID
	content, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	if err != nil {
		return &sendFailure{ran: true, cut: rq.cutByUpstream(err), err: rq.readError("upstream.read", id, err)}
	}
	if answer.Status/100 == 5 && rq.triesAgain() {
		return &sendFailure{ran: true, err: fault.New(fault.Ambiguous, "upstream.receive", id, "status %d", answer.Status)}
	}
	rq.head(answer)
	if len(content) <= wholeBytes && bodyAllowed(rq.r.Method, answer.Status) {
		rq.w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	}
	rq.w.WriteHeader(answer.Status)
	_, err = rq.w.Write(content)
	if err == nil && len(content) > wholeBytes {
		_, err = io.Copy(rq.w, answer.Body)
	}
	if err != nil {
		return &sendFailure{ran: true, err: fault.Wrap(fault.Ambiguous, "answer.write", id, err)}
	}
	rq.noteAnswer(answer, upstream)
	return nil
}

// bodyAllowed tells whether an answer has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// triesAgain tells whether a failure that an upstream itself answered is better
// replaced by another try. The budget is asked by mayGoOn.
func (rq *request) triesAgain() bool {
	return rq.route.Repeat == routes.Idempotent && rq.sends < rq.route.MaxAttempts && rq.ctx.Err() == nil && rq.affords(rq.service)
}

// head writes the upstream's headers for the client; the first answer's stay if a
// stream goes on at another upstream.
func (rq *request) head(answer *httpconn.Answer) {
	rq.begun = true
	h := rq.w.Header()
	for name, values := range header.Return(answer.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	rq.closeIfDraining()
}

// relayStream hands on events as they come, each one whole. When the upstream breaks
// off, a part of an event is dropped and the stream may go on elsewhere.
func (rq *request) relayStream(upstream routes.Upstream, answer *httpconn.Answer) error {
	id := upstream.ID
	if !rq.begun {
		rq.head(answer)
		rq.w.WriteHeader(answer.Status)
	}
	out := http.NewResponseController(rq.w)
	reader := events.NewReader(answer.Body)
	for {
		next, err := reader.Next()
		if err == io.EOF {
			rq.noteAnswer(answer, upstream)
			return nil
		}
		if err != nil {
			return &sendFailure{ran: true, cut: rq.cutByUpstream(err), err: rq.readError("upstream.stream", id, err)}
		}
		if err := rq.pass(next, out); err != nil {
			return &sendFailure{ran: true, err: fault.Wrap(fault.Cancelled, "answer.write", id, err)}
		}
	}
}

// readError returns why the rest of an answer could not be read: the request's own end
// if that is why its connection was closed.
func (rq *request) readError(step, id string, err error) error {
	if ended := rq.ctx.Err(); ended != nil {
		return fault.Wrap(fault.DeadlineExceeded, step, id, ended)
	}
	return fault.Wrap(fault.Ambiguous, step, id, err)
}

// pass writes one event to the client.
func (rq *request) pass(next events.Event, out *http.ResponseController) error {
	if rq.events == 0 {
		rq.firstAt = time.Now()
		rq.Metrics.firstEvent(rq.firstAt.Sub(rq.began))
		// The engine has read the results of the stages before its first event.
		rq.results.free()
	}
	if _, err := io.Copy(rq.w, bytes.NewReader(next.Bytes)); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	rq.events++
	if next.ID != "" {
		rq.lastEvent = next.ID
	}
	return nil
}

// noteEnd tells whether the upstream outlived a whole answer, as far as that is known. The end of an
// answer that does not say where it ends may be that of the upstream's process.
func (rq *request) noteEnd(answer *httpconn.Answer, upstream routes.Upstream) {
	switch {
	case !answer.Framed:
		rq.Guard.Broken(rq.fingerprint, rq.asked.ID, upstream)
	case answer.Status/100 == 2:
		rq.Guard.Completed(rq.fingerprint, rq.asked.ID)
	}
}

// noteAnswer logs and counts an answer that the client has whole.
func (rq *request) noteAnswer(answer *httpconn.Answer, upstream routes.Upstream) {
	rq.noteEnd(answer, upstream)
	status := answer.Status
	took := time.Since(rq.began)
	first := took
	if !rq.firstAt.IsZero() {
		first = rq.firstAt.Sub(rq.began)
	}
	rq.Metrics.ended("answered_"+strconv.Itoa(status), took)
	rq.Logger.Event(event.GatewayAnswered, observe.Fields{"request": rq.asked.ID, "route": rq.route.Name, "status": status,
		"upstream": upstream.ID, "events": rq.events, "first_us": first.Microseconds(),
		"used_ms": rq.began.Sub(rq.since).Milliseconds(), "objective_ms": rq.route.Objective.Milliseconds(), "duration_us": took.Microseconds()})
}
