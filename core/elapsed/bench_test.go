package elapsed

import (
	"testing"
	"time"
)

// BenchmarkUsed times one request of a route whose clients are known.
func BenchmarkUsed(b *testing.B) {
	e := learned(0.1)
	for n := range b.N {
		e.Used(13*time.Second + time.Duration(n%1000)*time.Millisecond)
	}
}

// BenchmarkShortest times what is worked out anew after refresh requests.
func BenchmarkShortest(b *testing.B) {
	e := learned(0.1)
	for range b.N {
		shortestOfFirst(e.announced)
	}
}
