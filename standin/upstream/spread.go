package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spread makes work times vary, as real ones do: a part of each time is fixed
// and the rest is drawn from an exponential distribution, so that the mean stays.
// A nil Spread leaves times as they are. It may be used by many goroutines.
type Spread struct {
	part float64

	mu     sync.Mutex
	random *rand.Rand
}

// NewSpread returns a Spread whose drawn part is from 0 to 1. Equal names give
// equal draws.
func NewSpread(part float64, name string) *Spread {
	return &Spread{part: part, random: rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))}
}

// Draw returns a time whose mean is nominal.
func (s *Spread) Draw(nominal time.Duration) time.Duration {
	if s == nil || s.part == 0 {
		return nominal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 - s.part + s.part*s.random.ExpFloat64()
	return time.Duration(float64(nominal) * factor)
}
