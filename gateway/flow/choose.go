package flow

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
	"acaciawinch/core/pace"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/quarantine"
)

// requirements are what a request needs of its upstream.
type requirements struct {
	// service is the request's service, nil if the configuration doesn't describe it.
	service *routes.Service
	// serviceName is the name of the request's service.
	serviceName string
	// sharedPrefixID identifies the last part of the prompt that other requests share.
	sharedPrefixID string
	// tried holds the IDs of the upstreams that the request was already sent to.
	tried []string
	// excluded are the incarnations of upstreams that the request must not be sent to; only, if not
	// empty, is the one incarnation that it must be sent to.
	excluded []string
	only     string
	// versions are the software versions that the upstream may have; nil allows all.
	versions []string
	// unlimited is set if the request must be sent to an upstream without a known limit.
	unlimited bool
	// keepTogether is set if copies of the request that run at the same time should run at one
	// upstream; request is its fingerprint.
	keepTogether bool
	request      fingerprint.Fingerprint
	// allowedRegions holds the lists of regions that may run the request; a region must be allowed
	// by all of them.
	allowedRegions []routes.Regions
	// limits are what the request needs of the pace of its upstream.
	limits pace.Limits
}

// requirements returns what the request needs of its upstream now.
func (rq *request) requirements() requirements {
	regions := []routes.Regions{rq.route.Regions}
	if rq.workspace != nil {
		regions = append(regions, rq.workspace.Regions)
	}
	return requirements{versions: rq.versions(), service: rq.table.Service(rq.service), serviceName: rq.service, sharedPrefixID: rq.hdr.SharedPrefixID, tried: rq.tried, excluded: rq.crashPass.Ended, only: rq.crashPass.Upstream, allowedRegions: regions,
		keepTogether: !rq.Guard.IsProven(rq.fingerprint), request: rq.fingerprint, limits: rq.paceLimits(time.Now())}
}

// allows reports whether a region may run the request.
func (needs requirements) allows(region string) bool {
	return !slices.ContainsFunc(needs.allowedRegions, func(regions routes.Regions) bool { return !regions.Allow(region) })
}

// allowsVersion reports whether an upstream of a software version may run the request.
func (needs requirements) allowsVersion(version string) bool {
	return needs.versions == nil || slices.Contains(needs.versions, version)
}

// isExcluded reports whether the request must not be sent to this incarnation of an upstream.
func (needs requirements) isExcluded(upstream routes.Upstream) bool {
	if len(needs.excluded) == 0 && needs.only == "" {
		return false // the usual case
	}
	incarnation := quarantine.IncarnationOf(upstream)
	return slices.Contains(needs.excluded, incarnation) || needs.only != "" && incarnation != needs.only
}

// choose returns the upstream for a request, and records the request as sent to it.
func (s *Server) choose(needs requirements) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	choice, found := s.best(needs, now)
	if found {
		if s.isColdUpstream(needs.service, choice.Upstream, now) {
			s.cold.Sent(choice.Upstream.ID, now)
		}
		s.chooser.Started(choice.Upstream.ID)
		if needs.keepTogether {
			s.copies.Started(needs.request, quarantine.IncarnationOf(choice.Upstream), now)
		}
		s.chooser.SentPrefix(needs.sharedPrefixID, choice.Upstream.ID, now)
		s.recordTrial(needs, choice, now)
	}
	return choice, found
}

// preview returns the upstream that choose would return now, and records nothing.
func (s *Server) preview(needs requirements) (selection.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.best(needs, time.Now())
}

// best returns the best upstream for a request. s.mu must be held.
func (s *Server) best(needs requirements, now time.Time) (choice selection.Choice, found bool) {
	list := s.usable(needs, now)
	s.withPaces(needs, func(limits selection.Limits) {
		if needs.service != nil && needs.service.Engine != nil {
			choice, found = s.chooser.ChooseWithin(list, needs.sharedPrefixID, needs.tried, limits, now)
			choice = s.withoutForeignCopy(choice)
			return
		}
		choice, found = s.chooser.LeastLoadedWithin(list, s.Zone, needs.tried, limits, now)
	})
	return choice, found
}

// withoutForeignCopy drops the upstream to copy cached parts of the prompt from if its software version is another
// one: what two versions write does not fit together.
func (s *Server) withoutForeignCopy(choice selection.Choice) selection.Choice {
	if choice.CopyFrom == "" {
		return choice
	}
	from, known := s.View.Upstreams().At(choice.CopyFrom)
	if known && from.Version != choice.Upstream.Version {
		choice.CopyFrom = ""
	}
	return choice
}

// usable returns the upstreams of a request's service, without those in regions that may not run
// the request, of other software versions than it may go on at, excluded incarnations, and cold upstreams to which this process may send nothing
// now. s.mu must be held.
func (s *Server) usable(needs requirements, now time.Time) []routes.Upstream {
	list := s.View.Upstreams().Of(needs.serviceName)
	skip := func(upstream routes.Upstream) bool {
		return !needs.allows(upstream.Region) || !needs.allowsVersion(upstream.Version) || needs.isExcluded(upstream) || needs.unlimited && s.Limits.Limited(upstream) || s.isColdUpstream(needs.service, upstream, now) && !s.allowsCold(needs.service, upstream, now)
	}
	if slices.ContainsFunc(list, skip) {
		list = slices.DeleteFunc(slices.Clone(list), skip)
	}
	return s.withOtherCopies(needs, list, now)
}

// withOtherCopies returns the upstream at which other copies of the request have just begun to run, if
// the request should run there too, or else the whole list. s.mu must be held.
func (s *Server) withOtherCopies(needs requirements, list []routes.Upstream, now time.Time) []routes.Upstream {
	if !needs.keepTogether {
		return list
	}
	first := s.copies.Upstream(needs.request, now)
	index := slices.IndexFunc(list, func(upstream routes.Upstream) bool {
		return first != "" && quarantine.IncarnationOf(upstream) == first && upstream.TakesWork(now) && !slices.Contains(needs.tried, upstream.ID)
	})
	if index < 0 {
		return list
	}
	return list[index : index+1]
}
