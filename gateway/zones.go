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

// zonesEvery is how often it is looked at what is still open in evacuated zones.
const zonesEvery = 250 * time.Millisecond

// zoneWatch tells operators when an evacuated zone is empty, as far as this process goes.
type zoneWatch struct {
	// evacuations returns the zones that are to be emptied.
	evacuations func() []view.Evacuation
	// open returns how many requests and calls of this process are open in a zone.
	open   func(zone string) int
	logger *observe.Logger
	scope  tally.Scope
	// emptied holds the evacuations that were told to be over, by zone.
	emptied map[string]view.Evacuation
}

// newZoneWatch returns the watch of a process.
func newZoneWatch(p *process) *zoneWatch {
	return &zoneWatch{
		evacuations: p.view.Evacuations,
		open:        func(zone string) int { return p.flow.OpenIn(zone) + p.owner.CallsIn(zone) },
		logger:      p.logger,
		scope:       p.metrics.Scope(),
		emptied:     make(map[string]view.Evacuation),
	}
}

// run looks until ctx ends.
func (w *zoneWatch) run(ctx context.Context) error {
	ticker := time.NewTicker(zonesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.look()
		}
	}
}

// look shows what is open in each evacuated zone, and logs once for each evacuation when
// nothing is.
func (w *zoneWatch) look() {
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
