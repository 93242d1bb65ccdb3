package spread

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/relay"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/objectstore"
)

// condition is what happens around an accept.
type condition struct {
	name   string
	target time.Duration
	// before and after happen right before and right after the accept; end
	// happens when the change is in force, and undoes them.
	before, after, end func(ctx context.Context, m *measurement) error
}

// Settings of the conditions.
const (
	plainTarget = 2 * time.Second
	killTarget  = 5 * time.Second
	slowStore   = 300
	// outage is how long the store stays down behind an accept.
	outage = 3 * time.Second
	// relaysPerZone is the entries' default.
	relaysPerZone = 2
	// settleTime lets a condition's traces vanish before the next.
	settleTime = 3 * time.Second
)

// conditions returns all conditions in order. Those that kill come last.
func conditions() []condition {
	return []condition{
		{name: "nothing wrong", target: plainTarget},
		{
			name:   "every call of the store takes 300 ms more",
			target: plainTarget,
			before: setStore(objectstore.Control{DelayMS: slowStore}),
			end:    setStore(objectstore.Control{}),
		},
		{
			name:   "store down for 3 s right behind the accept",
			target: killTarget,
			after:  outageBehind,
			end:    setStore(objectstore.Control{}),
		},
		{name: "one relay killed at the accept", target: killTarget, after: killOne, end: restart},
		{name: "all relays of one zone killed at the accept", target: killTarget, after: killZone, end: restart},
	}
}

// setStore returns a step that sets the store's fault switches.
func setStore(control objectstore.Control) func(context.Context, *measurement) error {
	return func(ctx context.Context, m *measurement) error { return m.fleet.SetObjects(ctx, control) }
}

// outageBehind takes the store down, and brings it back after a while.
func outageBehind(ctx context.Context, m *measurement) error {
	if err := m.fleet.SetObjects(ctx, objectstore.Control{Down: true}); err != nil {
		return err
	}
	time.AfterFunc(outage, func() {
		// A failure shows as a change that does not come into force.
		_ = m.fleet.SetObjects(ctx, objectstore.Control{})
	})
	return nil
}

// killOne kills the first relay of the first zone.
func killOne(_ context.Context, m *measurement) error { return m.killRelays(1) }

// killZone kills all relays of the first zone.
func killZone(_ context.Context, m *measurement) error { return m.killRelays(relaysPerZone) }

// killRelays kills the first relays of the first zone.
func (m *measurement) killRelays(count int) error {
	for _, host := range relay.Relays(m.fleet.HostList().Hosts, relaysPerZone)[:count] {
		for _, entry := range m.fleet.Entries {
			if entry.Name == host.Name {
				entry.Kill()
			}
		}
	}
	return nil
}

// restart starts the killed entries again.
func restart(ctx context.Context, m *measurement) error {
	for _, entry := range m.fleet.Entries {
		if entry.Running() {
			continue
		}
		if err := entry.Start(); err != nil {
			return err
		}
		if err := entry.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// under makes changes under a condition.
func (m *measurement) under(ctx context.Context, c condition) (report.Condition, error) {
	result := report.Condition{Name: c.name, TargetSeconds: c.target.Seconds()}
	before, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return result, err
	}
	began := time.Now()
	for range m.options.Changes {
		if err := m.once(ctx, c, &result); err != nil {
			return result, err
		}
	}
	after, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return result, err
	}
	changes := float64(m.options.Changes)
	result.ReadsPerChange = float64(after.Reads-before.Reads) / changes
	result.WritesPerChange = float64(after.Writes-before.Writes) / changes
	result.CallsPerSecond = float64(after.Reads+after.Writes-before.Reads-before.Writes) / time.Since(began).Seconds()
	return result, nil
}

// once makes one change and waits until it is in force everywhere.
func (m *measurement) once(ctx context.Context, c condition, result *report.Condition) error {
	path, err := m.next()
	if err != nil {
		return err
	}
	if err := do(ctx, m, c.before); err != nil {
		return err
	}
	began := time.Now()
	revision, err := m.fleet.Accept(ctx, path)
	if err != nil {
		return err
	}
	accepted := time.Now()
	if err := do(ctx, m, c.after); err != nil {
		return err
	}
	if err := m.note(ctx, revision, began, accepted, result); err != nil {
		return err
	}
	if err := do(ctx, m, c.end); err != nil {
		return err
	}
	return m.settle(ctx)
}

// note waits for the change and adds its times.
func (m *measurement) note(ctx context.Context, revision core.Revision, began, accepted time.Time, result *report.Condition) error {
	times, err := awaitAll(ctx, m.targets(), revision, forceTimeout)
	if err != nil {
		result.Missing = err.Error()
		return nil
	}
	result.Seconds = append(result.Seconds, times.last(accepted).Seconds())
	result.SecondsFromStart = append(result.SecondsFromStart, times.last(began).Seconds())
	return nil
}

// settle waits between two changes.
func (m *measurement) settle(ctx context.Context) error {
	select {
	case <-time.After(settleTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do carries out a step if there is one.
func do(ctx context.Context, m *measurement, step func(context.Context, *measurement) error) error {
	if step == nil {
		return nil
	}
	return step(ctx, m)
}
