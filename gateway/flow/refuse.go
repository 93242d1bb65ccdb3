package flow

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// problem is the JSON body of a refusal.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// refuse responds to the client with an error status. It always returns false, so that checks
// can return its result.
func (rq *request) refuse(status int, step, detail string, retryAfter time.Duration) bool {
	took := time.Since(rq.started)
	rq.recordRefusal(status, step, detail, retryAfter, took)
	rq.closeIfDraining()
	h := rq.w.Header()
	h.Set("Content-Type", "application/problem+json")
	header.Echo(h, rq.hdr.ID)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', rq.retryAfterDecimals(), 64))
	}
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Detail: detail})
	if err != nil {
		body = nil // strings and an integer always encode
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	rq.w.WriteHeader(status)
	_, _ = rq.w.Write(body) // the client may have disconnected
	return false
}

// closeIfDraining makes this response close the client's connection if the process is
// draining, so that the client's next request goes to another gateway. It must be called
// before the head of the response is written.
func (rq *request) closeIfDraining() {
	if rq.draining.Load() {
		rq.w.Header().Set("Connection", "close")
	}
}

// recordRefusal logs a refusal and records it in the metrics.
func (rq *request) recordRefusal(status int, step, detail string, retryAfter, took time.Duration) {
	route := ""
	if rq.route != nil {
		route = rq.route.Name
	}
	version := int64(0)
	if rq.table != nil {
		version = rq.table.Version
	}
	rq.Metrics.requestEnded("status_"+strconv.Itoa(status), took)
	rq.Logger.Event(event.GatewayRefused, observe.Fields{"request": rq.hdr.ID, "route": route, "status": status, "step": step,
		"detail": detail, "version": version, "retry_after_ms": retryAfter.Milliseconds(), "duration_us": took.Microseconds()})
}
