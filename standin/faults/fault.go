package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
	"acaciawinch/standin/upstream"
)

// Components is a set of components of a deployment that a fault may affect.
type Components int

// The components of a deployment.
const (
	componentEntry Components = 1 << iota
	componentSide
	componentUpstream
	componentLink
	componentStore
	// componentZone is the entry's availability zone, affected by a partition or as a whole.
	componentZone
)

// CellRun is the state of one run of a cell, whose request or scenario is stopped at a
// step.
type CellRun struct {
	Site *Site
	Step Step
	// Upstream is the upstream whose sidecar the request is at.
	Upstream *harness.Upstream
	// Entry is the entry that the request was sent to, or that the step takes place at.
	Entry *harness.Entry
	armed *armedStep
	// operation is the run of the operators' command that makes a change.
	operation *operation
	// replaced is the sidecar that has been replaced.
	replaced *harness.Process
	// harmed lists requests that were not answered although the fault does not affect
	// the components that they need.
	harmed []Exchange
}

// Fault is a failure, a planned stop or a change that happens at a step.
type Fault struct {
	Name    string
	Affects Components
	// Planned marks stops and changes that must not harm a request in flight.
	Planned bool
	// EntryDown marks faults that take down the request's entry, so that its caller
	// retries with its key through another entry meanwhile.
	EntryDown bool
	// HoldMessage keeps holding the step's message until the caller has its final
	// response, or has retried through another entry.
	HoldMessage bool
	// SideDown marks partitions that also take down the sidecar that the request is at:
	// its zone may then lack an upstream.
	SideDown bool
	// HidesDispatch marks faults that take down both the entry that wrote a claim and
	// the sidecar that the claim names, so that no process knows whether the claimed
	// stage was dispatched.
	HidesDispatch bool
	// Partition cuts off the zone of the request's entry; zero for other faults.
	Partition partition
	// Harmless marks faults despite which the first request must be answered.
	Harmless bool
	// Stopping returns the process that stops as planned. The step is held until that
	// process exits, or for earlyExitLimit.
	Stopping func(*CellRun) *harness.Process
	// EndsItself marks faults that have ended when inject returns.
	EndsItself bool
	// Needs are the site options that the fault needs.
	Needs siteOptions
	// ScenarioSteps lists the steps of a fault that happens in scenarios only.
	ScenarioSteps []Kind
	// InRequest marks faults that only a single request can meet.
	InRequest bool
	// WinningChange is the configuration that comes into force if another operator's
	// change wins; zero if there is none.
	WinningChange int
	// notice announces that the upstream leaves; nil means the operators' command.
	notice func(ctx context.Context, s *CellRun) error
	// Excludes returns why the fault can't happen at a step, or "".
	Excludes func(Step) string
	// prepare, if set, runs before the request is sent.
	prepare func(ctx context.Context, s *CellRun) error
	// inject makes the fault happen; heal ends it once the caller has its final response
	// or has retried through another entry.
	inject func(ctx context.Context, s *CellRun) error
	heal   func(ctx context.Context, s *CellRun) error
}

// tap returns the proxy to the sidecar that the request is at.
func (s *CellRun) tap() *tap.Tap { return s.Site.taps[s.Upstream.Name] }

// excludeNone is the Excludes function of a fault that can happen at every step.
func excludeNone(Step) string { return "" }

// noop is an injection or heal that does nothing.
func noop(context.Context, *CellRun) error { return nil }

// restart starts a process again and waits until it is ready.
func restart(ctx context.Context, p *harness.Process) error {
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// killEntry kills the entry with SIGKILL.
func killEntry(_ context.Context, s *CellRun) error {
	s.Entry.Kill()
	return nil
}

// startEntry starts the entry again.
func startEntry(ctx context.Context, s *CellRun) error { return restart(ctx, s.Entry.Process) }

// killSide kills the sidecar with SIGKILL and makes dials of it fail.
func killSide(_ context.Context, s *CellRun) error {
	s.Upstream.Side.Kill()
	s.tap().Refuse()
	return nil
}

// startSide starts the sidecar again.
func startSide(ctx context.Context, s *CellRun) error {
	if err := restart(ctx, s.Upstream.Side); err != nil {
		return err
	}
	return s.tap().Accept()
}

// killWorker kills the upstream with SIGKILL.
func killWorker(_ context.Context, s *CellRun) error {
	s.Upstream.Worker.Kill()
	return nil
}

// startWorker starts the upstream again, with all controls off.
func startWorker(ctx context.Context, s *CellRun) error { return restart(ctx, s.Upstream.Worker) }

// freeze returns an injection that suspends a process with SIGSTOP.
func freeze(choose func(*CellRun) *harness.Process) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error { return choose(s).Freeze() }
}

