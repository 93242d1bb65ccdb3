package routing

import (
	"fmt"
	"testing"

	"acaciawinch/core/fleet"
)

// targetFleet returns a fleet of the size the project is designed for: 1,100 upstreams of
// five services in 11 zones of 4 regions, seen from zone "a" of region "r".
func targetFleet() []fleet.Host {
	var hosts []fleet.Host
	for i := range 1100 {
		zone := fmt.Sprint("zone-", i%11)
		region := fmt.Sprint("region-", i%11/3)
		if i%11 == 0 {
			zone, region = "a", "r"
		}
		hosts = append(hosts, fleet.Host{
			Name: fmt.Sprint("u", i), Role: fleet.RoleUpstream, Zone: zone, Region: region,
			Service: []string{"llm", "encoder", "retriever", "reranker", "service"}[i/11%5], Addr: fmt.Sprint("u", i),
		})
	}
	return hosts
}

// BenchmarkDecision measures the processor time of one decision with its replies in the
// target fleet.
func BenchmarkDecision(b *testing.B) {
	queries := map[string]Query{"plain": plainQuery, "prefix": {Service: "llm", Engine: true, Prefix: 7}}
	for name, q := range queries {
		b.Run(name, func(b *testing.B) {
			h := newHarness(Probe2, 1, targetFleet()...)
			b.ReportAllocs()
			for b.Loop() {
				h.now = h.now.Add(100 * ms)
				h.choose(q)
				h.probed = h.probed[:0]
			}
		})
	}
}

// BenchmarkPicker measures the processor time of applying a changed host list.
func BenchmarkPicker(b *testing.B) {
	source := sourceOf(targetFleet()...)
	b.ReportAllocs()
	for b.Loop() {
		NewPicker(source)
	}
}
