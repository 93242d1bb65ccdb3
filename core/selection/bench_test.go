package selection

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice of an engine: 49 of the deployments known, 400 of the
// size that is planned for.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{49, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list, c := engines(count), New()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Choose(list, fmt.Sprint("part ", i%64), nil, now)
			}
		})
	}
}
