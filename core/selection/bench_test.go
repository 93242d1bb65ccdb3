package selection

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice among 49 engines, as in known deployments, and among
// 400, the size planned for.
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
