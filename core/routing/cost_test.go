package routing

import (
	"fmt"
	"testing"

	"acaciawinch/core/fleet"
)

// letterHosts returns the letter's fleet: 1,100 upstreams of five services in
// 11 zones of 4 regions, seen from zone "a" of region "r".
func letterHosts() []fleet.Host {
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

// BenchmarkDecision is the processor time of one decision with its answers, at
// the letter's size.
func BenchmarkDecision(b *testing.B) {
	queries := map[string]Query{"plain": plain, "prefix": {Service: "llm", Engine: true, Prefix: 7}}
	for name, q := range queries {
		b.Run(name, func(b *testing.B) {
			w := newWorld(Probe2, 1, letterHosts()...)
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(100 * ms)
				w.choose(q)
				w.asked = w.asked[:0]
			}
		})
	}
}

// BenchmarkPicker is the processor time of taking over a changed host list.
func BenchmarkPicker(b *testing.B) {
	source := sourceOf(letterHosts()...)
	b.ReportAllocs()
	for b.Loop() {
		NewPicker(source)
	}
}
