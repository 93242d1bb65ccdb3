package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAsk measures one ask of a busy service: 160 upstreams with limits and 300 waiting asks.
func BenchmarkAsk(b *testing.B) {
	c := NewCoordinator()
	var entries []Entry
	for i := range 160 {
		entry := Entry{Upstream: Upstream{ID: fmt.Sprint("u", i)}, Named: limited(1)}
		entries = append(entries, entry)
		c.Observe(0, "s", entry)
	}
	now := at(1)
	c.Vote(now, "g", []string{"s"})
	for number := range uint64(300) {
		c.Ask(now, Ask{Ticket: Ticket{Number: number}, Service: "s", Upstreams: entries, Wait: time.Hour})
	}
	b.ReportAllocs()
	for number := uint64(300); b.Loop(); number++ {
		now += 6 * time.Millisecond
		c.Vote(now, "g", []string{"s"})
		c.Ask(now, Ask{Ticket: Ticket{Number: number}, Service: "s", Upstreams: entries, Wait: time.Hour})
		c.Advance(now)
	}
}
