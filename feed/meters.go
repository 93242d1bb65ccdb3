package feed

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
)

// Stats describes the activity of a feed to operators and measurements.
type Stats struct {
	// Revision is in force since Applied, by the clock of this process.
	Revision core.Revision `json:"revision"`
	Applied  time.Time     `json:"applied"`
	// Provider is the entry whose feed is followed; empty if none.
	Provider string `json:"provider"`
	Relay    bool   `json:"relay"`
	Direct   bool   `json:"direct"`
	// Subscribers is the number of processes that follow the feed of this process.
	Subscribers int64 `json:"subscribers"`
	// StoreReads and StoreWatches count calls of the object API, HostReads calls
	// of the host list.
	StoreReads   uint64 `json:"store_reads"`
	StoreWatches uint64 `json:"store_watches"`
	HostReads    uint64 `json:"host_reads"`
	// Fulls and Deltas count the configurations received, Switches how often a provider
	// was chosen, CatchUps the revisions that had to be pulled.
	Fulls    uint64 `json:"fulls"`
	Deltas   uint64 `json:"deltas"`
	Switches uint64 `json:"switches"`
	CatchUps uint64 `json:"catch_ups"`
}

// meter is a counter that is also reported as a metric.
type meter struct {
	count   atomic.Uint64
	counter tally.Counter
}

// add counts one occurrence.
func (m *meter) add() {
	m.count.Add(1)
	m.counter.Inc(1)
}

// meters are the feed's counters and gauges.
type meters struct {
	storeReads, storeWatches, hostReads meter
	fulls, deltas, switches, catchUps   meter

	subscribers      atomic.Int64
	revision         atomic.Uint64
	applied          atomic.Int64
	subscribersGauge tally.Gauge
	revisionGauge    tally.Gauge
	appliedGauge     tally.Gauge
}

// newMeters returns meters that report to scope, which may be nil.
func newMeters(scope tally.Scope) *meters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("feed")
	m := &meters{
		subscribersGauge: scope.Gauge("subscribers"),
		revisionGauge:    scope.Gauge("revision"),
		appliedGauge:     scope.Gauge("applied_unix_seconds"),
	}
	for name, counted := range map[string]*meter{
		"store_reads": &m.storeReads, "store_watches": &m.storeWatches, "host_list_reads": &m.hostReads,
		"fulls": &m.fulls, "deltas": &m.deltas, "provider_switches": &m.switches, "catch_ups": &m.catchUps,
	} {
		counted.counter = scope.Counter(name)
	}
	return m
}

// configApplied records which revision is in force, and since when.
func (m *meters) configApplied(revision core.Revision, at time.Time) {
	m.revision.Store(uint64(revision))
	m.applied.Store(at.UnixNano())
	m.revisionGauge.Update(float64(revision))
	m.appliedGauge.Update(float64(at.UnixNano()) / float64(time.Second))
}

// subscribed adds change to the number of subscribers: 1 for a new one, -1 for one that left.
func (m *meters) subscribed(change int64) {
	m.subscribersGauge.Update(float64(m.subscribers.Add(change)))
}

// Stats returns the current counts of the feed.
func (f *Feed) Stats() Stats {
	m := f.meters
	stats := Stats{
		Revision: core.Revision(m.revision.Load()), Relay: f.isRelay(), Direct: f.direct.Load(),
		Subscribers: m.subscribers.Load(),
		StoreReads:  m.storeReads.count.Load(), StoreWatches: m.storeWatches.count.Load(), HostReads: m.hostReads.count.Load(),
		Fulls: m.fulls.count.Load(), Deltas: m.deltas.count.Load(),
		Switches: m.switches.count.Load(), CatchUps: m.catchUps.count.Load(),
	}
	if at := m.applied.Load(); at != 0 {
		stats.Applied = time.Unix(0, at)
	}
	f.mu.Lock()
	stats.Provider = f.provider
	f.mu.Unlock()
	return stats
}
