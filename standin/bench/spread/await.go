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

// target is a process that is expected to receive a revision.
type target struct {
	process *harness.Process
	admin   string
}

// targets returns all entries and sidecars that are running and not frozen.
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

// seenTimes holds the time at which each process was first seen with a revision.
type seenTimes []time.Time

// elapsedSince returns the time from the given moment until the last process had the
// revision.
func (s seenTimes) elapsedSince(from time.Time) time.Duration {
	latest := from
	for _, at := range s {
		if at.After(latest) {
			latest = at
		}
	}
	return latest.Sub(from)
}

// pollInterval is the interval between two status queries to one process.
const pollInterval = 50 * time.Millisecond

// awaitAll waits until all targets have the given revision or a later one.
func awaitAll(ctx context.Context, targets []target, revision core.Revision, timeout time.Duration) (seenTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	times := make(seenTimes, len(targets))
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

// await waits until one process has the given revision or a later one, and returns
// the time at which it was first seen.
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
