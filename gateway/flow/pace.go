package flow

import (
	"io"
	"time"

	pacing "acaciawinch/core/pace"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/platform/header"
)

const (
	// sameArrival is the time within which two reads of a stream count as one arrival: the second one was
	// buffered already.
	sameArrival = time.Millisecond
	// observedGaps is the number of gaps after which a stream's observation is recorded. It covers half a second of
	// a usual stream, so that a slow engine is known before its streams end.
	observedGaps = 16
)

// paceProbe holds what the observation of the upstream's pace needs of the current send.
type paceProbe struct {
	// sentAt is when the request was sent, reportedAt when the head of the response came with the load report.
	sentAt, reportedAt time.Time
	// figure is the fourth figure of the load report, 0 if there was none.
	figure int
}

// paceLimits returns what the request needs of the pace of its upstream now. A time to the first event that has
// passed already is no limit: no upstream can meet it.
func (rq *request) paceLimits(now time.Time) pacing.Limits {
	limits := pacing.Limits{Tokens: rq.hdr.PromptTokens}
	if !rq.route.Stream {
		return limits
	}
	limits.Pause = rq.route.GapObjective
	if rq.events == 0 && rq.route.Objective > 0 {
		limits.FirstEvent = max(0, rq.clientStarted.Add(rq.route.Objective).Sub(now))
	}
	return limits
}

// withPaces calls choose with the paces of a request's service and the request's limits.
func (s *Server) withPaces(needs requirements, choose func(selection.Limits)) {
	s.Paces.Use(needs.serviceName, func(paces *pacing.Table) {
		choose(selection.Limits{Paces: paces, Limits: needs.limits})
	})
}

// recordTrial records that a request is sent to an upstream to measure its pace again.
func (s *Server) recordTrial(needs requirements, choice selection.Choice, now time.Time) {
	if choice.Trial {
		s.Paces.Use(needs.serviceName, func(paces *pacing.Table) { paces.Tried(selection.PaceKey(choice.Upstream), now) })
	}
}

// paceSent records the time of a send and counts the upstreams that were excluded for it.
func (rq *request) paceSent(choice selection.Choice) {
	rq.probe = paceProbe{sentAt: time.Now()}
	rq.Paces.Excluded(rq.service, choice.Excluded)
}

// paceReported records the load report in the head of a response. The response of a plain service is observed
// here, as it has no events, unless it is an error, which takes less time.
func (rq *request) paceReported(upstream routes.Upstream, status int, load header.Load) {
	rq.probe.reportedAt, rq.probe.figure = time.Now(), load.Pace
	service := rq.table.Service(rq.service)
	if status/100 == 2 && load.Pace > 0 && (service == nil || service.Engine == nil) {
		rq.Paces.Observe(upstream, pacing.Observation{FirstEvent: rq.probe.reportedAt.Sub(rq.probe.sentAt), Pace: load.Pace})
	}
}

// arrivals observes the events of a stream as they arrive. It is the reader of the response's body.
type arrivals struct {
	rq       *request
	upstream routes.Upstream
	body     io.Reader
	clock    func() time.Time
	// readAt is when the last arrival began, eventAt the arrival of the last complete event before it; it is zero
	// before the first event.
	readAt, eventAt time.Time
	// events counts the complete events of the present arrival.
	events int
	seen   pacing.Observation
}

// observeArrivals returns the observed body of a stream's response.
func (rq *request) observeArrivals(upstream routes.Upstream, response *httpconn.Response) *arrivals {
	return &arrivals{rq: rq, upstream: upstream, body: response.Body, clock: time.Now, seen: pacing.Observation{Tokens: rq.hdr.PromptTokens, Pace: rq.probe.figure}}
}

// Read implements io.Reader.
func (a *arrivals) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if now := a.clock(); n > 0 && now.Sub(a.readAt) > sameArrival {
		a.endArrival()
		a.readAt = now
	}
	return n, err
}

// event records that a complete event was read.
func (a *arrivals) event() { a.events++ }

// endArrival records the gap before the present arrival, if events were complete with it.
func (a *arrivals) endArrival() {
	if a.events == 0 {
		return
	}
	if a.eventAt.IsZero() {
		a.seen.FirstEvent = a.readAt.Sub(a.rq.probe.sentAt)
	} else {
		a.seen.Gaps = append(a.seen.Gaps, pacing.Gap{Time: a.readAt.Sub(a.eventAt), Events: a.events, Age: a.readAt.Sub(a.rq.probe.reportedAt)})
	}
	a.eventAt, a.events = a.readAt, 0
	if a.seen.FirstEvent > 0 || len(a.seen.Gaps) >= observedGaps {
		a.record()
	}
}

// ended records the remainder of the observation at the end of the stream.
func (a *arrivals) ended() {
	a.endArrival()
	a.record()
}

// record passes the observation on and begins a new one.
func (a *arrivals) record() {
	if a.seen.FirstEvent > 0 || len(a.seen.Gaps) > 0 {
		a.rq.Paces.Observe(a.upstream, a.seen)
	}
	a.seen.FirstEvent, a.seen.Gaps = 0, nil
}
