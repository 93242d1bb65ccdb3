package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

// queuedAsk is an ask that waits for its permit.
type queuedAsk struct {
	Ask
	// number is the number of its arrival.
	number uint64
	// askedAt is when it arrived, until when it can be granted.
	askedAt, until time.Duration
}

// compareAsks orders asks by who is granted first: those that can go nowhere else, the lowest rank, the
// highest value, the first that came.
func compareAsks(a, b *queuedAsk) int {
	if a.Optional != b.Optional {
		if b.Optional {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.Value, a.Value), cmp.Compare(a.number, b.number))
}

// decide grants what the buckets allow, and refuses the asks that can't be granted in time.
func (s *service) decide(now time.Duration) {
	slices.SortStableFunc(s.queue, compareAsks)
	var waiting []*queuedAsk
	for _, q := range s.queue {
		if q.Preview {
			waiting = append(waiting, q)
		} else if upstream, ok := s.take(q, now); ok {
			s.grant(q, upstream, now)
		} else {
			waiting = append(waiting, q)
		}
	}
	s.queue = s.queue[:0]
	ahead := make(map[Upstream]float64, len(s.limits))
	for _, q := range waiting {
		start := s.expectedWait(q, ahead, now)
		if now+start > q.until || now >= q.until && !q.Preview {
			s.refuse(q, start, now)
			continue
		}
		if q.Preview {
			s.grant(q, Upstream{}, now)
			continue
		}
		s.queue = append(s.queue, q)
		s.addAhead(q, ahead)
	}
}

// take takes a token for an ask: of its upstreams, from the one with the most tokens. An upstream
// whose limit has ended needs none.
func (s *service) take(q *queuedAsk, now time.Duration) (Upstream, bool) {
	var best *limit
	var chosen Upstream
	for _, entry := range q.Upstreams {
		l := s.limits[entry.Upstream]
		if l == nil || !l.named.Limited {
			return entry.Upstream, true
		}
		if best == nil || l.bucket.tokens > best.bucket.tokens {
			best, chosen = l, entry.Upstream
		}
	}
	if best == nil || !best.bucket.take() {
		return Upstream{}, false
	}
	best.granted[q.Ticket] = now
	return chosen, true
}

// grant records the decision that an ask is granted.
func (s *service) grant(q *queuedAsk, upstream Upstream, now time.Duration) {
	entry := Entry{Upstream: upstream}
	if l := s.limits[upstream]; l != nil {
		entry = l.entry(upstream)
	}
	s.decided = append(s.decided, Decision{Ticket: q.Ticket, Service: s.name, Granted: true, Entry: entry, At: now, Waited: now - q.askedAt})
}

// refuse records the decision that an ask is refused. Start is the expected wait.
func (s *service) refuse(q *queuedAsk, start, now time.Duration) {
	decision := Decision{Ticket: q.Ticket, Service: s.name, RetryAfter: start, Waited: now - q.askedAt, Ahead: len(s.queue)}
	if q.Returns {
		decision.RetryAfter = s.returns.next(now, start, s.totalRate(q))
	}
	s.decided = append(s.decided, decision)
}

// totalRate returns the rate of all upstreams of an ask together.
func (s *service) totalRate(q *queuedAsk) float64 {
	total := 0.0
	for _, entry := range q.Upstreams {
		if l := s.limits[entry.Upstream]; l != nil {
			total += rate(l.named.PerSecond)
		}
	}
	return max(total, minRate)
}

// addAhead adds an ask to the expected number of requests before others, spread over its upstreams by their
// rates.
func (s *service) addAhead(q *queuedAsk, ahead map[Upstream]float64) {
	total := s.totalRate(q)
	for _, entry := range q.Upstreams {
		if l := s.limits[entry.Upstream]; l != nil {
			ahead[entry.Upstream] += rate(l.named.PerSecond) / total
		}
	}
}

// expectedWait returns the time until an ask is granted behind those that are ahead of it.
func (s *service) expectedWait(q *queuedAsk, ahead map[Upstream]float64, now time.Duration) time.Duration {
	before, tokens := 0.0, 0.0
	for _, entry := range q.Upstreams {
		before += ahead[entry.Upstream]
		if l := s.limits[entry.Upstream]; l != nil {
			tokens += l.bucket.tokens
		}
	}
	return max(0, timeFor(before+1-tokens, s.totalRate(q)))
}

const (
	// minReturn and maxReturn bound the Retry-After of a refused request.
	minReturn = 400 * time.Millisecond
	maxReturn = 30 * time.Second
)

// returnSchedule spreads the return of refused clients over what the limits can take.
type returnSchedule struct {
	// latest is the time for which the last refused client was asked to return.
	latest time.Duration
	// beyond counts the clients that could not be scheduled within maxReturn.
	beyond uint64
}

// next returns after which time a client that is refused now is to return. Start is the time that the
// queue takes, and perSecond the rate at which clients are served.
func (r *returnSchedule) next(now, start time.Duration, perSecond float64) time.Duration {
	at := max(r.latest, now+start) + timeFor(1, perSecond)
	if at-now <= maxReturn {
		r.latest = at
		return max(at-now, minReturn)
	}
	// The golden ratio spreads any number of clients evenly over the second half of maxReturn.
	const goldenRatio = 0.6180339887498949
	r.beyond++
	position := float64(r.beyond) * goldenRatio
	position -= float64(uint64(position))
	return maxReturn/2 + time.Duration(position*float64(maxReturn/2))
}
