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
	// limits are those of its upstreams.
	limits []*limit
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
		if q.Preview || !s.take(q, now) {
			waiting = append(waiting, q)
		}
	}
	for _, l := range s.limits {
		l.ahead = 0
	}
	s.queue = s.queue[:0]
	for _, q := range waiting {
		perSecond := q.perSecond()
		start := q.expectedWait(perSecond)
		switch {
		case now+start > q.until, now >= q.until && !q.Preview:
			s.refuse(q, start, perSecond, now)
		case q.Preview:
			s.grant(q, Entry{}, now)
		default:
			s.queue = append(s.queue, q)
			q.addAhead(perSecond)
		}
	}
}

// take takes a token for an ask, of its upstreams from the one with the most tokens, grants it and reports
// whether it did. An upstream whose limit has ended needs no token.
func (s *service) take(q *queuedAsk, now time.Duration) bool {
	var best *limit
	for _, l := range q.limits {
		if !l.named.Limited {
			s.grant(q, l.entry(), now)
			return true
		}
		if best == nil || l.bucket.tokens > best.bucket.tokens {
			best = l
		}
	}
	if best == nil || !best.bucket.take() {
		return false
	}
	best.granted[q.Ticket] = now
	s.grant(q, best.entry(), now)
	return true
}

// grant records the decision that an ask is granted.
func (s *service) grant(q *queuedAsk, entry Entry, now time.Duration) {
	s.decided = append(s.decided, Decision{Ticket: q.Ticket, Service: s.name, Granted: true, Entry: entry, At: now, Waited: now - q.askedAt})
}

// refuse records the decision that an ask is refused. Start is the expected wait, perSecond the rate of its
// upstreams.
func (s *service) refuse(q *queuedAsk, start time.Duration, perSecond float64, now time.Duration) {
	decision := Decision{Ticket: q.Ticket, Service: s.name, RetryAfter: start, Waited: now - q.askedAt, Ahead: len(s.queue)}
	if q.Returns {
		decision.RetryAfter = s.returns.next(now, start, perSecond)
	}
	s.decided = append(s.decided, decision)
}

// perSecond returns the rate of all upstreams of an ask together.
func (q *queuedAsk) perSecond() float64 {
	total := 0.0
	for _, l := range q.limits {
		total += Rate(l.named.PerSecond)
	}
	return max(total, minRate)
}

// addAhead counts an ask, spread over its upstreams by their rates, to those before later ones.
func (q *queuedAsk) addAhead(perSecond float64) {
	for _, l := range q.limits {
		l.ahead += Rate(l.named.PerSecond) / perSecond
	}
}

// expectedWait returns the time until an ask is granted behind those that are ahead of it.
func (q *queuedAsk) expectedWait(perSecond float64) time.Duration {
	before, tokens := 0.0, 0.0
	for _, l := range q.limits {
		before += l.ahead
		tokens += l.bucket.tokens
	}
	return max(0, timeFor(before+1-tokens, perSecond))
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
