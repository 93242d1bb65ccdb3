package spread

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/bench/report"
)

// writesPerAccept is the number of store writes that the accept of a small change
// makes: one part, the copy of the head, and then the head.
const writesPerAccept = 3

// headPollInterval is the interval between two queries for the write of the head.
const headPollInterval = 2 * time.Millisecond

// applyChange makes one change and waits until it is in force everywhere. Time
// counts from the write of the head, because the operator's command returns only
// later, and much later after an outage of the store.
func (m *measurement) applyChange(ctx context.Context, c condition, result *report.Condition) error {
	path, err := m.writeNextChange()
	if err != nil {
		return err
	}
	if err := runStep(ctx, m, c.beforeAccept); err != nil {
		return err
	}
	stats, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	m.revision++
	var command errgroup.Group
	command.Go(func() error {
		_, err := m.fleet.Submit(ctx, path)
		return err
	})
	if err := m.awaitWrites(ctx, stats.Writes+writesPerAccept); err != nil {
		return err
	}
	accepted := time.Now()
	if err := runStep(ctx, m, c.onHeadWrite); err != nil {
		return err
	}
	m.recordTimes(ctx, began, accepted, result)
	if err := command.Wait(); err != nil {
		return err
	}
	return m.restore(ctx, c)
}

// awaitWrites waits until the store has counted the given number of writes.
func (m *measurement) awaitWrites(ctx context.Context, writes uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	ticker := time.NewTicker(headPollInterval)
	defer ticker.Stop()
	for {
		stats, err := m.fleet.ObjectStats(ctx)
		if err != nil {
			return err
		}
		if stats.Writes >= writes {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordTimes waits until the change is in force everywhere and adds its times to
// the result.
func (m *measurement) recordTimes(ctx context.Context, began, accepted time.Time, result *report.Condition) {
	times, err := awaitAll(ctx, m.targets(), m.revision, changeTimeout)
	if err != nil {
		result.Missing = err.Error()
		return
	}
	result.Seconds = append(result.Seconds, times.elapsedSince(accepted).Seconds())
	result.SecondsFromStart = append(result.SecondsFromStart, times.elapsedSince(began).Seconds())
}

// restore undoes a condition and waits until the processes that it affected have
// the change too.
func (m *measurement) restore(ctx context.Context, c condition) error {
	if err := runStep(ctx, m, c.undo); err != nil {
		return err
	}
	if _, err := awaitAll(ctx, m.targets(), m.revision, changeTimeout); err != nil {
		return err
	}
	return wait(ctx, settleTime)
}

// wait blocks for the duration d, or returns an error if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runStep runs a step; a nil step does nothing.
func runStep(ctx context.Context, m *measurement, s step) error {
	if s == nil {
		return nil
	}
	return s(ctx, m)
}
