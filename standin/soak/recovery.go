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

// Timing of the checks that follow the last fault.
const (
	// recoverWithin bounds the time until every gateway serves every route again.
	recoverWithin = 8 * time.Second
	// probeInterval is the time between two probes of a gateway.
	probeInterval = 100 * time.Millisecond
	// drainedFor is how long a drained worker is observed.
	drainedFor = time.Second
	// stopWithin bounds a planned stop together with the start that follows.
	stopWithin = 10 * time.Second
)

// probePrefix begins the ids of the requests that the run sends itself.
const probePrefix = "probe-"

// verifyRecovery checks what must hold when no fault is active any more: all gateways serve all
// routes of the newest configuration, a drained worker and a worker that is backed off get nothing
// new, and planned stops lose no request.
func (s *soak) verifyRecovery(ctx context.Context) error {
	for i, g := range s.fleet.Gateways {
		s.checkAlive(i)
		if !g.Running() {
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	s.checkMemory()
	s.configure(false)
	limit, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for i := range s.fleet.Gateways {
		s.awaitService(limit, i)
	}
	s.awaitMembers(limit)
	s.drainOne(ctx)
	s.verifySilences(ctx)
	if s.options.Returns > 0 {
		s.verifyReturn(ctx)
	}
	s.backOffOne(ctx)
	if s.options.Limits > 0 {
		s.limitAll(ctx)
	}
	if s.options.Versions > 0 {
		if err := s.takeUpAfterLoss(ctx); err != nil {
			return err
		}
	}
	return s.rollingStop(ctx)
}

// awaitService waits until a gateway serves every route, also the one that only the newest
// configuration has.
func (s *soak) awaitService(ctx context.Context, index int) {
	newest := fmt.Sprintf("extra-%d", s.version)
	for _, route := range append([]string{newest}, routes...) {
		s.awaitRoute(ctx, index, route)
	}
}

// awaitRoute waits until a gateway serves a route. A violation says how often it was tried and how the last try
// ended, as one that took long leaves no time for others.
func (s *soak) awaitRoute(ctx context.Context, index int, route string) {
	for try := 0; ; try++ {
		began := time.Now()
		o := s.probe(index, route, try)
		if o.Status == http.StatusOK && o.Complete {
			return
		}
		if ctx.Err() != nil {
			s.addViolation("gateway %d does not serve %s %v after the last fault; of %d tries the last ended after %v with status %d %q",
				index+1, route, recoverWithin, try+1, time.Since(began).Round(time.Millisecond), o.Status, o.Err)
			return
		}
		sleep(ctx, probeInterval)
	}
}

// probe sends one request directly to a gateway, not through its relay.
func (s *soak) probe(index int, route string, try int) Outcome {
	o := Outcome{ID: fmt.Sprintf("%s%d-%s-%d", probePrefix, index, route, try), Route: route, Key: platformfleet.Key}
	if s.options.Parts > 0 {
		o.Prompt = soundPrompt(o.ID)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", s.fleet.Gateways[index].Clients)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	c := &client{conn: conn}
	defer c.close()
	c.resetReader()
	c.exchange(&o)
	return o
}

// drainOne drains a plain worker and checks that it gets nothing new once drainWithin is over.
func (s *soak) drainOne(ctx context.Context) {
	drained := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	s.register(drained, "draining")
	sleep(ctx, drainWithin)
	before := len(drained.Runs())
	sleep(ctx, drainedFor)
	if after := len(drained.Runs()); after > before {
		s.addViolation("%s got %d requests later than %v after it was drained", drained.ID, after-before, drainWithin)
	}
	s.register(drained, "ready")
}

// finalBackoff is the Retry-After of a worker while no fault is active: longer than gateways avoid an
// upstream that failed a request.
const finalBackoff = 3500 * time.Millisecond

// backOffOne makes a plain worker reject requests for as long as its Retry-After says.
func (s *soak) backOffOne(ctx context.Context) {
	limited := s.workerOf(s.fleet.ServiceOf(unsafeRoute))
	limited.SetFaults(worker.Faults{Reject: 1 << 20, RetryAfter: finalBackoff})
	sleep(ctx, finalBackoff)
	limited.SetFaults(worker.Faults{})
}

// workerOf returns the current incarnation of the last worker of a service.
func (s *soak) workerOf(service string) registeredWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last registeredWorker
	for _, w := range s.workers {
		if w.service == service {
			last = w
		}
	}
	return last
}

// rollingStop stops and starts the gateways one after the other while clients send requests.
func (s *soak) rollingStop(ctx context.Context) error {
	for index, g := range s.fleet.Gateways {
		limit, cancel := context.WithTimeout(ctx, stopWithin)
		err := s.stopOne(limit, index, g.Process)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// stopOne stops a gateway and starts it again.
func (s *soak) stopOne(ctx context.Context, index int, process *harness.Process) error {
	defer s.beginDisruption(index, true)()
	s.mu.Lock()
	s.evidence.stops = append(s.evidence.stops, stop{gateway: index, at: time.Now()})
	s.mu.Unlock()
	if err := process.Terminate(ctx); err != nil {
		s.addViolation("gateway %d did not stop as planned: %v", index+1, err)
		process.Kill()
	}
	if err := process.Start(); err != nil {
		return err
	}
	return process.AwaitReady(ctx)
}
