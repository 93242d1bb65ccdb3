package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// Timing holds the feed's intervals. Zero fields take their defaults.
type Timing struct {
	// Heartbeat is how often a relay shows its subscribers that it lives.
	Heartbeat time.Duration
	// Silence is how long a subscriber waits for anything before it moves on.
	Silence time.Duration
	// HostsPoll is how often a relay reads the host list. While the list changes it
	// is read less often, as it comes whole each time then.
	HostsPoll time.Duration
	// FirstWait and LongestWait bound the waits between failed tries.
	FirstWait   time.Duration
	LongestWait time.Duration
	// Avoid is how long an entry whose feed failed is not asked again; it doubles
	// with each failure up to LongestAvoid.
	Avoid        time.Duration
	LongestAvoid time.Duration
	// CatchUp is the longest time that a newer revision, seen in a message, is
	// given to arrive by the feed before it is pulled.
	CatchUp time.Duration
}

// defaultTiming lets a subscriber notice a frozen relay within 1.2 s. A heartbeat
// is 6 bytes, but its segment and the acknowledgement are 104 bytes of headers, so
// it comes no more often than needed: 0.45 s may pass between its time and its
// arrival.
var defaultTiming = Timing{
	Heartbeat:    750 * time.Millisecond,
	Silence:      1200 * time.Millisecond,
	HostsPoll:    500 * time.Millisecond,
	FirstWait:    50 * time.Millisecond,
	LongestWait:  time.Second,
	Avoid:        2 * time.Second,
	LongestAvoid: time.Minute,
	CatchUp:      100 * time.Millisecond,
}

// withDefaults fills in what is zero.
func (t Timing) withDefaults() Timing {
	fill := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	fill(&t.Heartbeat, defaultTiming.Heartbeat)
	fill(&t.Silence, defaultTiming.Silence)
	fill(&t.HostsPoll, defaultTiming.HostsPoll)
	fill(&t.FirstWait, defaultTiming.FirstWait)
	fill(&t.LongestWait, defaultTiming.LongestWait)
	fill(&t.Avoid, defaultTiming.Avoid)
	fill(&t.LongestAvoid, defaultTiming.LongestAvoid)
	fill(&t.CatchUp, defaultTiming.CatchUp)
	return t
}

// backoff returns the wait before a try that follows failures ones: doubled with
// each, up to the longest, and by chance between half and the whole of it, so
// that processes that failed together don't come back together.
func (f *Feed) backoff(failures int) time.Duration {
	return f.jitter(doubled(f.timing.FirstWait, failures-1, f.timing.LongestWait))
}

// doubled returns first doubled n times, at most longest.
func doubled(first time.Duration, n int, longest time.Duration) time.Duration {
	wait := first
	for range n {
		wait = min(2*wait, longest)
	}
	return min(wait, longest)
}

// jitter returns a time by chance between half and the whole of longest.
func (f *Feed) jitter(longest time.Duration) time.Duration {
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return longest/2 + time.Duration(f.random.Int64N(int64(longest/2)+1))
}

// newRandom returns the random source of a feed.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// pause waits for a time and tells whether ctx is still alive.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
