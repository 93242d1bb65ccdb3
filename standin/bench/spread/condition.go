package spread

import (
	"context"
	"time"

	"acaciawinch/core/relay"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// condition is a set of faults that are injected before a change is accepted, or as soon
// as its head is written.
type condition struct {
	name   string
	target time.Duration
	// beforeAccept runs before the operator's command starts, onHeadWrite as soon
	// as the head is written, and undo when the change is in force: it reverts the
	// other two.
	beforeAccept, onHeadWrite, undo step
}

// step is one action of a condition.
type step func(ctx context.Context, m *measurement) error

// Settings of the conditions.
const (
	plainTarget      = 2 * time.Second
	killTarget       = 5 * time.Second
	slowStoreDelayMS = 300
	// outage is how long the store stays down after the head is written.
	outage = 3 * time.Second
	// relaysPerZone is the default of the entries' setting.
	relaysPerZone = 2
	// settleTime lets the after-effects of a condition end before the next one starts.
	settleTime = 3 * time.Second
)

// conditions returns all conditions in the order in which they are measured.
func conditions() []condition {
	return []condition{
		{name: "nothing wrong", target: plainTarget},
		{
			name:         "every call of the store takes 300 ms more",
			target:       plainTarget,
			beforeAccept: setStore(objectstore.Control{DelayMS: slowStoreDelayMS}),
			undo:         setStore(objectstore.Control{}),
		},
		{name: "store down for 3 s as soon as the head is written", target: killTarget, onHeadWrite: storeDown, undo: setStore(objectstore.Control{})},
		{name: "one relay killed as the head is written", target: killTarget, onHeadWrite: killRelays(1), undo: restartKilled},
		{name: "one relay killed before the accept", target: killTarget, beforeAccept: killRelays(1), undo: restartKilled},
		{name: "all relays of a zone killed before the accept", target: killTarget, beforeAccept: killRelays(relaysPerZone), undo: restartKilled},
		{name: "one relay frozen before the accept", target: killTarget, beforeAccept: freezeRelays(1), undo: resumeFrozen},
		{name: "all relays of a zone frozen before the accept", target: killTarget, beforeAccept: freezeRelays(relaysPerZone), undo: resumeFrozen},
	}
}

// setStore returns a step that sets the fault injection controls of the store.
func setStore(control objectstore.Control) step {
	return func(ctx context.Context, m *measurement) error { return m.fleet.SetObjects(ctx, control) }
}

// storeDown takes the store down and schedules its return after the outage time.
func storeDown(ctx context.Context, m *measurement) error {
	if err := m.fleet.SetObjects(ctx, objectstore.Control{Down: true}); err != nil {
		return err
	}
	time.AfterFunc(outage, func() {
		// If this call fails, the change never comes into force and the measurement
		// reports it as missing.
		_ = m.fleet.SetObjects(ctx, objectstore.Control{})
	})
	return nil
}

// killRelays returns a step that kills the given number of relays of the first
// zone. The host list still contains them afterwards.
func killRelays(count int) step {
	return func(_ context.Context, m *measurement) error {
		for _, entry := range m.relays(count) {
			entry.Kill()
		}
		return nil
	}
}

// freezeRelays returns a step that stops the given number of relays of the first
// zone with SIGSTOP: their connections stay open.
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

// resumeFrozen resumes the frozen processes.
func resumeFrozen(_ context.Context, m *measurement) error {
	for process := range m.frozen {
		if err := process.Resume(); err != nil {
			return err
		}
		delete(m.frozen, process)
	}
	return nil
}

// relays returns the first relays of the first zone, count in number.
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

// restartKilled restarts the killed entries and waits until they are ready.
func restartKilled(ctx context.Context, m *measurement) error {
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

// measureCondition makes changes under a condition and returns their times and costs.
func (m *measurement) measureCondition(ctx context.Context, c condition) (report.Condition, error) {
	result := report.Condition{Name: c.name, TargetSeconds: c.target.Seconds()}
	before, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return result, err
	}
	began := time.Now()
	for range m.options.Changes {
		if err := m.applyChange(ctx, c, &result); err != nil {
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