// resume returns a heal that resumes a frozen process.
func resume(choose func(*CellRun) *harness.Process) func(context.Context, *CellRun) error {
	return func(ctx context.Context, s *CellRun) error {
		if err := choose(s).Resume(); err != nil {
			return err
		}
		s.armed.resume(ctx)
		return nil
	}
}

// entryProcess selects the entry for freeze, resume, stop or Fault.Stopping.
func entryProcess(s *CellRun) *harness.Process { return s.Entry.Process }

// sideProcess selects the sidecar as entryProcess does the entry.
func sideProcess(s *CellRun) *harness.Process { return s.Upstream.Side }

// workerProcess selects the upstream as entryProcess does the entry.
func workerProcess(s *CellRun) *harness.Process { return s.Upstream.Worker }

// stop returns an injection that requests a planned stop of a process with SIGTERM.
func stop(choose func(*CellRun) *harness.Process) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error { return choose(s).SignalTerminate() }
}

// stopTimeout bounds a planned stop.
const stopTimeout = 15 * time.Second

// earlyExitLimit exceeds the time in which a process that disregards its work in flight
// exits on a planned stop, and leaves a request enough of its deadline to complete.
const earlyExitLimit = 1700 * time.Millisecond

// awaitEarlyExit holds a step at which work is in flight or its response is in transit
// until the stopping process has exited, which would be a fault, or earlyExitLimit has
// passed.
func (s *CellRun) awaitEarlyExit(ctx context.Context, f Fault) {
	if f.Stopping == nil || s.Step.Kind != kindFlight && s.Step.Kind != kindResponse {
		return
	}
	timer := time.NewTimer(earlyExitLimit)
	defer timer.Stop()
	select {
	case <-f.Stopping(s).Exited():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitStop waits until a process has exited with code 0.
func awaitStop(ctx context.Context, p *harness.Process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return p.AwaitExit(ctx)
}

// awaitEntryStop waits until the entry has stopped and starts it again.
func awaitEntryStop(ctx context.Context, s *CellRun) error {
	if err := awaitStop(ctx, s.Entry.Process); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	return startEntry(ctx, s)
}

// awaitSideStop waits until the sidecar has stopped and starts it again.
func awaitSideStop(ctx context.Context, s *CellRun) error {
	if err := awaitStop(ctx, s.Upstream.Side); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	s.tap().Refuse()
	return startSide(ctx, s)
}

// leave announces that the upstream leaves, through the engine's notice and the host
// list.
func leave(ctx context.Context, s *CellRun) error {
	name := s.Upstream.Name
	if err := s.Site.control(ctx, name, func(c *upstream.Control) { c.Leaving = true }); err != nil {
		return err
	}
	return s.Site.Fleet.SetLeaving(ctx, name, true)
}

// stopAndReturn stops the upstream, which must have nothing in flight, starts it again
// and withdraws the notice.
func stopAndReturn(ctx context.Context, s *CellRun) error {
	if err := s.Upstream.Worker.SignalTerminate(); err != nil {
		return err
	}
	if err := awaitStop(ctx, s.Upstream.Worker); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	if err := startWorker(ctx, s); err != nil {
		return err
	}
	name := s.Upstream.Name
	if err := s.Site.control(ctx, name, func(c *upstream.Control) { c.Leaving = false }); err != nil {
		return err
	}
	return s.Site.Fleet.SetLeaving(ctx, name, false)
}

// setObjects returns an injection that sets the controls of the object API.
func setObjects(control objectstore.Control) func(context.Context, *CellRun) error {
	return func(ctx context.Context, s *CellRun) error { return s.Site.Fleet.SetObjects(ctx, control) }
}

// both returns a function that runs two injections or heals in order.
func both(first, second func(context.Context, *CellRun) error) func(context.Context, *CellRun) error {
	return func(ctx context.Context, s *CellRun) error {
		if err := first(ctx, s); err != nil {
			return err
		}
		return second(ctx, s)
	}
}

// tamper returns a preparation that changes all events of the step's stage.
func tamper(change tap.NewTamper) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error {
		for _, u := range s.Site.Fleet.Service(services[s.Step.Stage]) {
			s.Site.taps[u.Name].Tamper(change)
		}
		return nil
	}
}

// replay is a preparation that sends every Run of the step's stage to the sidecar two
// more times, as soon as the first one has ended.
func replay(_ context.Context, s *CellRun) error {
	for _, u := range s.Site.Fleet.Service(services[s.Step.Stage]) {
		s.Site.taps[u.Name].Replay(2)
	}
	return nil
}

// untamper ends the effects of tamper and replay.
func untamper(_ context.Context, s *CellRun) error {
	for _, t := range s.Site.taps {
		t.Tamper(nil)
		t.Replay(0)
	}
	return nil
}
