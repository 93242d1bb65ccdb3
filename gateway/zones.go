package gateway

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// zoneCheckInterval is the interval at which the requests and calls in flight in evacuated zones
// are counted.
const zoneCheckInterval = 250 * time.Millisecond

// zoneWatch reports to operators, in metrics and the log, when this process has nothing in flight
// in an evacuated zone any more.
type zoneWatch struct {
	// evacuations returns the evacuations in force.
	evacuations func() []view.Evacuation
	// open returns the number of this process's requests and calls in flight in a zone.
	open   func(zone string) int
	logger *observe.Logger
	scope  tally.Scope
	// emptied holds, by zone, the evacuation that was last logged as complete.
	emptied map[string]view.Evacuation
}

// newZoneWatch returns the zoneWatch of a process.
func newZoneWatch(p *process) *zoneWatch {
	return &zoneWatch{
		evacuations: p.view.Evacuations,
		open:        func(zone string) int { return p.flow.InFlightIn(zone) + p.owner.CallsIn(zone) },
		logger:      p.logger,
		scope:       p.metrics.Scope(),
		emptied:     make(map[string]view.Evacuation),
	}
}

// run checks the evacuated zones until ctx is cancelled.
func (w *zoneWatch) run(ctx context.Context) error {
	ticker := time.NewTicker(zoneCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.check()
		}
	}
}

// check updates the gauge of work in flight for each evacuated zone, and logs once per
// evacuation when the zone is empty.
func (w *zoneWatch) check() {
	evacuations := w.evacuations()
	w.scope.Gauge("evacuated_zones").Update(float64(len(evacuations)))
	for _, evacuation := range evacuations {
		open := w.open(evacuation.Zone)
		w.scope.Tagged(map[string]string{"zone": evacuation.Zone}).Gauge("evacuated_open").Update(float64(open))
		if open > 0 || w.emptied[evacuation.Zone] == evacuation {
			continue
		}
		w.emptied[evacuation.Zone] = evacuation
		w.logger.Event(event.ZoneEmptied, observe.Fields{"zone": evacuation.Zone, "after_ms": (clock.Boot() - evacuation.Since).Milliseconds()})
	}
}
