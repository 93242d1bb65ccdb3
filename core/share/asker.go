package share

import (
	"time"

	"acaciawinch/core"
)

// Timeouts and backoffs of an entry that requests permits.
const (
	// AcquireTimeout is the timeout of a permit request. It is longer than the four round
	// trips that a call to another region takes on a new connection.
	AcquireTimeout = 300 * time.Millisecond
	// suspectBackoff and maxSuspectBackoff are the initial and the longest backoff
	// from a home that did not respond.
	suspectBackoff    = time.Second
	maxSuspectBackoff = 10 * time.Second
)

// maxFailures is the number of failed permit requests after which a Search ends.
const maxFailures = 2

// Client is the state of an entry that requests permits from homes. It is not safe for
// concurrent use.
type Client struct {
	// suspects holds the homes that did not respond to their latest query, by name.
	suspects map[string]failureState
	// regions holds the failures of homes by region.
	regions map[string]regionFailureState
	// fullUntil is the time, by workspace, before which no permit is requested because
	// the bound was reached. The end of a request on this entry clears it.
	fullUntil map[string]time.Time
	// localRequests counts the locally admitted requests in flight, by workspace.
	localRequests map[string]int
	// incarnations holds the incarnation in each home's latest response, by name.
	incarnations map[string]core.Incarnation
}

// failureState is the backoff state of a home or region that did not respond.
type failureState struct {
	// until is the end of the backoff.
	until    time.Time
	failures int
}

// regionFailureState is the failure state of a region that may be unreachable. Permits are
// not requested from the region once two of its homes failed to respond, with no
// response from another home of the region in between.
type regionFailureState struct {
	failureState
	// lastHome is the home that failed to respond most recently.
	lastHome    string
	unreachable bool
}

// NewClient returns a Client without recorded failures.
func NewClient() *Client {
	return &Client{
		suspects:      make(map[string]failureState),
		regions:       make(map[string]regionFailureState),
		fullUntil:     make(map[string]time.Time),
		localRequests: make(map[string]int),
		incarnations:  make(map[string]core.Incarnation),
	}
}

// StepKind is the kind of the next step of a Search.
type StepKind int

// The steps of a search.
const (
	// StepAcquire: request a permit from Step.Home.
	StepAcquire StepKind = iota + 1
	// StepGranted: the request may run; a home granted the permit.
	StepGranted
	// StepGrantedLocally: the request may run; the entry admitted it locally because
	// homes did not respond.
	StepGrantedLocally
	// StepRefused: the workspace's bound is reached.
	StepRefused
	// StepRefusedLocally: homes did not respond and the entry's local share is in use.
	StepRefusedLocally
)

// Step is the next step of a Search.
type Step struct {
	Kind StepKind
	// Home, Part and Bound are the home to query and the part requested with
	// StepAcquire, and the home and part that granted the permit with StepGranted. With
	// StepGrantedLocally, Part and Bound are the part that should count the request;
	// Home is not set.
	Home  Home
	Part  int
	Bound int
}

// Search requests a permit for one request from one part after the other, starting
// at a random part, until a home grants it or all parts are full.
type Search struct {
	client    *Client
	homes     *Homes
	workspace string
	bound     int
	// order lists the parts in the order in which they are tried; tried counts those
	// that were full or had no reachable home.
	order    []int
	tried    int
	failures int
	// unreachable counts those of the tried parts that had no available home.
	unreachable int
	// shortestHold is the shortest AcquireResponse.Hold of the homes that refused.
	shortestHold time.Duration
	// lastQuery is the step of the permit request that was sent last.
	lastQuery Step
}

// Begin starts the search for a request's permit and returns its first step. The
// random number selects the first part.
func (c *Client) Begin(now time.Time, homes *Homes, workspace string, bound int, random uint64) (*Search, Step) {
	s := &Search{client: c, homes: homes, workspace: workspace, bound: bound, order: homes.order(workspace, bound, random)}
	if until, ok := c.fullUntil[workspace]; ok && now.Before(until) {
		return s, Step{Kind: StepRefused}
	}
	delete(c.fullUntil, workspace)
	return s, s.next(now)
}

