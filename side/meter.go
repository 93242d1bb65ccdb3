package side

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/gate"
	"acaciawinch/wire/link"
)

// metricsInterval is how often the gate's counts are carried over to the metrics.
const metricsInterval = time.Second

// meter carries the gate's counts over to the metrics.
type meter struct {
	scope   tally.Scope
	keeper  *keeper
	traffic *link.Traffic
	// last holds the counts that were carried over.
	last map[gate.Cause]gate.Charge
}

// newMeter returns a meter that writes to scope.
func newMeter(scope tally.Scope, k *keeper, traffic *link.Traffic) *meter {
	return &meter{scope: scope, keeper: k, traffic: traffic, last: make(map[gate.Cause]gate.Charge)}
}

// run carries the counts over until ctx ends.
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

// update carries the counts over.
func (m *meter) update() {
	var load gate.Load
	var memory gate.Memory
	var charges []gate.Charge
	m.keeper.read(func(now time.Duration) {
		load = m.keeper.gate.Load(now)
		memory = m.keeper.gate.Memory()
		charges = m.keeper.gate.Charges()
	})
	m.count(charges)
	m.gauge("queued", float64(load.Queued))
	m.gauge("in_flight", float64(load.InFlight))
	m.gauge("capacity", float64(load.Capacity))
	m.gauge("wait_seconds", load.Wait.Seconds())
	m.gauge("service_p50_seconds", load.ServiceP50.Seconds())
	m.gauge("service_p95_seconds", load.ServiceP95.Seconds())
	m.gauge("first_p95_seconds", load.FirstP95.Seconds())
	m.gauge("gap_p95_seconds", load.GapP95.Seconds())
	m.gauge("draining", float64(truth(load.Draining)))
	m.gauge("stalled", float64(truth(load.Stalled)))
	m.gauge("remembered_attempts", float64(memory.Attempts))
	m.gauge("kept_output_bytes", float64(memory.KeptBytes))
	m.gauge("fleet_bytes_read", float64(m.traffic.Read()))
	m.gauge("fleet_bytes_written", float64(m.traffic.Written()))
}

// count adds what was charged since the last update.
func (m *meter) count(charges []gate.Charge) {
	for _, now := range charges {
		before := m.last[now.Cause]
		scope := m.scope.Tagged(map[string]string{"cause": string(now.Cause)})
		scope.Counter("passes").Inc(int64(now.Passes - before.Passes))
		scope.Counter("cost").Inc(int64(now.Cost - before.Cost))
		m.last[now.Cause] = now
	}
}

// gauge sets one gauge.
func (m *meter) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// truth returns 1 for true.
func truth(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
