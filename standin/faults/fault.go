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

// Touch is a set of what a fault may harm.
type Touch int

// The parts that faults touch.
const (
	touchEntry Touch = 1 << iota
	touchSide
	touchUpstream
	touchLink
	touchStore
	// touchZone: the entry's availability zone, by a partition or as a whole.
	touchZone
)

// Scene is a request that stands at its step.
type Scene struct {
	Site *Site
	Step Step
	// Upstream is the one whose side the request is at.
	Upstream *harness.Upstream
	// Entry is the one that the request was sent to, or that the step is at.
	Entry *harness.Entry
	armed *armed
	// operation is the operators' command of a change.
	operation *operation
	// replaced is the side that another one has replaced.
	replaced *harness.Process
	// harmed lists requests that a part which the fault leaves alone did not answer.
	harmed []Exchange
}

// Fault is something that happens at a step.
type Fault struct {
	Name  string
	Touch Touch
	// Planned marks stops and changes that must not harm a request in flight.
	Planned bool
	// EntryGone marks faults that take the request's entry, so that its caller
	// asks again elsewhere with its key while the entry is gone.
	EntryGone bool
	// HoldOn keeps the step's message on its way until the caller has its final
	// answer, or asked again elsewhere.
	HoldOn bool
	// SideGone marks partitions that also end the side that the request is at: its
	// zone can lack an upstream then.
	SideGone bool
	// TakesWitnesses marks faults that end both the entry that wrote a claim and the
	// side that it names, so that nobody can tell whether it was dispatched.
	TakesWitnesses bool
	// Partition cuts the zone of the request's entry off; zero for other faults.
	Partition partition
	// Harmless marks faults in spite of which the first request must be answered.
	Harmless bool
	// Linger is how long the step is held after the fault, unless the process that
	// was told to stop ends before.
	Linger func(*Scene) *harness.Process
	// Over marks faults that have ended when inject returns.
	Over bool
	// Needs are options of the site.
	Needs siteOptions
	// At lists the courses' steps of a fault that is no request's.
	At []Kind
	// InRequest marks faults that only a single request meets.
	InRequest bool
	// Wins is the configuration that comes in force if another operator's change
	// wins; zero if there is none.
	Wins int
	// notice drains the upstream; nil means the operators' command.
	notice func(ctx context.Context, s *Scene) error
	// Excludes returns why the fault can't happen at a step, or "".
	Excludes func(Step) string
	// prepare, if set, is done before the request is sent.
	prepare func(ctx context.Context, s *Scene) error
	// inject makes the fault happen; heal ends it, when the caller has its final
	// answer or has asked again elsewhere.
	inject func(ctx context.Context, s *Scene) error
	heal   func(ctx context.Context, s *Scene) error
}

// tap returns the tap before the side that the request is at.
func (s *Scene) tap() *tap.Tap { return s.Site.taps[s.Upstream.Name] }

// always is the Excludes of a fault that can happen at every step.
func always(Step) string { return "" }

// none is a heal with nothing to do.
func none(context.Context, *Scene) error { return nil }

// restart starts a process again and waits until it is ready.
func restart(ctx context.Context, p *harness.Process) error {
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// killEntry ends the entry with SIGKILL.
func killEntry(_ context.Context, s *Scene) error {
	s.Entry.Kill()
	return nil
}

// startEntry starts the entry again.
func startEntry(ctx context.Context, s *Scene) error { return restart(ctx, s.Entry.Process) }

// killSide ends the side with SIGKILL. Dialling it fails from then on.
func killSide(_ context.Context, s *Scene) error {
	s.Upstream.Side.Kill()
	s.tap().Refuse()
	return nil
}

// startSide starts the side again.
func startSide(ctx context.Context, s *Scene) error {
	if err := restart(ctx, s.Upstream.Side); err != nil {
		return err
	}
	return s.tap().Accept()
}

// killWorker ends the upstream with SIGKILL.
func killWorker(_ context.Context, s *Scene) error {
	s.Upstream.Worker.Kill()
	return nil
}

// startWorker starts the upstream again. Its switches are off then.
func startWorker(ctx context.Context, s *Scene) error { return restart(ctx, s.Upstream.Worker) }

// freeze returns an injection that stops a process with SIGSTOP.
func freeze(choose func(*Scene) *harness.Process) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error { return choose(s).Freeze() }
}

