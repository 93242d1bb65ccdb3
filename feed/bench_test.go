package feed

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
)

// BenchmarkChange measures a change of one workspace among 18,000, from the store to
// every subscriber. One subscriber in four is an entry, the others are sidecars. It also
// reports, for each subscriber, the bytes that the entries write and the processor time
// of all processes together, which includes the polling of this test.
func BenchmarkChange(b *testing.B) {
	for _, subscribers := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("subscribers=", subscribers), func(b *testing.B) { benchmarkChange(b, subscribers) })
	}
}

// benchmarkChange makes changes in a fleet of one relay and its subscribers.
func benchmarkChange(b *testing.B, subscribers int) {
	f := newTestFleet(b, calmTiming)
	f.change(largeWorkspaces())
	relay := f.start("relay", "z0", fleet.RoleEntry)
	f.awaitRevision(1, relay)
	var nodes []*node
	for i := range subscribers {
		role := fleet.RoleUpstream
		if i%4 == 0 {
			role = fleet.RoleEntry
		}
		// They are in a zone of their own, in which one of the entries is a relay.
		nodes = append(nodes, f.start(fmt.Sprint("s", i), "z1", role))
	}
	f.awaitRevision(1, nodes...)
	change := largeWorkspaces().PutWorkspaces[0]
	written, used := f.written(), processorTime()
	b.ResetTimer()
	for i := range b.N {
		change.Weight = 2 + i%2
		f.awaitRevision(f.change(config.Change{PutWorkspaces: []config.Workspace{change}}), nodes...)
	}
	b.StopTimer()
	each := float64(b.N * subscribers)
	b.ReportMetric(float64(f.written()-written)/each, "bytes/subscriber")
	b.ReportMetric(float64(processorTime()-used)/each, "cpu-ns/subscriber")
}

// written returns the bytes that all processes wrote to their subscribers.
func (f *testFleet) written() uint64 {
	total := uint64(0)
	for _, n := range f.nodes {
		total += n.server.Traffic().Written()
	}
	return total
}

// processorTime returns the processor time that this program has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
