package spread

import (
	"context"
	"time"

	"acaciawinch/core/relay"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// condition is what happens around an accept.
type condition struct {
	name   string
	target time.Duration
	// before happens before the operator's command starts, at as soon as the head
	// is written, and end when the change is in force: it undoes the others.
	before, at, end step
}

// step is a part of a condition.
type step func(ctx context.Context, m *measurement) error

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

// conditions returns all conditions in order.
func conditions() []condition {
	return []condition{
		{name: "nothing wrong", target: plainTarget},
		{
			name:   "every call of the store takes 300 ms more",
			target: plainTarget,
			before: setStore(objectstore.Control{DelayMS: slowStore}),
			end:    setStore(objectstore.Control{}),
		},
		{name: "store down for 3 s as soon as the head is written", target: killTarget, at: storeDown, end: setStore(objectstore.Control{})},
		{name: "one relay killed as the head is written", target: killTarget, at: killRelays(1), end: restart},
		{name: "one relay killed before the accept", target: killTarget, before: killRelays(1), end: restart},
		{name: "all relays of a zone killed before the accept", target: killTarget, before: killRelays(relaysPerZone), end: restart},
		{name: "one relay frozen before the accept", target: killTarget, before: freezeRelays(1), end: wake},
		{name: "all relays of a zone frozen before the accept", target: killTarget, before: freezeRelays(relaysPerZone), end: wake},
	}
}

// setStore returns a step that sets the store's fault switches.
func setStore(control objectstore.Control) step {
	return func(ctx context.Context, m *measurement) error { return m.fleet.SetObjects(ctx, control) }
}

// storeDown takes the store down, and brings it back after a while.
func storeDown(ctx context.Context, m *measurement) error {
	if err := m.fleet.SetObjects(ctx, objectstore.Control{Down: true}); err != nil {
		return err
	}
	time.AfterFunc(outage, func() {
		// A failure shows as a change that does not come into force.
		_ = m.fleet.SetObjects(ctx, objectstore.Control{})
	})
	return nil
}

// killRelays returns a step that kills the first relays of the first zone. The
// host list goes on naming them.
func killRelays(count int) step {
	return func(_ context.Context, m *measurement) error {
		for _, entry := range m.relays(count) {
			entry.Kill()
		}
		return nil
	}
}

// freezeRelays returns a step that stops the first relays of the first zone with
// SIGSTOP: their connections stay open.
func freezeRelays(count int) step {
	return func(_ context.Context, m *measurement) error {
		for _, entry := range m.relays(count) {
			if err := entry.Freeze(); err != nil {
				return err
			}
			m.frozen[entry.Process] = true
		}
		return nil
	}
}

// wake wakes the frozen processes.
func wake(_ context.Context, m *measurement) error {
	for process := range m.frozen {
		if err := process.Wake(); err != nil {
			return err
		}
		delete(m.frozen, process)
	}
	return nil
}

// relays returns the first relays of the first zone.
func (m *measurement) relays(count int) []*harness.Entry {
	var found []*harness.Entry
	for _, host := range relay.Relays(m.fleet.HostList().Hosts, relaysPerZone)[:count] {
		for _, entry := range m.fleet.Entries {
			if entry.Name == host.Name {
				found = append(found, entry)
			}
		}
	}
	return found
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
