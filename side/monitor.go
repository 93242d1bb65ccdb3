package side

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/upstream"
)

// Intervals at which the upstream's reports and cache events are polled.
const (
	reportInterval = 250 * time.Millisecond
	cacheInterval  = time.Second
)

// pollReports polls the upstream's report until ctx ends, and immediately when an
// attempt could not reach the upstream. It calls onHealthKnown once, as soon as the gate
// knows whether the upstream responds.
func (d *dispatcher) pollReports(ctx context.Context, onHealthKnown func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.pollNow:
		case <-timer.C:
		}
		d.pollReport(ctx)
		if onHealthKnown != nil && d.upstreamHealthKnown() {
			onHealthKnown()
			onHealthKnown = nil
		}
		timer.Reset(reportInterval)
	}
}

// upstreamHealthKnown reports whether the gate knows if the upstream responds. One
// missed report is no proof: the upstream may be starting together with the sidecar.
func (d *dispatcher) upstreamHealthKnown() bool {
	known := false
	d.read(func(time.Duration) { known = d.gate.HealthKnown() })
	return known
}

// pollReport fetches one report and passes it to the gate.
func (d *dispatcher) pollReport(ctx context.Context) {
	status, err := d.options.client.Status(ctx)
	if ctx.Err() != nil {
		return
	}
	d.do(func(now time.Duration) {
		if err != nil {
			d.gate.ObserveSilence(now)
			return
		}
		d.observeReport(now, status)
	})
}

// observeReport passes a report to the gate and logs when the upstream starts or stops
// announcing that it is leaving. The mutex must be held.
func (d *dispatcher) observeReport(now time.Duration, status upstream.Status) {
	before := slices.Contains(d.gate.DrainSources(), gate.DrainNotice)
	d.gate.ObserveReport(now, gate.Report{
		Capacity:    status.Capacity,
		Draining:    status.Leaving,
		Models:      status.Models,
		LastFencing: status.LastFencing,
	})
	if status.Leaving != before {
		d.logDrain(now, gate.DrainNotice, status.Leaving)
	}
}

// pollCacheEvents polls an engine's cache events until ctx ends.
func (d *dispatcher) pollCacheEvents(ctx context.Context) error {
	ticker := time.NewTicker(cacheInterval)
	defer ticker.Stop()
	cursor := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		events, next, err := d.options.client.CacheEvents(ctx, cursor)
		if err != nil {
			continue
		}
		cursor = next
		d.read(func(time.Duration) { d.observeCache(events) })
	}
}

// observeCache applies cache events to the set of cached prefixes. The mutex must be
// held.
func (d *dispatcher) observeCache(events []upstream.CacheEvent) {
	for _, e := range events {
		if e.Unreadable != nil {
			d.options.logger.Warn(event.EntryUnreadable, observe.Fields{"peer": "upstream", "entry": "cache event", "error": e.Unreadable.Error()})
		}
		switch e.Action {
		case upstream.CacheStored:
			d.prefixes.Use(e.Prefix)
		case upstream.CacheEvicted:
			d.prefixes.Evict(e.Prefix)
		}
	}
}
