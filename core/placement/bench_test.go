package placement_test

import (
	"fmt"
	"testing"

	"acaciawinch/core/placement"
)

// BenchmarkPropose measures one round's planning at the size of the long-run
// letter: 1,100 engines in 11 zones, 8 models with 130 replicas each.
func BenchmarkPropose(b *testing.B) {
	f := newBench(1100, 11, placement.Rules{MaxLoads: 2000, ModelsPerEngine: 1})
	for i := range 8 {
		f.want(fmt.Sprintf("model-%d", i), "1", 130)
	}
	f.settle(b)
	b.ReportAllocs()
	for b.Loop() {
		placement.Propose(f.in)
	}
}