// wake returns a heal that lets a frozen process go on.
func wake(choose func(*Scene) *harness.Process) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		if err := choose(s).Wake(); err != nil {
			return err
		}
		s.armed.resume(ctx)
		return nil
	}
}

// Choices of a process.
func entryProcess(s *Scene) *harness.Process  { return s.Entry.Process }
func sideProcess(s *Scene) *harness.Process   { return s.Upstream.Side }
func workerProcess(s *Scene) *harness.Process { return s.Upstream.Worker }

// stop returns an injection that asks a process to stop with SIGTERM.
func stop(choose func(*Scene) *harness.Process) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error { return choose(s).Interrupt() }
}

// stopTimeout bounds a planned stop.
const stopTimeout = 15 * time.Second

// lingerTime is longer than a process that stops as planned may take to end if it
// forgets what is in flight, and leaves a request time for the rest.
const lingerTime = 1700 * time.Millisecond

// linger holds a step at which work is in flight or its answer is on its way until
// the stopping process has ended, which it must not do, or the time has passed.
func (s *Scene) linger(ctx context.Context, f Fault) {
	if f.Linger == nil || s.Step.Kind != kindFlight && s.Step.Kind != kindAnswer {
		return
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-f.Linger(s).Exited():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitStop waits until a process has ended with code 0.
func awaitStop(ctx context.Context, p *harness.Process) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return p.AwaitExit(ctx)
}

// stoppedEntry waits for the entry's end and starts it again.
func stoppedEntry(ctx context.Context, s *Scene) error {
	if err := awaitStop(ctx, s.Entry.Process); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	return startEntry(ctx, s)
}

// stoppedSide waits for the side's end and starts it again.
func stoppedSide(ctx context.Context, s *Scene) error {
	if err := awaitStop(ctx, s.Upstream.Side); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	s.tap().Refuse()
	return startSide(ctx, s)
}

// leave gives the engine's notice and marks the host as leaving.
func leave(ctx context.Context, s *Scene) error {
	name := s.Upstream.Name
	if err := s.Site.control(ctx, name, func(c *upstream.Control) { c.Leaving = true }); err != nil {
		return err
	}
	return s.Site.Fleet.SetLeaving(ctx, name, true)
}

// left stops the upstream, which must have nothing in flight, and lets it return.
func left(ctx context.Context, s *Scene) error {
	if err := s.Upstream.Worker.Interrupt(); err != nil {
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

// setObjects returns an injection that sets the switches of the object API.
func setObjects(control objectstore.Control) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error { return s.Site.Fleet.SetObjects(ctx, control) }
}

// both joins two injections or heals.
func both(first, second func(context.Context, *Scene) error) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		if err := first(ctx, s); err != nil {
			return err
		}
		return second(ctx, s)
	}
}

// tamper returns a preparation that changes all events of the step's stage.
func tamper(change tap.NewTamper) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		for _, u := range s.Site.Fleet.Service(services[s.Step.Stage]) {
			s.Site.taps[u.Name].Tamper(change)
		}
		return nil
	}
}

// replay is a preparation that sends every Run of the step's stage to the side
// twice more, as soon as the first one has ended.
func replay(_ context.Context, s *Scene) error {
	for _, u := range s.Site.Fleet.Service(services[s.Step.Stage]) {
		s.Site.taps[u.Name].Replay(2)
	}
	return nil
}

// untamper ends what tamper and replay began.
func untamper(_ context.Context, s *Scene) error {
	for _, t := range s.Site.taps {
		t.Tamper(nil)
		t.Replay(0)
	}
	return nil
}
