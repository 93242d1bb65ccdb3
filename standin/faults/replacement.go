package faults

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/standin/harness"
)

// replacementFaults put two side processes before one upstream at the same time.
func replacementFaults() []Fault {
	return []Fault{
		{Name: "side frozen, replaced, woken", Touch: touchSide, Excludes: always,
			inject: both(freeze(sideProcess), replaceSide), heal: both(wake(replacedProcess), usesReplacement)},
		{Name: "side replaced before it stops", Touch: touchSide, Planned: true, Excludes: always, Linger: replacedProcess,
			inject: both(replaceSide, stop(replacedProcess)), heal: both(usesReplacement, stoppedReplaced)},
	}
}

// replacedProcess chooses the side that was replaced.
func replacedProcess(s *Scene) *harness.Process { return s.replaced }

// replaceSide starts a second side before the upstream, which the host list names
// from then on. The first one stays.
func replaceSide(ctx context.Context, s *Scene) error {
	var err error
	s.replaced, err = s.Site.Fleet.ReplaceSide(ctx, s.Upstream)
	return err
}

// replacementLimit bounds the wait until the new side has work.
const replacementLimit = 5 * time.Second

// usesReplacement sends new requests until the new side has been given work, unless
// its upstream is drained. The others of its service leave meanwhile: an engine
// that knows the prompt may be preferred for ever.
func usesReplacement(ctx context.Context, s *Scene) error {
	if s.Step.Kind == kindDrain {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, replacementLimit)
	defer cancel()
	if err := s.othersLeave(ctx, true); err != nil {
		return err
	}
	for s.tap().Runs() == 0 {
		if limited.Err() != nil {
			return fmt.Errorf("%w: no work for the side that replaced another", errNotRecovered)
		}
		for entry := range s.Site.Fleet.Entries {
			s.Site.record(s.Site.exchange(ctx, entry))
		}
		pause(ctx, shortestWait)
	}
	return s.othersLeave(ctx, false)
}

// othersLeave marks the other upstreams of the scene's service as leaving, or no
// longer so.
func (s *Scene) othersLeave(ctx context.Context, leaving bool) error {
	for _, u := range s.Site.Fleet.Service(s.Upstream.Group.Service) {
		if u == s.Upstream {
			continue
		}
		if err := s.Site.Fleet.SetLeaving(ctx, u.Name, leaving); err != nil {
			return err
		}
	}
	return nil
}

// stoppedReplaced waits for the end of the side that was replaced.
func stoppedReplaced(ctx context.Context, s *Scene) error {
	if err := awaitStop(ctx, s.replaced); err != nil {
		return fmt.Errorf("%w: %w", errNotGraceful, err)
	}
	return nil
}
