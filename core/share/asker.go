package share

import (
	"time"

	"acaciawinch/core"
)

// Timeouts and backoffs of an entry that requests permits.
const (
	// AskTimeout is the timeout of a permit request. It is longer than the four round
	// trips that a call to another region takes on a new connection.
	AskTimeout = 300 * time.Millisecond
	// suspectBackoff and maxSuspectBackoff are the initial and the longest backoff
	// from a home that did not respond.
	suspectBackoff    = time.Second
	maxSuspectBackoff = 10 * time.Second
)

// maxFailures is the number of unresponsive homes after which a request's search ends.
const maxFailures = 2

// Asker is the state of an entry that requests permits from homes. It is not safe for
// concurrent use.
type Asker struct {
	suspects map[string]suspect
	// regions tracks failures of homes by region.
	regions map[string]regionSuspect
	// fullUntil is the time, by workspace, before which no permit is requested because
	// the bound was reached. The end of a request on this entry clears it.
	fullUntil map[string]time.Time
	// localRequests counts the locally admitted requests in flight, by workspace.
	localRequests map[string]int
	// incarnations holds the incarnation in each home's latest response, by name.
	incarnations map[string]core.Incarnation
}

// suspect is the failure state of a home or region that did not respond.
type suspect struct {
	until    time.Time
	failures int
}

// regionSuspect is the failure state of a region that may be unreachable. Permits are
// not requested from the region once two of its homes failed to respond, with no
// response from another home of the region in between.
type regionSuspect struct {
	suspect
	// lastHome is the home that failed to respond most recently.
	lastHome    string
	unreachable bool
}

// NewAsker returns an Asker without recorded failures.
func NewAsker() *Asker {
	return &Asker{
		suspects:      make(map[string]suspect),
		regions:       make(map[string]regionSuspect),
		fullUntil:     make(map[string]time.Time),
		localRequests: make(map[string]int),
		incarnations:  make(map[string]core.Incarnation),
	}
}

// StepKind is the kind of the next step of a Search.
type StepKind int

// The steps of a search.
const (
	// StepAsk: request a permit from Step.Home.
	StepAsk StepKind = iota + 1
	// StepGranted: the request may run; a home granted the permit.
	StepGranted
	// StepAlone: the request may run; the entry admitted it locally because homes did
	// not respond.
	StepAlone
	// StepRefused: the workspace's bound is reached.
	StepRefused
	// StepRefusedAlone: homes did not respond and the entry's local share is in use.
	StepRefusedAlone
)

// Step is the next step of a Search.
type Step struct {
	Kind StepKind
	// Home, Part and Bound are the home to query and the part requested with StepAsk,
	// and the home and part that granted the permit with StepGranted. With StepAlone,
	// Part and Bound are the part that should count the request; Home is not set.
	Home  Home
	Part  int
	Bound int
}

// Search requests a permit for one request from one part after the other, starting
// at a random part, until a home grants it or all parts are full.
type Search struct {
	asker     *Asker
	homes     *Homes
	workspace string
	bound     int
	// order lists the parts in the order in which they are tried; tried counts those
	// that were full or had no reachable home.
	order    []int
	tried    int
	failures int
	// unreachable counts the parts without an available home.
	unreachable int
	// shortestHold is the shortest Answer.Hold of the homes that refused.
	shortestHold time.Duration
	lastAsk      Step
}

// Begin starts the search for a request's permit and returns its first step. The
// random number selects the first part.
func (a *Asker) Begin(now time.Time, homes *Homes, workspace string, bound int, random uint64) (*Search, Step) {
	s := &Search{asker: a, homes: homes, workspace: workspace, bound: bound, order: homes.order(workspace, bound, random)}
	if until, ok := a.fullUntil[workspace]; ok && now.Before(until) {
		return s, Step{Kind: StepRefused}
	}
	delete(a.fullUntil, workspace)
	return s, s.next(now)
}

