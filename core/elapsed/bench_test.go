package elapsed

import (
	"testing"
	"time"
)

// BenchmarkUsed measures one request of a route whose usual times are known.
func BenchmarkUsed(b *testing.B) {
	e := trained(0.1)
	for n := range b.N {
		e.Used(13*time.Second + time.Duration(n%1000)*time.Millisecond)
	}
}

// BenchmarkShortest measures the computation that follows every refreshAfter requests.
func BenchmarkShortest(b *testing.B) {
	e := trained(0.1)
	for range b.N {
		shortestOfFirst(e.announced)
	}
}
