package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// Times of the calm that follows the faults.
const (
	// recoverWithin is within which every gateway serves every route again.
	recoverWithin = 8 * time.Second
	// probePause is between two probes of a gateway.
	probePause = 100 * time.Millisecond
	// drainedFor is how long a drained worker is watched.
	drainedFor = time.Second
	// stopWithin bounds a planned stop and the start that follows.
	stopWithin = 10 * time.Second
)

// probePrefix begins the ids of the requests that the run itself sends.
const probePrefix = "probe-"

// calm checks what must hold once nothing is wrong any more: all gateways serve all
// routes with the newest configuration, a worker that is drained gets nothing new, and
// planned stops lose nothing.
func (s *soak) calm(ctx context.Context) error {
	for i, g := range s.fleet.Gateways {
		s.checkAlive(i)
		if !g.Running() {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	s.configure(false)
	limit, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for i := range s.fleet.Gateways {
		s.awaitService(limit, i)
	}
	s.drainOne(ctx)
	s.pauseOne(ctx)
	return s.rollingStop(ctx)
}

// awaitService waits until a gateway serves every route, that of the newest
// configuration too.
func (s *soak) awaitService(ctx context.Context, number int) {
	newest := fmt.Sprintf("extra-%d", s.version)
	for _, route := range append([]string{newest}, routes...) {
		for try := 0; !s.probe(number, route, try); try++ {
			if ctx.Err() != nil {
				s.violate("gateway %d does not serve %s %v after the last fault", number+1, route, recoverWithin)
				return
			}
			sleep(ctx, probePause)
		}
	}
}

// probe sends one request past the relay and tells whether it was served.
func (s *soak) probe(number int, route string, try int) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", s.fleet.Gateways[number].Clients)
	if err != nil {
		return false
	}
	c := &client{conn: conn}
	defer c.close()
	c.open()
	o := Outcome{ID: fmt.Sprintf("%s%d-%s-%d", probePrefix, number, route, try), Route: route, Key: platformfleet.Key}
	c.exchange(&o)
	return o.Status == http.StatusOK && o.Whole
}

// drainOne drains a plain worker and checks that it gets nothing new after the time
// within which that must be known.
func (s *soak) drainOne(ctx context.Context) {
	drained := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	s.enter(drained, "draining")
	sleep(ctx, drainWithin)
	before := len(drained.Runs())
	sleep(ctx, drainedFor)
	if after := len(drained.Runs()); after > before {
		s.violate("%s got %d requests later than %v after it was drained", drained.ID, after-before, drainWithin)
	}
	s.enter(drained, "ready")
}

// calmPause is the pause that a worker asks for while nothing else is wrong: longer than gateways
// leave an upstream alone that failed a request.
const calmPause = 3500 * time.Millisecond

// pauseOne lets a plain worker turn requests away for as long as it wants none.
func (s *soak) pauseOne(ctx context.Context) {
	paused := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	paused.Set(worker.Faults{Reject: 1 << 20, RetryAfter: calmPause})
	sleep(ctx, calmPause)
	paused.Set(worker.Faults{})
}

// workerOf returns the last worker of a service, as it runs now.
func (s *soak) workerOf(service string) entered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last entered
	for _, w := range s.workers {
		if w.service == service {
			last = w
		}
	}
	return last
}

// rollingStop stops and starts the gateways in turn while clients send.
func (s *soak) rollingStop(ctx context.Context) error {
	for number, g := range s.fleet.Gateways {
		limit, cancel := context.WithTimeout(ctx, stopWithin)
		err := s.stopOne(limit, number, g.Process)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// stopOne stops a gateway and starts it again.
func (s *soak) stopOne(ctx context.Context, number int, process *harness.Process) error {
	defer s.troubled(number, true)()
	s.mu.Lock()
	s.evidence.stops = append(s.evidence.stops, stop{gateway: number, at: time.Now()})
	s.mu.Unlock()
	if err := process.Terminate(ctx); err != nil {
		s.violate("gateway %d did not stop as planned: %v", number+1, err)
		process.Kill()
	}
	if err := process.Start(); err != nil {
		return err
	}
	return process.AwaitReady(ctx)
}
