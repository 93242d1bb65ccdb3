package selection

import (
	"slices"
	"time"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Limits of what is remembered of shared parts.
const (
	// partLife is how long an engine is taken to keep a part that was sent to it, well below the
	// minute in which its memory fills; parts that are in use are sent again within seconds.
	partLife = 10 * time.Second
	// mostParts bounds the parts remembered, at an estimated 100 bytes each.
	mostParts = 4096
)

// sentPart is the engine that a shared part last went to from this process.
type sentPart struct {
	engine string
	at     time.Time
}

// SentPart records that a request with a shared part was sent to an engine.
func (c *Chooser) SentPart(key, id string, now time.Time) {
	if key == "" {
		return
	}
	if _, known := c.parts[key]; !known && len(c.parts) >= mostParts {
		c.forgetParts(now)
	}
	c.parts[key] = sentPart{engine: id, at: now}
}

// forgetParts drops the parts that are too old to say anything, or all if none is.
func (c *Chooser) forgetParts(now time.Time) {
	for key, part := range c.parts {
		if now.Sub(part.at) >= partLife {
			delete(c.parts, key)
		}
	}
	if len(c.parts) >= mostParts {
		clear(c.parts)
	}
}

// keeper returns the address of an engine from which the chosen one had better copy what
// that keeps of a prompt than read it again, empty if there is none: the engine that the
// shared part last went to, or the first other in the order of its key, where the part, or
// those before it, lie after a change of load or of the fleet.
func (c *Chooser) keeper(candidates []routes.Upstream, key string, chosen routes.Upstream, now time.Time) string {
	if key == "" {
		return ""
	}
	part, known := c.parts[key]
	recent := known && now.Sub(part.at) < partLife
	if recent && part.engine == chosen.ID {
		return ""
	}
	from := -1
	if recent {
		from = slices.IndexFunc(candidates, func(u routes.Upstream) bool { return u.ID == part.engine })
	}
	if from < 0 {
		from = firstOf(candidates, rendezvous.Hash(key), func(u routes.Upstream) bool { return u.ID != chosen.ID })
	}
	if from < 0 {
		return ""
	}
	return candidates[from].Address
}
