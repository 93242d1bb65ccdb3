package pool

import (
	"testing"
	"time"
)

// BenchmarkArrivalAtABusyPool measures the arrival of a task at a pool whose upstreams are
// all busy, with 300 tasks of six items waiting, as in a burst on 15 upstreams.
func BenchmarkArrivalAtABusyPool(b *testing.B) {
	p := newPool(15)
	for ticket := Ticket(1); ticket <= 300; ticket++ {
		p.Add(task(ticket, time.Duration(ticket)*time.Millisecond+time.Second), 6)
		p.Next(start)
	}
	b.ResetTimer()
	for n := range b.N {
		ticket := Ticket(1000 + n)
		p.Add(task(ticket, 2*time.Second), 6)
		p.Next(start)
		p.Wait(0, 0)
		p.Cancel(ticket)
	}
}