// Answered records the response of the home that was queried last and returns the
// next step.
func (s *Search) Answered(now time.Time, answer Answer) Step {
	delete(s.asker.suspects, s.lastAsk.Home.Name)
	delete(s.asker.regions, s.lastAsk.Home.Region)
	if answer.Granted {
		step := s.lastAsk
		step.Kind = StepGranted
		return step
	}
	if s.tried == 0 || answer.Hold < s.shortestHold {
		s.shortestHold = answer.Hold
	}
	s.tried++
	return s.next(now)
}

// Silent records that the home that was queried last did not respond, and returns the
// next step.
func (s *Search) Silent(now time.Time) Step {
	s.failures++
	s.asker.Silent(now, s.homes, s.lastAsk.Home)
	return s.next(now)
}

// Silent records that a home did not respond. The entry backs off from the home for a
// time that grows with each consecutive failure. It also backs off from the home's
// region if another home of the region failed before, unless it is the entry's own
// region.
func (a *Asker) Silent(now time.Time, homes *Homes, home Home) {
	a.suspects[home.Name] = a.suspects[home.Name].failedAgain(now)
	if home.Region == homes.ownRegion {
		return
	}
	region, known := a.regions[home.Region]
	if known && region.lastHome != home.Name || region.unreachable {
		region.suspect = region.failedAgain(now)
		region.unreachable = true
	}
	region.lastHome = home.Name
	a.regions[home.Region] = region
}

// failedAgain returns the state after a further failure at now.
func (s suspect) failedAgain(now time.Time) suspect {
	backoff := min(suspectBackoff<<min(s.failures, 4), maxSuspectBackoff)
	return suspect{until: now.Add(backoff), failures: s.failures + 1}
}

// next returns the next home to query, or the result of the search.
func (s *Search) next(now time.Time) Step {
	for s.failures < maxFailures && s.tried < len(s.order) {
		part := s.order[s.tried]
		for _, home := range s.homes.Of(s.workspace, part) {
			if s.asker.allow(now, home) {
				s.lastAsk = Step{Kind: StepAsk, Home: home, Part: part, Bound: s.homes.PartBound(s.bound, part)}
				return s.lastAsk
			}
		}
		s.tried++
		s.unreachable++
	}
	if s.unreachable > 0 || s.failures >= maxFailures {
		return s.admitLocally()
	}
	s.asker.fullUntil[s.workspace] = now.Add(s.shortestHold)
	return Step{Kind: StepRefused}
}

// allow reports whether a permit may be requested from a home. A suspect whose backoff
// has expired is probed by one request; other requests skip it until that request has
// a response or times out.
func (a *Asker) allow(now time.Time, home Home) bool {
	if !a.available(now, home) {
		return false
	}
	if known, ok := a.suspects[home.Name]; ok {
		known.until = now.Add(AskTimeout)
		a.suspects[home.Name] = known
	}
	if known, ok := a.regions[home.Region]; ok && known.unreachable {
		known.until = now.Add(AskTimeout)
		a.regions[home.Region] = known
	}
	return true
}

// available reports whether neither the home nor its region is in backoff.
func (a *Asker) available(now time.Time, home Home) bool {
	return !now.Before(a.suspects[home.Name].until) && !now.Before(a.regions[home.Region].until)
}

// admitLocally admits the request without a home, within the entry's even share of the
// bound. The share is at least one.
func (s *Search) admitLocally() Step {
	entries := max(s.homes.Len(), 1)
	if s.asker.localRequests[s.workspace] >= max((s.bound+entries-1)/entries, 1) {
		return Step{Kind: StepRefusedAlone}
	}
	s.asker.localRequests[s.workspace]++
	return Step{Kind: StepAlone, Part: s.order[0], Bound: s.homes.PartBound(s.bound, s.order[0])}
}

// Ended records the end of a request that ran; local is set if StepAlone admitted it.
func (a *Asker) Ended(workspace string, local bool) {
	delete(a.fullUntil, workspace)
	if !local {
		return
	}
	a.localRequests[workspace]--
	if a.localRequests[workspace] <= 0 {
		delete(a.localRequests, workspace)
	}
}

// Suspects returns the number of homes that did not respond to their latest query.
func (a *Asker) Suspects() int { return len(a.suspects) }
