package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spread varies work times as those of real upstreams vary: it draws a fixed fraction
// of each time from an exponential distribution that keeps the mean, and leaves the
// remainder as it is. A nil Spread leaves times unchanged. It is safe for concurrent use.
type Spread struct {
	// fraction is the part of each time that is drawn, from 0 to 1.
	fraction float64

	mu     sync.Mutex
	random *rand.Rand
}

// NewSpread returns a Spread that draws the given fraction (0 to 1) of each time.
// The name seeds the draws: equal names give equal draws.
func NewSpread(fraction float64, name string) *Spread {
	return &Spread{fraction: fraction, random: rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))}
}

// Draw returns a random duration whose mean is nominal.
func (s *Spread) Draw(nominal time.Duration) time.Duration {
	if s == nil || s.fraction == 0 {
		return nominal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 - s.fraction + s.fraction*s.random.ExpFloat64()
	return time.Duration(float64(nominal) * factor)
}
