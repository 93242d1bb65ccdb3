package pace

import (
	"math/bits"
	"time"
)

const (
	// usualHalfLife is the half-life of the usual times to the first event, which change with the load of the
	// whole service only.
	usualHalfLife = 30 * time.Second
	// maxUsualWeight bounds the streams that one usual time stands for.
	maxUsualWeight = 200
	// minUsualWeight is how many streams a usual time needs.
	minUsualWeight = 5
	// sizes is the number of classes of prompts; class n has prompts of up to 2^n - 1 tokens.
	sizes = 24
)

// usual is the usual time to the first event of a service by the size of the prompt.
type usual struct {
	bySize [sizes]average
}

// sizeOf returns the class of a number of tokens.
func sizeOf(tokens int) int { return min(bits.Len(uint(max(0, tokens))), sizes-1) }

// add adds the time to the first event of one stream.
func (u *usual) add(tokens int, seconds float64, now time.Time) {
	u.bySize[sizeOf(tokens)].add(seconds, 1, now, usualHalfLife, maxUsualWeight)
}

// seconds returns the usual time for a number of tokens, or that of the next known class, and false if none
// is known.
func (u *usual) seconds(tokens int, now time.Time) (float64, bool) {
	size := sizeOf(tokens)
	for distance := range sizes {
		for _, near := range [...]int{size - distance, size + distance} {
			if near < 0 || near >= sizes {
				continue
			}
			if a := &u.bySize[near]; a.weightAt(now, usualHalfLife) >= minUsualWeight {
				return a.value(), true
			}
		}
	}
	return 0, false
}