// Responded records the response of the home that was queried last and returns the
// next step.
func (s *Search) Responded(now time.Time, response AcquireResponse) Step {
	delete(s.client.suspects, s.lastQuery.Home.Name)
	delete(s.client.regions, s.lastQuery.Home.Region)
	if response.Granted {
		step := s.lastQuery
		step.Kind = StepGranted
		return step
	}
	if s.tried == 0 || response.Hold < s.shortestHold {
		s.shortestHold = response.Hold
	}
	s.tried++
	return s.next(now)
}

// Failed records that the home that was queried last did not respond, and returns the
// next step.
func (s *Search) Failed(now time.Time) Step {
	s.failures++
	s.client.HomeFailed(now, s.homes, s.lastQuery.Home)
	return s.next(now)
}

// HomeFailed records that a home did not respond. The entry backs off from the home for a
// time that grows with each consecutive failure. It also backs off from the home's
// region if another home of the region failed before, unless it is the entry's own
// region.
func (c *Client) HomeFailed(now time.Time, homes *Homes, home Home) {
	c.suspects[home.Name] = c.suspects[home.Name].failedAgain(now)
	if home.Region == homes.ownRegion {
		return
	}
	region, known := c.regions[home.Region]
	if known && region.lastHome != home.Name || region.unreachable {
		region.failureState = region.failedAgain(now)
		region.unreachable = true
	}
	region.lastHome = home.Name
	c.regions[home.Region] = region
}

// failedAgain returns the state after a further failure at now.
func (s failureState) failedAgain(now time.Time) failureState {
	backoff := min(suspectBackoff<<min(s.failures, 4), maxSuspectBackoff)
	return failureState{until: now.Add(backoff), failures: s.failures + 1}
}

// next returns the next home to query, or the result of the search.
func (s *Search) next(now time.Time) Step {
	for s.failures < maxFailures && s.tried < len(s.order) {
		part := s.order[s.tried]
		for _, home := range s.homes.Of(s.workspace, part) {
			if s.client.allow(now, home) {
				s.lastQuery = Step{Kind: StepAcquire, Home: home, Part: part, Bound: s.homes.PartBound(s.bound, part)}
				return s.lastQuery
			}
		}
		s.tried++
		s.unreachable++
	}
	if s.unreachable > 0 || s.failures >= maxFailures {
		return s.admitLocally()
	}
	s.client.fullUntil[s.workspace] = now.Add(s.shortestHold)
	return Step{Kind: StepRefused}
}

// allow reports whether a permit may be requested from a home now. A home or region whose
// backoff has expired is probed by one request: allow extends the backoff by
// AcquireTimeout, so that other requests skip it until that request has a response or
// times out.
func (c *Client) allow(now time.Time, home Home) bool {
	if !c.available(now, home) {
		return false
	}
	if known, ok := c.suspects[home.Name]; ok {
		known.until = now.Add(AcquireTimeout)
		c.suspects[home.Name] = known
	}
	if known, ok := c.regions[home.Region]; ok && known.unreachable {
		known.until = now.Add(AcquireTimeout)
		c.regions[home.Region] = known
	}
	return true
}

// available reports whether neither the home nor its region is in backoff.
func (c *Client) available(now time.Time, home Home) bool {
	return !now.Before(c.suspects[home.Name].until) && !now.Before(c.regions[home.Region].until)
}

// admitLocally admits the request without a home, within the entry's even share of the
// bound. The share is at least one.
func (s *Search) admitLocally() Step {
	entries := max(s.homes.Len(), 1)
	if s.client.localRequests[s.workspace] >= max((s.bound+entries-1)/entries, 1) {
		return Step{Kind: StepRefusedLocally}
	}
	s.client.localRequests[s.workspace]++
	return Step{Kind: StepGrantedLocally, Part: s.order[0], Bound: s.homes.PartBound(s.bound, s.order[0])}
}

// RequestEnded records the end of a request that ran; local is set if StepGrantedLocally
// admitted it.
func (c *Client) RequestEnded(workspace string, local bool) {
	delete(c.fullUntil, workspace)
	if !local {
		return
	}
	c.localRequests[workspace]--
	if c.localRequests[workspace] <= 0 {
		delete(c.localRequests, workspace)
	}
}

// Suspects returns the number of homes that did not respond to their latest query.
func (c *Client) Suspects() int { return len(c.suspects) }
