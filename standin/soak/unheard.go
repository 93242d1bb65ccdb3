package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"acaciawinch/platform/document"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformfleet"
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
			s.ignoreCalls(ctx, between(random, shortestUnheard, longestUnheard), metastore.Faults{Unheard: true}, func() {})
		}
		sleep(ctx, quietAfterSilence)
		s.drainOne(ctx)
	}
	s.verifyEvacuation(ctx)
	s.configure(false)
	limit, cancel := context.WithTimeout(ctx, drainWithin)
	defer cancel()
	for i := range s.fleet.Gateways {
		s.awaitService(limit, i)
	}
}

// verifyEvacuation checks that the evacuation of a zone is in force in time although the store was silent right after another one: a
// worker in the zone gets nothing new.
func (s *soak) verifyEvacuation(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0xe7ac))
	const unused, evacuated = "unused-zone", "evacuated-zone"
	moved := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	s.fleet.RegisterIn(evacuated, moved.service, moved.Worker, "ready")
	// The call for the evacuations that follows the change is ignored: the silence begins between the two.
	s.ignoreCalls(ctx, between(random, shortestUnheard, longestUnheard), metastore.Faults{SilentKind: document.EvacuationKind}, func() { s.fleet.Evacuate(unused) })
	sleep(ctx, quietAfterSilence)
	s.note("the zone of " + moved.ID + " is evacuated")
	s.fleet.Evacuate(evacuated)
	sleep(ctx, platformfleet.EvacuateWithin)
	before := len(moved.Runs())
	sleep(ctx, drainedFor)
	if after := len(moved.Runs()); after > before {
		s.addViolation("%s got %d requests later than %v after its zone was evacuated", moved.ID, after-before, platformfleet.EvacuateWithin)
	}
	s.fleet.EndEvacuation(evacuated)
	s.fleet.EndEvacuation(unused)
	s.register(moved, "ready")
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

// ignoreCalls makes the store ignore calls that begin within a time, as faults say. A change is made at its beginning.
func (s *soak) ignoreCalls(ctx context.Context, length time.Duration, faults metastore.Faults, change func()) {
	s.away.Lock()
	defer s.away.Unlock()
	defer s.beginDisruption(allGateways, false)()
	s.note("the store ignores calls for " + length.String())
	s.fleet.Store.SetFaults(faults)
	change()
	sleep(ctx, length)
	s.fleet.Store.SetFaults(metastore.Faults{})
}
