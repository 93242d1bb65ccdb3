package ratelimit

import (
	"slices"
	"time"
)

const (
	// PermitTTL is how long after it was granted a permit may be used. It covers the way of the grant and the
	// opening of a connection.
	PermitTTL = 400 * time.Millisecond
	// voteFactor is how much more than its part of the votes a coordinator grants: gateways that have ended stay
	// in the list of gateways and don't vote.
	voteFactor = 1.3
	// endedTTL is how long a coordinator reports that a limit has ended.
	endedTTL = 30 * time.Second
)

// Ticket identifies an ask of one gateway.
type Ticket struct {
	// Gateway is the name of the gateway's session, Number its number of the ask.
	Gateway string
	Number  uint64
}

// Ask asks for a permit for one request.
type Ask struct {
	Ticket
	Service string
	// Upstreams are those that the request may be sent to, with their limits as the gateway knows
	// them. Any of them will do.
	Upstreams []Entry
	// Rank and Value order the asks: the lowest rank first, then the highest value.
	Rank  int
	Value float64
	// Wait is how long the request can wait for its permit; 0 if it is to be answered at once.
	Wait time.Duration
	// Optional is set if the request can go to an upstream without a limit.
	Optional bool
	// Returns is set if the client of a refused request comes back after RetryAfter.
	Returns bool
	// Preview is set to ask only whether the permit would be granted in time.
	Preview bool
}

// Decision answers an ask.
type Decision struct {
	Ticket  Ticket
	Service string
	Granted bool
	// Entry is the upstream that the permit is for, with its current limit, and At the time of the grant.
	Entry Entry
	At    time.Duration
	// RetryAfter is when a refused ask may be repeated.
	RetryAfter time.Duration
	// Waited is how long the ask was queued, Ahead how many asks went first when it was refused.
	Waited time.Duration
	Ahead  int
}

// Coordinator grants the permits of the services for which gateways chose this process. It is not safe
// for concurrent use.
type Coordinator struct {
	services map[string]*service
	gateways int
	version  uint64
	arrivals uint64
}

// service is the state of one service.
type service struct {
	name string
	// votes holds until when the vote of each gateway counts.
	votes   map[string]time.Duration
	limits  map[Upstream]*limit
	queue   []*queuedAsk
	returns returnSchedule
	decided []Decision
}

// limit is the limit of one upstream.
type limit struct {
	upstream Upstream
	named    Named
	version  uint64
	// changedAt is when it last changed.
	changedAt time.Duration
	bucket    bucket
	// ahead is the number of asks that go before the one that is looked at.
	ahead float64
	// granted holds the times of the latest grants, for those that are not used.
	granted map[Ticket]time.Duration
}

// NewCoordinator returns a Coordinator that knows no limits, in a fleet of one gateway.
func NewCoordinator() *Coordinator {
	return &Coordinator{services: make(map[string]*service), gateways: 1}
}

// SetGateways sets the number of gateways in the fleet.
func (c *Coordinator) SetGateways(now time.Duration, count int) {
	for _, s := range c.services {
		s.fill(now, c.gateways)
	}
	c.gateways = max(1, count)
}

// service returns the state of a service, which it creates if there is none.
func (c *Coordinator) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, votes: make(map[string]time.Duration), limits: make(map[Upstream]*limit)}
		c.services[name] = s
	}
	return s
}

// Vote records a gateway's votes: those on the given services, and on no others.
func (c *Coordinator) Vote(now time.Duration, gateway string, services []string) {
	for _, s := range c.services {
		if !slices.Contains(services, s.name) {
			s.fill(now, c.gateways)
			delete(s.votes, gateway)
		}
	}
	for _, name := range services {
		s := c.service(name)
		s.fill(now, c.gateways)
		s.votes[gateway] = now + VoteTTL
	}
}

// Votes returns the number of votes on a service.
func (c *Coordinator) Votes(now time.Duration, name string) int {
	s := c.services[name]
	if s == nil {
		return 0
	}
	s.fill(now, c.gateways)
	return len(s.votes)
}

// HasVote reports whether a gateway's vote on a service counts here.
func (c *Coordinator) HasVote(name, gateway string) bool {
	s := c.services[name]
	return s != nil && s.votes[gateway] > 0
}

// Observe records what a response has shown of a limit, and reports whether the limit has changed. A response
// to a request that was sent under the current version is newer than that version; of any other
// the order is unknown, and it only lowers the limit.
func (c *Coordinator) Observe(now time.Duration, name string, seen Entry) bool {
	s := c.service(name)
	s.fill(now, c.gateways)
	known := s.limits[seen.Upstream]
	switch {
	case known == nil && !seen.Named.Limited:
		return false
	case known == nil:
		s.limits[seen.Upstream] = c.newLimit(now, seen)
		return true
	case known.named == seen.Named:
		return false
	case seen.Version == known.version, seen.Named.Limited && (!known.named.Limited || seen.Named.PerSecond < known.named.PerSecond):
		c.version++
		known.named, known.version, known.changedAt = seen.Named, c.version, now
		return true
	default:
		return false
	}
}

// newLimit returns the state of a limit that has just become known.
func (c *Coordinator) newLimit(now time.Duration, seen Entry) *limit {
	c.version++
	return &limit{upstream: seen.Upstream, named: seen.Named, version: c.version, changedAt: now, bucket: bucket{at: now}, granted: make(map[Ticket]time.Duration)}
}

// Learn takes the limits that a gateway knows and this process does not, and reports whether there are any.
func (c *Coordinator) Learn(now time.Duration, name string, known []Entry) (learned bool) {
	s := c.service(name)
	for _, entry := range known {
		if s.limits[entry.Upstream] == nil && entry.Named.Limited {
			s.limits[entry.Upstream] = c.newLimit(now, entry)
			learned = true
		}
	}
	return learned
}

