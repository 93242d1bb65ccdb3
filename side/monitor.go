package side

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/gate"
	"acaciawinch/platform/upstream"
)

// How often the upstream's own reports are read.
const (
	reportInterval = 250 * time.Millisecond
	cacheInterval  = time.Second
)

// watchReports reads the upstream's report until ctx ends, and at once when an
// attempt could not reach the upstream. It calls judged once, as soon as the gate
// knows whether the upstream answers.
func (k *keeper) watchReports(ctx context.Context, judged func()) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.poll:
		case <-timer.C:
		}
		k.readReport(ctx)
		if judged != nil && k.upstreamJudged() {
			judged()
			judged = nil
		}
		timer.Reset(reportInterval)
	}
}

// upstreamJudged tells whether the gate knows if the upstream answers. One missed
// report proves nothing: beside a process that starts, the upstream may start too.
func (k *keeper) upstreamJudged() bool {
	judged := false
	k.read(func(time.Duration) { judged = k.gate.Judged() })
	return judged
}

// readReport reads one report and tells the gate.
func (k *keeper) readReport(ctx context.Context) {
	status, err := k.options.client.Status(ctx)
	if ctx.Err() != nil {
		return
	}
	k.do(func(now time.Duration) {
		if err != nil {
			k.gate.ObserveSilence(now)
			return
		}
		k.observeReport(now, status)
	})
}

// observeReport tells the gate of a report and logs a change of the upstream's
// notice that it is leaving. The caller holds the mutex.
func (k *keeper) observeReport(now time.Duration, status upstream.Status) {
	before := slices.Contains(k.gate.DrainSources(), gate.DrainNotice)
	k.gate.ObserveReport(now, gate.Report{
		Capacity:    status.Capacity,
		Leaving:     status.Leaving,
		Models:      status.Models,
		LastFencing: status.LastFencing,
	})
	if status.Leaving != before {
		k.logDrain(now, gate.DrainNotice, status.Leaving)
	}
}

// watchCache reads an engine's cache events until ctx ends.
func (k *keeper) watchCache(ctx context.Context) error {
	ticker := time.NewTicker(cacheInterval)
	defer ticker.Stop()
	cursor := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		events, next, err := k.options.client.CacheEvents(ctx, cursor)
		if err != nil {
			continue
		}
		cursor = next
		k.read(func(time.Duration) { k.observeCache(events) })
	}
}

// observeCache notes cache events. The caller holds the mutex.
func (k *keeper) observeCache(events []upstream.CacheEvent) {
	for _, e := range events {
		switch e.Action {
		case upstream.CacheStored:
			k.prefixes.Use(e.Prefix)
		case upstream.CacheEvicted:
			k.prefixes.Evict(e.Prefix)
		}
	}
}
