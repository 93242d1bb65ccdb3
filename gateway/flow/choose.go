package flow

import (
	"slices"
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/quarantine"
)

// want is what a request asks of its upstream.
type want struct {
	// service is its service, name that service's name; service is nil if the configuration
	// doesn't describe it.
	service *routes.Service
	name    string
	// part is the last part of the prompt that other requests have too.
	part string
	// tried are upstreams that it was sent to before.
	tried []string
	// ended are the starts of upstreams that it must not be sent to.
	ended []string
	// bound are the regions that may run it; all of them bind.
	bound []routes.Regions
}

// want returns what the request asks of its upstream now.
func (rq *request) want() want {
	bound := []routes.Regions{rq.route.Regions}
	if rq.workspace != nil {
		bound = append(bound, rq.workspace.Regions)
	}
	return want{service: rq.table.Service(rq.service), name: rq.service, part: rq.asked.SharedPart, tried: rq.tried, ended: rq.crashPass.Ended, bound: bound}
}

// allows tells whether a region may run the request.
func (w want) allows(region string) bool {
	return !slices.ContainsFunc(w.bound, func(regions routes.Regions) bool { return !regions.Allow(region) })
}

// hasEnded tells whether a start of an upstream must not get the request.
func (w want) hasEnded(upstream routes.Upstream) bool {
	return len(w.ended) > 0 && slices.Contains(w.ended, quarantine.StartOf(upstream))
}

// choose returns the upstream for a request and counts it as sent there.
func (s *Server) choose(w want) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	choice, found := s.best(w, now)
	if found {
		if s.isColdOf(w.service, choice.Upstream, now) {
			s.cold.Sent(choice.Upstream.ID, now)
		}
		s.chooser.Started(choice.Upstream.ID)
		s.chooser.SentPart(w.part, choice.Upstream.ID, now)
	}
	return choice, found
}

// look returns the upstream that a request would get now.
func (s *Server) look(w want) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.best(w, time.Now())
}

// best returns the best upstream for a request. The lock is held.
func (s *Server) best(w want, now time.Time) (selection.Choice, bool) {
	list := s.usable(w, now)
	if w.service != nil && w.service.Engine != nil {
		return s.chooser.Choose(list, w.part, w.tried, now)
	}
	return s.chooser.Least(list, s.Zone, w.tried, now)
}

// usable returns the upstreams of a request's service without those in regions that may not run
// it, starts that have ended under it, and those that are cold and to which this process may send nothing now. The lock is held.
func (s *Server) usable(w want, now time.Time) []routes.Upstream {
	list := s.View.Upstreams().Of(w.name)
	passed := func(upstream routes.Upstream) bool {
		return !w.allows(upstream.Region) || w.hasEnded(upstream) || s.isColdOf(w.service, upstream, now) && !s.allowsCold(w.service, upstream, now)
	}
	if !slices.ContainsFunc(list, passed) {
		return list // as nearly always: nothing is copied
	}
	return slices.DeleteFunc(slices.Clone(list), passed)
}
