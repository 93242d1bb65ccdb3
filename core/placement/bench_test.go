package placement_test

import (
	"fmt"
	"testing"

	"acaciawinch/core/placement"
)

// BenchmarkPropose measures one planning round at the size of the target deployment for
// long runs: 1,100 engines in 11 zones, 8 models with 130 replicas each.
func BenchmarkPropose(b *testing.B) {
	f := newTestFleet(1100, 11, placement.Rules{MaxLoads: 2000, ModelsPerEngine: 1})
	for i := range 8 {
		f.want(fmt.Sprintf("model-%d", i), "1", 130)
	}
	f.settle(b)
	b.ReportAllocs()
	for b.Loop() {
		placement.Propose(f.in)
	}
}
