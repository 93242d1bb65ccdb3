package flow

import (
	"slices"
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/quarantine"
)

// requirements are what a request needs of its upstream.
type requirements struct {
	// service is the service of the request, and name its name; service is nil if the
	// configuration doesn't describe it.
	service *routes.Service
	name    string
	// sharedPrefixID identifies the last part of the prompt that other requests share.
	sharedPrefixID string
	// tried are the upstreams that the request was already sent to.
	tried []string
	// excluded are the incarnations of upstreams that the request must not be sent to.
	excluded []string
	// allowedRegions restrict the regions that may run the request; a region must pass all of them.
	allowedRegions []routes.Regions
}

// requirements returns what the request needs of its upstream now.
func (rq *request) requirements() requirements {
	regions := []routes.Regions{rq.route.Regions}
	if rq.workspace != nil {
		regions = append(regions, rq.workspace.Regions)
	}
	return requirements{service: rq.table.Service(rq.service), name: rq.service, sharedPrefixID: rq.hdr.SharedPrefixID, tried: rq.tried, excluded: rq.crashPass.Ended, allowedRegions: regions}
}

// allows reports whether a region may run the request.
func (req requirements) allows(region string) bool {
	return !slices.ContainsFunc(req.allowedRegions, func(regions routes.Regions) bool { return !regions.Allow(region) })
}

// isExcluded reports whether the request must not be sent to this incarnation of an upstream.
func (req requirements) isExcluded(upstream routes.Upstream) bool {
	return len(req.excluded) > 0 && slices.Contains(req.excluded, quarantine.IncarnationOf(upstream))
}

// choose returns the upstream for a request and records the request as sent there.
func (s *Server) choose(req requirements) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	choice, found := s.best(req, now)
	if found {
		if s.isColdUpstream(req.service, choice.Upstream, now) {
			s.cold.Sent(choice.Upstream.ID, now)
		}
		s.chooser.Started(choice.Upstream.ID)
		s.chooser.SentPrefix(req.sharedPrefixID, choice.Upstream.ID, now)
	}
	return choice, found
}

// preview returns the upstream that choose would return now, and records nothing.
func (s *Server) preview(req requirements) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.best(req, time.Now())
}

// best returns the best upstream for a request. s.mu must be held.
func (s *Server) best(req requirements, now time.Time) (selection.Choice, bool) {
	list := s.usable(req, now)
	if req.service != nil && req.service.Engine != nil {
		return s.chooser.Choose(list, req.sharedPrefixID, req.tried, now)
	}
	return s.chooser.LeastLoaded(list, s.Zone, req.tried, now)
}

// usable returns the upstreams of a request's service, without those in regions that may not run
// the request, excluded incarnations, and cold upstreams to which this process may send nothing
// now. s.mu must be held.
func (s *Server) usable(req requirements, now time.Time) []routes.Upstream {
	list := s.View.Upstreams().Of(req.name)
	skip := func(upstream routes.Upstream) bool {
		return !req.allows(upstream.Region) || req.isExcluded(upstream) || s.isColdUpstream(req.service, upstream, now) && !s.allowsCold(req.service, upstream, now)
	}
	if !slices.ContainsFunc(list, skip) {
		return list // the usual case needs no copy
	}
	return slices.DeleteFunc(slices.Clone(list), skip)
}
