package flow

import (
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/core/slowstart"
)

// coldKnowledge is how old what this process knows of the others may be for it to send to a
// cold upstream: one that is cut off can't tell who else sends.
const coldKnowledge = 2500 * time.Millisecond

// isColdOf tells whether an upstream of a service is cold and takes few requests then.
func (s *Server) isColdOf(service *routes.Service, upstream routes.Upstream, now time.Time) bool {
	return service != nil && service.ColdPerSecond > 0 && upstream.IsCold(service.ColdStart, now)
}

// isCold tells whether the request's upstream is cold.
func (rq *request) isCold(upstream routes.Upstream) bool {
	return rq.isColdOf(rq.table.Service(rq.service), upstream, time.Now())
}

// allowsCold tells whether this process may send a request to a cold upstream now. One that is
// stopping is no member any more, and another one sends in its place. The lock is held.
func (s *Server) allowsCold(service *routes.Service, upstream routes.Upstream, now time.Time) bool {
	if s.draining.Load() {
		return false
	}
	if age, known := s.View.KeysAge(); !known || age > coldKnowledge {
		return false
	}
	return s.cold.Allows(upstream.ID, slowstart.Bound{PerSecond: service.ColdPerSecond, Overrun: s.ColdOverrun, Slack: s.ColdSlack}, now)
}