// Ask queues an ask and reports whether it has shown limits that were not known. Advance returns its
// decision.
func (c *Coordinator) Ask(now time.Duration, ask Ask) (learned bool) {
	learned = c.Learn(now, ask.Service, ask.Upstreams)
	s := c.service(ask.Service)
	c.arrivals++
	queued := &queuedAsk{Ask: ask, number: c.arrivals, askedAt: now, until: now + ask.Wait}
	for _, entry := range ask.Upstreams {
		l := s.limits[entry.Upstream]
		if l == nil {
			l = &limit{upstream: entry.Upstream} // an upstream without a limit
		}
		queued.limits = append(queued.limits, l)
	}
	s.queue = append(s.queue, queued)
	return learned
}

// Cancel drops an ask that nobody waits for any more.
func (c *Coordinator) Cancel(now time.Duration, ticket Ticket) {
	for _, s := range c.services {
		s.queue = slices.DeleteFunc(s.queue, func(q *queuedAsk) bool { return q.Ticket == ticket })
	}
	c.Unused(now, ticket)
}

// Leave drops the asks of a gateway's session that has ended. Its votes lapse by themselves.
func (c *Coordinator) Leave(gateway string) {
	for _, s := range c.services {
		s.queue = slices.DeleteFunc(s.queue, func(q *queuedAsk) bool { return q.Gateway == gateway })
	}
}

// Unused takes back a permit that was not used. It does nothing if the permit has expired since.
func (c *Coordinator) Unused(now time.Duration, ticket Ticket) {
	for _, s := range c.services {
		for _, l := range s.limits {
			at, known := l.granted[ticket]
			if !known {
				continue
			}
			delete(l.granted, ticket)
			if now-at < PermitTTL {
				l.bucket.putBack(Rate(l.named.PerSecond))
			}
			return
		}
	}
}

// Advance decides on the asks that can be decided now, and returns the decisions.
func (c *Coordinator) Advance(now time.Duration) []Decision {
	var decided []Decision
	for name, s := range c.services {
		s.fill(now, c.gateways)
		s.decide(now)
		decided = append(decided, s.decided...)
		s.decided = nil
		s.expire(now)
		if s.idle() {
			delete(c.services, name)
		}
	}
	return decided
}

// fill drops the votes that have lapsed and fills the buckets until now.
func (s *service) fill(now time.Duration, gateways int) {
	for gateway, until := range s.votes {
		if now >= until {
			delete(s.votes, gateway)
		}
	}
	part := s.part(gateways)
	for _, l := range s.limits {
		l.bucket.fill(now, Rate(l.named.PerSecond)*part)
	}
}

// part returns the part of the limits that the votes allow to grant.
func (s *service) part(gateways int) float64 {
	return min(1, voteFactor*float64(len(s.votes))/float64(gateways))
}

// expire forgets limits that ended long ago and grants whose permits have expired.
func (s *service) expire(now time.Duration) {
	for upstream, l := range s.limits {
		if !l.named.Limited && now-l.changedAt > endedTTL {
			delete(s.limits, upstream)
		}
		for ticket, at := range l.granted {
			if now-at >= PermitTTL {
				delete(l.granted, ticket)
			}
		}
	}
}

// idle reports whether there is nothing to remember of the service.
func (s *service) idle() bool { return len(s.votes) == 0 && len(s.limits) == 0 && len(s.queue) == 0 }

// Keep drops the limits of a service's upstreams for which listed returns false: those of incarnations that
// have ended.
func (c *Coordinator) Keep(name string, listed func(Upstream) bool) {
	s := c.services[name]
	if s == nil {
		return
	}
	for upstream := range s.limits {
		if !listed(upstream) {
			delete(s.limits, upstream)
		}
	}
}

// Services returns the names of the services with limits that are in force or have just ended.
func (c *Coordinator) Services() []string {
	var names []string
	for name, s := range c.services {
		if len(s.limits) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasEnded reports whether a limit of a service has ended a short while ago.
func (c *Coordinator) HasEnded(name string) bool {
	s := c.services[name]
	if s == nil {
		return false
	}
	for _, l := range s.limits {
		if !l.named.Limited {
			return true
		}
	}
	return false
}

// Entries returns the limits of a service that are in force or have just ended.
func (c *Coordinator) Entries(name string) []Entry {
	s := c.services[name]
	if s == nil {
		return nil
	}
	list := make([]Entry, 0, len(s.limits))
	for _, l := range s.limits {
		list = append(list, l.entry())
	}
	slices.SortFunc(list, func(a, b Entry) int { return compareUpstreams(a.Upstream, b.Upstream) })
	return list
}

// entry returns the limit as it is told to gateways.
func (l *limit) entry() Entry {
	return Entry{Upstream: l.upstream, Named: l.named, Version: l.version}
}

// NextAt returns when Advance should be called next, and false if nothing is queued.
func (c *Coordinator) NextAt(now time.Duration) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, s := range c.services {
		if len(s.queue) == 0 {
			continue
		}
		if at := s.nextAt(now, c.gateways); !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// nextAt returns when the next token accrues or the next ask has waited too long.
func (s *service) nextAt(now time.Duration, gateways int) time.Duration {
	next, part := now+VoteInterval, s.part(gateways)
	for _, l := range s.limits {
		if l.named.Limited {
			next = min(next, now+l.bucket.untilNext(Rate(l.named.PerSecond)*part))
		}
	}
	for _, q := range s.queue {
		next = min(next, q.until)
	}
	return max(next, now)
}
