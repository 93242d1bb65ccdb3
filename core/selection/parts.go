package selection

import (
	"slices"
	"time"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

const (
	// prefixTTL is how long an engine is assumed to cache a prefix that was sent to it, well below
	// the minute in which its memory fills; prefixes in use are sent again within seconds.
	prefixTTL = 10 * time.Second
	// maxPrefixes bounds the prefixes remembered, at an estimated 100 bytes each.
	maxPrefixes = 4096
)

// sentPrefix is the engine to which this process last sent a shared prefix.
type sentPrefix struct {
	engine string
	at     time.Time
}

// SentPrefix records that a request with the shared prefix of the given ID was sent to an engine.
func (c *Chooser) SentPrefix(prefixID, engineID string, now time.Time) {
	if prefixID == "" {
		return
	}
	if _, known := c.prefixes[prefixID]; !known && len(c.prefixes) >= maxPrefixes {
		c.evictPrefixes(now)
	}
	c.prefixes[prefixID] = sentPrefix{engine: engineID, at: now}
}

// evictPrefixes removes the prefixes older than prefixTTL, or all prefixes if that makes no
// room.
func (c *Chooser) evictPrefixes(now time.Time) {
	for prefixID, sent := range c.prefixes {
		if now.Sub(sent.at) >= prefixTTL {
			delete(c.prefixes, prefixID)
		}
	}
	if len(c.prefixes) >= maxPrefixes {
		clear(c.prefixes)
	}
}

// copySource returns the address of an engine from which the chosen engine can copy a cached
// prefix instead of computing it again, empty if there is none: the engine to which the shared
// prefix was last sent, or else the first other engine in the order of that prefix, which may have
// cached it, or shorter prefixes, before the load or the fleet changed.
func (c *Chooser) copySource(candidates []routes.Upstream, prefixID string, chosen routes.Upstream, now time.Time) string {
	if prefixID == "" {
		return ""
	}
	sent, known := c.prefixes[prefixID]
	recent := known && now.Sub(sent.at) < prefixTTL
	if recent && sent.engine == chosen.ID {
		return ""
	}
	from := -1
	if recent {
		from = slices.IndexFunc(candidates, func(u routes.Upstream) bool { return u.ID == sent.engine })
	}
	if from < 0 {
		from = highestScored(candidates, rendezvous.Hash(prefixID), func(u routes.Upstream) bool { return u.ID != chosen.ID })
	}
	if from < 0 {
		return ""
	}
	return candidates[from].Address
}
