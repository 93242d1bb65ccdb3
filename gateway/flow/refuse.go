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

// problem is the body of a refusal.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// refuse answers a request itself. It returns false, so that a check can end with it.
func (rq *request) refuse(status int, step, detail string, after time.Duration) bool {
	took := time.Since(rq.began)
	rq.note(status, step, detail, after, took)
	rq.closeIfDraining()
	h := rq.w.Header()
	h.Set("Content-Type", "application/problem+json")
	header.Echo(h, rq.asked.ID)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(problem{Title: http.StatusText(status), Status: status, Detail: detail})
	if err != nil {
		body = nil // text and a number always encode
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	rq.w.WriteHeader(status)
	_, _ = rq.w.Write(body) // a client that is gone needs no answer
	return false
}

// closeIfDraining ends the connection with this answer if the process is stopping, so
// that the client's next request goes to another. It is called before the head is
// written.
func (rq *request) closeIfDraining() {
	if rq.draining.Load() {
		rq.w.Header().Set("Connection", "close")
	}
}

// note logs and counts a refusal.
func (rq *request) note(status int, step, detail string, after, took time.Duration) {
	route := ""
	if rq.route != nil {
		route = rq.route.Name
	}
	version := int64(0)
	if rq.table != nil {
		version = rq.table.Version
	}
	rq.Metrics.ended("status_"+strconv.Itoa(status), took)
	rq.Logger.Event(event.GatewayRefused, observe.Fields{"request": rq.asked.ID, "route": route, "status": status, "step": step,
		"detail": detail, "version": version, "retry_after_ms": after.Milliseconds(), "duration_us": took.Microseconds()})
}
