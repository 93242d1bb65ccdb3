package side

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/gate"
	"acaciawinch/wire/link"
)

// metricsInterval is how often the gate's counts are copied to the metrics.
const metricsInterval = time.Second

// meter copies the gate's counts and charges, and the traffic, to the metrics.
type meter struct {
	scope      tally.Scope
	dispatcher *dispatcher
	traffic    *link.Traffic
	// last holds the charges at the last update, by cause.
	last map[gate.Cause]gate.Charge
}

// newMeter returns a meter that writes to scope.
func newMeter(scope tally.Scope, d *dispatcher, traffic *link.Traffic) *meter {
	return &meter{scope: scope, dispatcher: d, traffic: traffic, last: make(map[gate.Cause]gate.Charge)}
}

// run updates the metrics until ctx ends.
func (m *meter) run(ctx context.Context) error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		m.update()
		select {
		case <-ctx.Done():
			m.update()
			return nil
		case <-ticker.C:
		}
	}
}

// update writes the current counts to the metrics.
func (m *meter) update() {
	var load gate.Load
	var memory gate.Memory
	var charges []gate.Charge
	m.dispatcher.read(func(now time.Duration) {
		load = m.dispatcher.gate.Load(now)
		memory = m.dispatcher.gate.Memory()
		charges = m.dispatcher.gate.Charges()
	})
	m.addCharges(charges)
	m.gauge("queued", float64(load.Queued))
	m.gauge("in_flight", float64(load.InFlight))
	m.gauge("capacity", float64(load.Capacity))
	m.gauge("wait_seconds", load.Wait.Seconds())
	m.gauge("service_p50_seconds", load.ServiceP50.Seconds())
	m.gauge("service_p95_seconds", load.ServiceP95.Seconds())
	m.gauge("first_p95_seconds", load.FirstChunkP95.Seconds())
	m.gauge("gap_p95_seconds", load.ChunkGapP95.Seconds())
	m.gauge("draining", float64(boolToInt(load.Draining)))
	m.gauge("stalled", float64(boolToInt(load.Stalled)))
	m.gauge("remembered_attempts", float64(memory.Attempts))
	m.gauge("kept_output_bytes", float64(memory.KeptBytes))
	m.gauge("fleet_bytes_read", float64(m.traffic.Read()))
	m.gauge("fleet_bytes_written", float64(m.traffic.Written()))
}

// addCharges adds the charges since the last update to the counters.
func (m *meter) addCharges(charges []gate.Charge) {
	for _, charge := range charges {
		previous := m.last[charge.Cause]
		scope := m.scope.Tagged(map[string]string{"cause": string(charge.Cause)})
		scope.Counter("passes").Inc(int64(charge.Passes - previous.Passes))
		scope.Counter("cost").Inc(int64(charge.Cost - previous.Cost))
		m.last[charge.Cause] = charge
	}
}

// gauge sets one gauge.
func (m *meter) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// boolToInt returns 1 for true and 0 for false.
func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
