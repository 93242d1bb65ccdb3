package faults

import (
	"context"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/harness"
)

// zoneLossFaults take all processes of the zone of the request's entry at once.
func zoneLossFaults() []Fault {
	return []Fault{
		{Name: "zone killed", Touch: touchEntry | touchZone, EntryGone: true, TakesWitnesses: true, Excludes: always,
			inject: killZone, heal: startZone},
		{Name: "zone frozen and woken", Touch: touchEntry | touchZone, EntryGone: true, HoldOn: true, Excludes: always,
			inject: onZone((*harness.Process).Freeze), heal: wakeZone},
	}
}

// zoneUpstreams returns the upstreams in the zone of the scene's entry.
func (s *Scene) zoneUpstreams() []*harness.Upstream {
	var found []*harness.Upstream
	for _, u := range s.Site.Fleet.Upstreams {
		if u.Zone == s.zone() {
			found = append(found, u)
		}
	}
	return found
}

// onZone does something with each process in the zone of the scene's entry.
func onZone(do func(*harness.Process) error) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
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

// killZone ends the processes of the zone. Dialling its sides fails from then on.
func killZone(ctx context.Context, s *Scene) error {
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
func startZone(ctx context.Context, s *Scene) error {
	for _, u := range s.zoneUpstreams() {
		if err := s.Site.taps[u.Name].Accept(); err != nil {
			return err
		}
	}
	return onZone(func(p *harness.Process) error { return restart(ctx, p) })(ctx, s)
}

// wakeZone lets the processes of the zone go on.
func wakeZone(ctx context.Context, s *Scene) error {
	if err := onZone((*harness.Process).Wake)(ctx, s); err != nil {
		return err
	}
	s.armed.resume(ctx)
	return nil
}
