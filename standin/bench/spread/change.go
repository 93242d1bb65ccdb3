package spread

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/bench/report"
)

// writesOfChange is how many writes an accept of a small change makes: a part,
// the copy of the head, and the head last.
const writesOfChange = 3

// headInterval is the pause between two looks for the head's write.
const headInterval = 2 * time.Millisecond

// once makes one change and waits until it is in force everywhere. Time counts
// from the head's write: the operator's command returns later, after an outage
// much later.
func (m *measurement) once(ctx context.Context, c condition, result *report.Condition) error {
	path, err := m.next()
	if err != nil {
		return err
	}
	if err := do(ctx, m, c.before); err != nil {
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
		_, err := m.fleet.Accept(ctx, path)
		return err
	})
	if err := m.awaitWrites(ctx, stats.Writes+writesOfChange); err != nil {
		return err
	}
	accepted := time.Now()
	if err := do(ctx, m, c.at); err != nil {
		return err
	}
	m.note(ctx, began, accepted, result)
	if err := command.Wait(); err != nil {
		return err
	}
	return m.recover(ctx, c)
}

// awaitWrites waits until the store has counted so many writes.
func (m *measurement) awaitWrites(ctx context.Context, writes uint64) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	ticker := time.NewTicker(headInterval)
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

// note waits for the change and adds its times.
func (m *measurement) note(ctx context.Context, began, accepted time.Time, result *report.Condition) {
	times, err := awaitAll(ctx, m.targets(), m.revision, forceTimeout)
	if err != nil {
		result.Missing = err.Error()
		return
	}
	result.Seconds = append(result.Seconds, times.last(accepted).Seconds())
	result.SecondsFromStart = append(result.SecondsFromStart, times.last(began).Seconds())
}

// recover undoes a condition and waits until the processes that it hit have the
// change too.
func (m *measurement) recover(ctx context.Context, c condition) error {
	if err := do(ctx, m, c.end); err != nil {
		return err
	}
	if _, err := awaitAll(ctx, m.targets(), m.revision, forceTimeout); err != nil {
		return err
	}
	return pause(ctx, settleTime)
}

// pause waits, or fails if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do carries out a step if there is one.
func do(ctx context.Context, m *measurement, s step) error {
	if s == nil {
		return nil
	}
	return s(ctx, m)
}
