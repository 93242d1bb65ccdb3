// Package silence decides how long an upstream may stay silent before a request that may be repeated
// is cancelled there and sent to another one. The limits follow from the times that the other upstreams
// of the service have recently taken. The package does no I/O and is not safe for concurrent use.
package silence

import "time"

// Limits of the time before a send is given up.
const (
	// usualFactor is the multiple of the usual time above which an upstream counts as silent.
	// Upstreams that are slower than the others for seconds by a factor of 2.5 are still slow only.
	usualFactor = 3
	// noise is the delay that an upstream or this process adds at any usual time. An upstream that is
	// slower by a factor of 2.5 for 0.6 s responds up to 0.36 s later.
	noise = 400 * time.Millisecond
	// pauseFactor is the multiple of the longest allowed pause between two events. Clients abandon
	// streams after eight times that pause; half of it is left for the second attempt.
	pauseFactor = 4
)

// Limits on the observations.
const (
	// minKnown is the number of observations at other upstreams that are needed: with fewer, the
	// usual time, a 90th percentile, would rest on one or two of them.
	minKnown = 20
	// recentCount is the number of the last sends to other upstreams that show whether the whole
	// service is slow, and maxSlowShare the share of them that may be above the limit.
	recentCount  = 20
	maxSlowShare = 0.25
	// maxKept and maxAge bound the observations of one series. A process with one request of a route
	// every few seconds still knows the usual time, and a change of load is seen within maxAge.
	maxKept = 128
	maxAge  = 90 * time.Second
	// maxSeries bounds the tables, at about 9 kB each entry. Beyond it, all are dropped and learned
	// again.
	maxSeries = 500
)

// Key identifies requests that usually take the same time: those of one route at one service.
type Key struct{ Service, Route string }

// Observation is the time that one send took.
type Observation struct {
	Upstream string
	Took     time.Duration
	// Cut is set if the send ended for another reason before that, so that it would have taken at
	// least Took.
	Cut bool
}

// Limit is the time after which a silent upstream is given up.
type Limit struct {
	After time.Duration
	// Usual is the usual time of the other upstreams, from which After follows.
	Usual time.Duration
	// ServiceSlow is set if many sends to other upstreams have reached the limit too. Nothing is given up then.
	ServiceSlow bool
}

// Send is what is asked about: a send whose upstream is silent.
type Send struct {
	Upstream string
	// Left is the time from the beginning of the silence until the client gives up.
	Left time.Duration
	// Waiting are the sends that wait for the same now, with the times that they have waited. They show that a
	// service has fallen silent as a whole before any of them ends.
	Waiting []Observation
}

// Table holds the observations of a process.
type Table struct {
	firsts, pauses map[Key]*series
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{firsts: make(map[Key]*series), pauses: make(map[Key]*series)}
}

// ObserveFirst records the time from a send to the first byte of its response, or to the first event of a
// stream.
func (t *Table) ObserveFirst(key Key, o Observation, now time.Time) {
	seriesOf(t.firsts, key).add(o, now)
}

// ObservePause records the longest time without an event within one stream.
func (t *Table) ObservePause(key Key, o Observation, now time.Time) {
	seriesOf(t.pauses, key).add(o, now)
}

// First returns after which time from its send a request is given up at an upstream that has sent nothing,
// or false if it never is.
func (t *Table) First(key Key, send Send, now time.Time) (Limit, bool) {
	usual, known := t.Usual(key, send.Upstream, now)
	if !known {
		return Limit{}, false
	}
	limit, inTime := usualLimit(usual, 0).before(send.Left - usual)
	limit.ServiceSlow = t.firsts[key].isSlow(send, limit.After, now)
	return limit, inTime
}

// Pause returns after which time without an event a stream is given up at an upstream, or false if it never
// is. Allowed is the longest pause that the route allows.
func (t *Table) Pause(key Key, send Send, allowed time.Duration, now time.Time) (Limit, bool) {
	first, known := t.Usual(key, send.Upstream, now)
	pauses := t.pauses[key]
	if !known || pauses == nil {
		return Limit{}, false
	}
	usual, known := pauses.usual(send.Upstream, now)
	if !known {
		return Limit{}, false
	}
	limit, inTime := usualLimit(usual, pauseFactor*allowed).before(send.Left - first)
	limit.ServiceSlow = pauses.isSlow(send, limit.After, now)
	return limit, inTime
}

// Usual returns within which time nine of ten sends to other upstreams get the first byte of their response,
// or false if too few are known.
func (t *Table) Usual(key Key, upstream string, now time.Time) (time.Duration, bool) {
	firsts := t.firsts[key]
	if firsts == nil {
		return 0, false
	}
	return firsts.usual(upstream, now)
}

// usualLimit returns the limit that follows from a usual time, which is at least least.
func usualLimit(usual, least time.Duration) Limit {
	return Limit{After: max(usualFactor*usual, usual+noise, least), Usual: usual}
}

// before returns the limit, moved to latest if it is after that. It returns false if latest is within the
// noise: the upstream may then just be slow, and the first attempt has the best chance.
func (l Limit) before(latest time.Duration) (Limit, bool) {
	l.After = min(l.After, latest)
	return l, l.After >= l.Usual+noise
}

// seriesOf returns the series of a key.
func seriesOf(all map[Key]*series, key Key) *series {
	s := all[key]
	if s == nil {
		if len(all) >= maxSeries {
			clear(all)
		}
		s = &series{}
		all[key] = s
	}
	return s
}
