package pools

import (
	"time"

	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// caller is a process of another gateway that has a session with this owner, or had one within the keep
// time of the pools. The Owner's lock guards it.
type caller struct {
	name, incarnation string
	// sessions is the number of its open sessions; endedAt is when the last of them ended.
	sessions int
	endedAt  time.Time
	// listed is set once the list of gateways has named this incarnation: one that is missing from the list
	// may otherwise not be known to it yet.
	listed bool
	// leaving is set once it has begun a planned stop, for which it removes itself from the list of gateways
	// while it still uses its results.
	leaving bool
}

// Identify names the caller of a session. Results that are handed to a session without a name, as that of a
// gateway of an earlier version, are kept until they are freed or expire.
func (s *Session) Identify(name, incarnation string, leaving bool) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.ended || incarnation == "" {
		return
	}
	if s.caller == nil {
		s.caller = o.callerOf(name, incarnation)
		s.caller.sessions++
	}
	s.caller.leaving = s.caller.leaving || leaving
}

// callerOf returns the caller with an incarnation. o.mu must be held.
func (o *Owner) callerOf(name, incarnation string) *caller {
	c := o.callers[incarnation]
	if c == nil {
		c = &caller{name: name, incarnation: incarnation, listed: o.listed[incarnation]}
		o.callers[incarnation] = c
	}
	return c
}

// leave records that a session of a caller has ended. o.mu must be held.
func (o *Owner) leave(c *caller, now time.Time) {
	if c == nil {
		return
	}
	c.sessions--
	c.endedAt = now
	o.freeIfGone(c, now)
}

// membersChanged takes the present list of the other gateways, and frees the results of those that are
// gone. o.mu must be held.
func (o *Owner) membersChanged(list []view.Member, now time.Time) {
	if len(list) == len(o.memberList) && (len(list) == 0 || &list[0] == &o.memberList[0]) {
		return // something else has changed: the View makes a new list for each change
	}
	o.memberList = list
	o.listed = make(map[string]bool, len(list))
	for _, member := range list {
		o.listed[member.Incarnation] = true
	}
	for _, c := range o.callers {
		c.listed = c.listed || o.listed[c.incarnation]
		o.freeIfGone(c, now)
	}
}

// isGone reports whether the process of a caller has ended: the list of gateways had named it and no
// longer does, or names another incarnation in its place. A caller with an open session is not gone,
// whatever the list says: a store that returns from an older copy lacks gateways that run. A caller that
// is listed may only have lost its link, and still uses its results.
func (o *Owner) isGone(c *caller) bool {
	return c.sessions == 0 && c.listed && !c.leaving && !o.listed[c.incarnation]
}

// freeIfGone frees the results that were handed to a caller that is gone: nobody reads them, and they would
// take room until they expire. Results of its running calls are freed as they arrive, as the end of a
// session ends its tasks. o.mu must be held.
func (o *Owner) freeIfGone(c *caller, now time.Time) {
	if !o.isGone(c) {
		return
	}
	delete(o.callers, c.incarnation)
	results, bytes := 0, int64(0)
	for _, p := range o.pools {
		handles, size := p.resultsOf(c)
		p.free(handles)
		results += len(handles)
		bytes += size
	}
	if results == 0 {
		return
	}
	o.metrics.freedOfGone.Inc(int64(results))
	o.logger.Event(event.PoolCallerGone, observe.Fields{"caller": c.name, "incarnation": c.incarnation, "results": results,
		"bytes": bytes, "ended_ms": now.Sub(c.endedAt).Milliseconds()})
}

// resultsOf returns the handles and the total size of the results that were handed to a caller. The
// Owner's lock must be held.
func (p *ownedPart) resultsOf(c *caller) (handles []string, bytes int64) {
	for handle, result := range p.results {
		if result.caller == c {
			handles = append(handles, handle)
			bytes += result.bytes
		}
	}
	return handles, bytes
}

// forgetCallers forgets the callers without sessions whose results have all expired. o.mu must be held.
func (o *Owner) forgetCallers(now time.Time) {
	var longest time.Duration
	for _, p := range o.pools {
		longest = max(longest, p.keepTime)
	}
	for incarnation, c := range o.callers {
		if c.sessions == 0 && now.Sub(c.endedAt) > longest {
			delete(o.callers, incarnation)
		}
	}
}
