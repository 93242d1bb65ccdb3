package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"acaciawinch/standin/metastore"
)

// Timing of short silences of the store, each right after a change.
const (
	shortestUnheard = 100 * time.Millisecond
	longestUnheard  = 800 * time.Millisecond
	// maxSilenceDelay is the longest time between a change and the silence; readers pause for 0.4 s after a change of
	// the upstreams, and begin the next watch in the silence.
	maxSilenceDelay = 500 * time.Millisecond
	// quietAfterSilence is the time after the last silence of a series until the change that must be known in time.
	quietAfterSilence = 3 * time.Second
)

// verifySilences checks that a change is known in time after short silences of the store, each of which
// follows a change: a worker that is drained gets nothing new once drainWithin is over, and the newest
// configuration is served.
func (s *soak) verifySilences(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0x51e7))
	if s.options.Unheard == 0 {
		return
	}
	for range s.options.Unheard {
		for range 1 + random.IntN(maxSeries) {
			s.changeBeforeSilence(random)
			sleep(ctx, between(random, 0, maxSilenceDelay))
			s.ignoreCalls(ctx, between(random, shortestUnheard, longestUnheard))
		}
		sleep(ctx, quietAfterSilence)
		s.drainOne(ctx)
	}
	s.configure(false)
	limit, cancel := context.WithTimeout(ctx, drainWithin)
	defer cancel()
	for i := range s.fleet.Gateways {
		s.awaitService(limit, i)
	}
}

// changeBeforeSilence makes a change that readers hear of at once: of the configuration, or of a worker.
func (s *soak) changeBeforeSilence(random *rand.Rand) {
	if random.IntN(3) == 0 {
		s.configure(false)
		return
	}
	w := s.worker(random.IntN(1 << 16))
	s.register(w, "ready")
}

// ignoreCalls makes the store ignore the calls that begin within a time.
func (s *soak) ignoreCalls(ctx context.Context, length time.Duration) {
	s.away.Lock()
	defer s.away.Unlock()
	defer s.beginDisruption(allGateways, false)()
	s.note("the store ignores calls for " + length.String())
	s.fleet.Store.SetFaults(metastore.Faults{Unheard: true})
	sleep(ctx, length)
	s.fleet.Store.SetFaults(metastore.Faults{})
}
