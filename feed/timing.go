package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// Timing holds the intervals of a feed. Zero fields take their defaults.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of an origin.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a subscriber waits for a message before it chooses
	// another provider.
	SilenceTimeout time.Duration
	// HostsPollInterval is the longest time between two reads of the host list by a
	// relay. A list that just changed is read less often, since each read returns it whole.
	HostsPollInterval time.Duration
	// MinBackoff and MaxBackoff bound the waits between failed attempts, before jitter.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MinAvoidance is how long an entry whose feed failed is not chosen again; the time
	// doubles with each failure up to MaxAvoidance.
	MinAvoidance time.Duration
	MaxAvoidance time.Duration
	// CatchUpTimeout is the longest time that the feed has to deliver a newer revision,
	// seen in a message, before the revision is pulled.
	CatchUpTimeout time.Duration
}

// defaultTiming lets a subscriber detect a frozen relay within 1.2 s. A heartbeat is 6
// bytes, but its segment and the acknowledgement are 104 bytes of headers, so it is
// sent no more often than needed: it may arrive up to 0.45 s late.
var defaultTiming = Timing{
	HeartbeatInterval: 750 * time.Millisecond,
	SilenceTimeout:    1200 * time.Millisecond,
	HostsPollInterval: 500 * time.Millisecond,
	MinBackoff:        50 * time.Millisecond,
	MaxBackoff:        time.Second,
	MinAvoidance:      2 * time.Second,
	MaxAvoidance:      time.Minute,
	CatchUpTimeout:    100 * time.Millisecond,
}

// withDefaults returns t with its zero fields replaced by the defaults.
func (t Timing) withDefaults() Timing {
	fill := func(value *time.Duration, defaultValue time.Duration) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	fill(&t.HeartbeatInterval, defaultTiming.HeartbeatInterval)
	fill(&t.SilenceTimeout, defaultTiming.SilenceTimeout)
	fill(&t.HostsPollInterval, defaultTiming.HostsPollInterval)
	fill(&t.MinBackoff, defaultTiming.MinBackoff)
	fill(&t.MaxBackoff, defaultTiming.MaxBackoff)
	fill(&t.MinAvoidance, defaultTiming.MinAvoidance)
	fill(&t.MaxAvoidance, defaultTiming.MaxAvoidance)
	fill(&t.CatchUpTimeout, defaultTiming.CatchUpTimeout)
	return t
}

// backoff returns the wait before the next attempt after a number of consecutive
// failures. The wait doubles with each failure up to MaxBackoff and is jittered, so that
// processes that failed together do not retry together.
func (f *Feed) backoff(failures int) time.Duration {
	return f.jitter(doubled(f.timing.MinBackoff, failures-1, f.timing.MaxBackoff))
}

// doubled returns first doubled n times, at most longest.
func doubled(first time.Duration, n int, longest time.Duration) time.Duration {
	wait := first
	for range n {
		wait = min(2*wait, longest)
	}
	return min(wait, longest)
}

// jitter returns a random duration between half of longest and longest.
func (f *Feed) jitter(longest time.Duration) time.Duration {
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return longest/2 + time.Duration(f.random.Int64N(int64(longest/2)+1))
}

// newRandom returns a random source whose sequence seed determines.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// sleep waits for the duration and reports whether ctx is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
