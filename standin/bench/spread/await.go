package spread

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/harness"
)

// target is one process that must come to have a revision.
type target struct {
	process *harness.Process
	admin   string
}

// targets returns all entries and sides that run and are not frozen.
func (m *measurement) targets() []target {
	var all []target
	for _, entry := range m.fleet.Entries {
		all = append(all, target{entry.Process, entry.AdminURL})
	}
	for _, u := range m.fleet.Upstreams {
		all = append(all, target{u.Side, u.SideURL})
	}
	running := all[:0]
	for _, t := range all {
		if t.process.Running() && !m.frozen[t.process] {
			running = append(running, t)
		}
	}
	return running
}

// moments are when each process was first seen with a revision.
type moments []time.Time

// last returns the time from a moment until the last process had the revision.
func (m moments) last(from time.Time) time.Duration {
	latest := from
	for _, at := range m {
		if at.After(latest) {
			latest = at
		}
	}
	return latest.Sub(from)
}

// pollInterval is the pause between two looks at one process.
const pollInterval = 50 * time.Millisecond

// awaitAll waits until all targets have at least a revision.
func awaitAll(ctx context.Context, targets []target, revision core.Revision, timeout time.Duration) (moments, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	times := make(moments, len(targets))
	var group errgroup.Group
	for i, t := range targets {
		group.Go(func() error {
			at, err := await(ctx, t, revision)
			times[i] = at
			return err
		})
	}
	return times, group.Wait()
}

// await waits until one process has at least a revision.
func await(ctx context.Context, t target, revision core.Revision) (time.Time, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var status struct {
			Revision core.Revision `json:"revision"`
		}
		err := usage.Status(ctx, t.admin, &status)
		if err == nil && status.Revision >= revision {
			return time.Now(), nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("%s has revision %d, not %d", t.process.Name, status.Revision, revision)
		}
	}
}
