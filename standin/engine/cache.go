package engine

import (
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/upstream"
)

// lossInterval determines which cache events are lost: every lossInterval-th event is not
// reported.
const lossInterval = 7

// maxHistory is the maximum number of cache events kept for readers.
const maxHistory = 1024

// cache is an LRU cache of prompt prefixes. Its events are reported with a delay and
// with gaps. It is safe for concurrent use.
type cache struct {
	capacity int
	lag      time.Duration

	mu sync.Mutex
	// prefixes is ordered by last use, the most recently used last.
	prefixes []uint64
	// number is the number of the last event, reported or lost.
	number  uint64
	history []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// newCache returns an empty cache whose events are visible after lag.
func newCache(capacity int, lag time.Duration) *cache {
	return &cache{capacity: capacity, lag: lag}
}

// touch marks a prefix as used, caches it, and reports whether it was cached
// before. Prefix 0 means that the prompt has no prefix.
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
		c.record(c.prefixes[0], "evicted", now)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.record(prefix, "stored", now)
	return false
}

// record numbers an event and adds it to the history, unless it is one of those that
// are lost (see lossInterval). The caller holds mu.
func (c *cache) record(prefix uint64, action string, now time.Time) {
	c.number++
	if c.number%lossInterval == 0 {
		return
	}
	event := upstream.CacheEvent{Number: c.number, Prefix: prefix, Action: action}
	c.history = append(c.history, timedEvent{at: now, event: event})
	if len(c.history) > maxHistory {
		c.history = c.history[1:]
	}
}

// events returns the visible events whose numbers are at least cursor: those that
// happened at least lag ago.
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
