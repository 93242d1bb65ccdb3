package flow

import (
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/core/slowstart"
)

// maxColdViewAge is the age of the newest freshness proof up to which this process may send to a
// cold upstream: a process that is cut off doesn't know which other gateways send to it.
const maxColdViewAge = 2500 * time.Millisecond

// isColdUpstream reports whether an upstream is cold and its service limits requests to cold
// upstreams.
func (s *Server) isColdUpstream(service *routes.Service, upstream routes.Upstream, now time.Time) bool {
	return service != nil && service.ColdPerSecond > 0 && upstream.IsCold(service.ColdStart, now)
}

// isCold reports whether an upstream of the request's service is cold and limited.
func (rq *request) isCold(upstream routes.Upstream) bool {
	return rq.isColdUpstream(rq.table.Service(rq.service), upstream, time.Now())
}

// allowsCold reports whether this process may send a request to a cold upstream now. A process
// that is draining is no longer a member, and another gateway sends in its place. s.mu must be
// held.
func (s *Server) allowsCold(service *routes.Service, upstream routes.Upstream, now time.Time) bool {
	if s.draining.Load() {
		return false
	}
	if age, known := s.View.ProofAge(); !known || age > maxColdViewAge {
		return false
	}
	return s.cold.Allows(upstream.ID, slowstart.Bound{PerSecond: service.ColdPerSecond, Overrun: s.ColdOverrun, Slack: s.ColdSlack}, now)
}
