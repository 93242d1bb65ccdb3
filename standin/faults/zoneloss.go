package faults

import (
	"context"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/harness"
)

// zoneLossFaults returns the faults that hit all processes in the zone of the request's
// entry at once.
func zoneLossFaults() []Fault {
	return []Fault{
		{Name: "zone killed", Affects: componentEntry | componentZone, EntryDown: true, HidesDispatch: true, Excludes: excludeNone,
			inject: killZone, heal: startZone},
		{Name: "zone frozen and woken", Affects: componentEntry | componentZone, EntryDown: true, HoldMessage: true, Excludes: excludeNone,
			inject: onZone((*harness.Process).Freeze), heal: resumeZone},
	}
}

// zoneUpstreams returns the upstreams in the zone of the cell's entry.
func (s *CellRun) zoneUpstreams() []*harness.Upstream {
	var upstreams []*harness.Upstream
	for _, u := range s.Site.Fleet.Upstreams {
		if u.Zone == s.zone() {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// onZone returns an injection that calls do in parallel with each process in the zone of
// the cell's entry.
func onZone(do func(*harness.Process) error) func(context.Context, *CellRun) error {
	return func(_ context.Context, s *CellRun) error {
		processes := []*harness.Process{s.Entry.Process}
		for _, u := range s.zoneUpstreams() {
			processes = append(processes, u.Side, u.Worker)
		}
		var group errgroup.Group
		for _, p := range processes {
			group.Go(func() error { return do(p) })
		}
		return group.Wait()
	}
}

// killZone kills the processes of the zone and makes dials of its sidecars fail.
func killZone(ctx context.Context, s *CellRun) error {
	err := onZone(func(p *harness.Process) error {
		p.Kill()
		return nil
	})(ctx, s)
	for _, u := range s.zoneUpstreams() {
		s.Site.taps[u.Name].Refuse()
	}
	return err
}

// startZone starts the processes of the zone again.
func startZone(ctx context.Context, s *CellRun) error {
	for _, u := range s.zoneUpstreams() {
		if err := s.Site.taps[u.Name].Accept(); err != nil {
			return err
		}
	}
	return onZone(func(p *harness.Process) error { return restart(ctx, p) })(ctx, s)
}

// resumeZone resumes the processes of the zone.
func resumeZone(ctx context.Context, s *CellRun) error {
	if err := onZone((*harness.Process).Resume)(ctx, s); err != nil {
		return err
	}
	s.armed.resume(ctx)
	return nil
}
