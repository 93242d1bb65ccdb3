package flow

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// maxBufferedResponse is the size up to which a response is read completely before it is
// passed on: if its upstream fails meanwhile, the request can still be retried.
const maxBufferedResponse = 256 << 10

// relayWhole passes on a response that is not a stream. A response of up to maxBufferedResponse
// bytes is read completely first, unless there is no memory for it: then it is passed on as it comes.
func (rq *request) relayWhole(upstream routes.Upstream, response *httpconn.Response) error {
	id := upstream.ID
	content, whole, err := rq.readAhead(response)
	if err != nil {
		return &sendFailure{mayHaveRun: true, closedByUpstream: rq.wasClosedByUpstream(err), err: rq.readError("upstream.read", id, err)}
	}
	if response.Status/100 == 5 && rq.mayReplaceServerError() {
		return &sendFailure{mayHaveRun: true, err: fault.New(fault.Ambiguous, "upstream.receive", id, "status %d", response.Status)}
	}
	if err := rq.frame(response, len(content), whole); err != nil {
		return &sendFailure{mayHaveRun: true, err: err}
	}
	rq.copyHead(response)
	rq.w.WriteHeader(response.Status)
	_, err = rq.w.Write(content)
	if err == nil && !whole {
		_, err = io.Copy(rq.w, response.Body)
	}
	if err == nil {
		err = rq.endInOrder()
	}
	if err != nil {
		return &sendFailure{mayHaveRun: true, err: fault.Wrap(fault.Ambiguous, "answer.write", id, err)}
	}
	rq.recordResponse(response, upstream)
	return nil
}

// readAhead reads a response up to maxBufferedResponse, as far as there is memory for it, and reports
// whether what it returns is the whole response.
func (rq *request) readAhead(response *httpconn.Response) (content []byte, whole bool, err error) {
	content, err = memory.ReadAll(rq.aheadRoom, io.LimitReader(response.Body, maxBufferedResponse+1), -1)
	var noRoom *memory.NoRoomError
	if errors.As(err, &noRoom) {
		return content, false, nil
	}
	return content, len(content) <= maxBufferedResponse, err
}

// frame sets how the end of the client's response is marked, of which the given number of bytes were
// read, or the whole: not at all if the upstream's head does not mark it, or else by a length where one
// is known.
func (rq *request) frame(response *httpconn.Response, read int, whole bool) error {
	length := response.Length
	if whole {
		length = int64(read)
	}
	switch {
	case !bodyAllowed(rq.r.Method, response.Status):
		return nil
	case !response.Framed, length < 0 && !rq.r.ProtoAtLeast(1, 1):
		return rq.endWithConnection()
	case length >= 0:
		rq.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	return nil
}

// bodyAllowed reports whether a response to a method with a status may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// mayReplaceServerError reports whether a 5xx response of an upstream should be dropped in
// favour of a retry. mayRetry withdraws the retry from the budget later.
func (rq *request) mayReplaceServerError() bool {
	return rq.route.RetryPolicy == routes.Idempotent && rq.sends < rq.route.MaxAttempts && rq.ctx.Err() == nil && rq.canRetry(rq.service)
}

// copyHead copies the upstream's headers to the client's response. If a stream continues at
// another upstream, the headers of the first response stay.
func (rq *request) copyHead(response *httpconn.Response) {
	rq.headSent = true
	h := rq.w.Header()
	for name, values := range header.ForClient(response.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	rq.closeIfDraining()
}

// readError returns the error of a response whose remainder could not be read: the end of the
// request's context, if that closed the connection, or else err.
func (rq *request) readError(step, id string, err error) error {
	if ended := rq.ctx.Err(); ended != nil {
		return fault.Wrap(fault.DeadlineExceeded, step, id, ended)
	}
	return fault.Wrap(fault.Ambiguous, step, id, err)
}

// recordOutcome reports a completed response to the quarantine guard: either the request has
// completed, or the upstream closed the connection. A response whose end is only marked by the end
// of the connection may have ended because the upstream's process crashed.
func (rq *request) recordOutcome(response *httpconn.Response, upstream routes.Upstream) {
	switch {
	case !response.Framed:
		rq.Guard.ConnectionClosed(rq.broken(response.Status/100 == 2), upstream)
	case response.Status/100 == 2:
		rq.Guard.Completed(rq.subject, rq.hdr.ID, rq.usedPass)
	}
}

// recordResponse logs a response that was passed on completely and records it in the metrics.
func (rq *request) recordResponse(response *httpconn.Response, upstream routes.Upstream) {
	rq.recordOutcome(response, upstream)
	rq.recordAnswer(passedOn{upstream: upstream, status: response.Status, proved: rq.provesEnd(response)})
}

// passedOn is a response that was passed on up to its end.
type passedOn struct {
	upstream routes.Upstream
	status   int
	// proved is set if the end of the response is known to be the end of what the upstream had to send.
	proved bool
}

// provesEnd reports whether the end of a response proves that it is complete.
func (rq *request) provesEnd(response *httpconn.Response) bool {
	return response.Framed || !bodyAllowed(rq.r.Method, response.Status)
}

// recordAnswer logs the response that the client got and records it in the metrics.
func (rq *request) recordAnswer(answer passedOn) {
	took := time.Since(rq.started)
	first := took
	if !rq.firstEventAt.IsZero() {
		first = rq.firstEventAt.Sub(rq.started)
	}
	rq.Metrics.requestEnded("answered_"+strconv.Itoa(answer.status), took)
	rq.Logger.Event(event.GatewayAnswered, observe.Fields{"request": rq.hdr.ID, "route": rq.route.Name, "status": answer.status,
		"upstream": answer.upstream.ID, "events": rq.events, "proved": answer.proved, "first_us": first.Microseconds(),
		"used_ms": rq.started.Sub(rq.clientStarted).Milliseconds(), "objective_ms": rq.route.Objective.Milliseconds(), "duration_us": took.Microseconds()})
}
