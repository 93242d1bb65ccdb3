package engine

import (
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/upstream"
)

// gapEvery is how many cache events come for each one that is lost.
const gapEvery = 7

// keptEvents bounds the history of cache events.
const keptEvents = 1024

// cache is a bounded set of prompt prefixes, the least recently used evicted
// first. Its events are reported late and with gaps. It may be used by many
// goroutines.
type cache struct {
	capacity int
	lag      time.Duration

	mu sync.Mutex
	// prefixes is in order of use, the latest last.
	prefixes []uint64
	number   uint64
	history  []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// newCache returns an empty cache.
func newCache(capacity int, lag time.Duration) *cache {
	return &cache{capacity: capacity, lag: lag}
}

// touch uses a prefix and tells whether it was cached. Prefix 0 means none.
func (c *cache) touch(prefix uint64, now time.Time) bool {
	if prefix == 0 || c.capacity == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	if len(c.prefixes) == c.capacity {
		c.note(c.prefixes[0], "evicted", now)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.note(prefix, "stored", now)
	return false
}

// note records an event, or loses it. The caller holds mu.
func (c *cache) note(prefix uint64, action string, now time.Time) {
	c.number++
	if c.number%gapEvery == 0 {
		return
	}
	event := upstream.CacheEvent{Number: c.number, Prefix: prefix, Action: action}
	c.history = append(c.history, timedEvent{at: now, event: event})
	if len(c.history) > keptEvents {
		c.history = c.history[1:]
	}
}

// events returns the events from cursor on that are old enough to be reported.
func (c *cache) events(cursor uint64, now time.Time) []upstream.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []upstream.CacheEvent{}
	for _, e := range c.history {
		if e.event.Number >= cursor && now.Sub(e.at) >= c.lag {
			found = append(found, e.event)
		}
	}
	return found
}
