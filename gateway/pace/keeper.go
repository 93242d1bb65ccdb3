// Package pace keeps the paces of upstreams that this process has observed, and shares those of engines with the
// other gateways. The estimates are in core/pace.
package pace

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	core "acaciawinch/core/pace"
	"acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/link"
)

// interval is how often observations are shared and the state of engines is logged.
const interval = time.Second

// Fleet is a Keeper's access to the state of the fleet. view.View implements it.
type Fleet interface {
	Members() []view.Member
	// Upstreams and Table return nil before the first list.
	Upstreams() *routes.Upstreams
	Table() *routes.Table
}

// Options configures a Keeper.
type Options struct {
	Fleet Fleet
	// Self is this process.
	Self   view.Member
	Dialer *link.Dialer
	Logger *observe.Logger
	Scope  tally.Scope
}

// Keeper holds the paces of the upstreams of all services. It is safe for concurrent use. A nil Keeper observes
// nothing and knows no paces.
type Keeper struct {
	options Options
	metrics metrics

	mu       sync.Mutex
	services map[string]*core.Table
	// mergers holds the values of the services of which this process is the holder, shares the state of the
	// exchange on each service with engines.
	mergers map[string]*core.Merger
	shares  map[string]*sharing
	// memberList is the last list of the other gateways, candidates are those that may be holders.
	memberList []view.Member
	candidates *ratelimit.Candidates
}

// New returns a Keeper. The caller must call Run.
func New(options Options) *Keeper {
	return &Keeper{
		options:    options,
		metrics:    newMetrics(options.Scope),
		services:   make(map[string]*core.Table),
		mergers:    make(map[string]*core.Merger),
		shares:     make(map[string]*sharing),
		candidates: ratelimit.NewCandidates(candidateOf(options.Self)),
	}
}

// Run shares observations and logs changes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	if k == nil {
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.tick(time.Now())
			for _, service := range k.engineServices() {
				k.exchange(ctx, service)
			}
		}
	}
}

// Use calls use with the paces of a service's upstreams; they are nil if the pace does not matter. The table must
// not be used afterwards.
func (k *Keeper) Use(service string, use func(*core.Table)) {
	if k == nil {
		use(nil)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	use(k.services[service])
}

// Observe records what was seen of a stream, or a response, of an upstream.
func (k *Keeper) Observe(upstream routes.Upstream, seen core.Observation) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table(upstream.Service).Observe(core.Engine{ID: upstream.ID, Incarnation: upstream.Incarnation}, seen, time.Now())
}

// Excluded counts the engines that were excluded for a request that is sent.
func (k *Keeper) Excluded(service string, count int) {
	if k != nil && count > 0 {
		k.metrics.excluded(service, count)
	}
}

// table returns the table of a service and creates it if there is none. k.mu must be held.
func (k *Keeper) table(service string) *core.Table {
	table := k.services[service]
	if table == nil {
		table = core.NewTable(k.options.Self.Name)
		k.services[service] = table
	}
	return table
}

// tick forgets upstreams that are gone and logs which engines have become slow.
func (k *Keeper) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget()
	k.takeMembers()
	members := k.candidates.Count()
	for service, table := range k.services {
		table.SetMembers(members)
		for _, change := range table.Changes(now) {
			k.logChange(service, change)
		}
		k.metrics.slow(service, table.CountExcluded())
	}
}

// forget drops the upstreams that are no longer listed. k.mu must be held.
func (k *Keeper) forget() {
	upstreams := k.options.Fleet.Upstreams()
	if upstreams == nil {
		return
	}
	listed := listedIn(upstreams)
	for service, merger := range k.mergers {
		merger.Keep(listed)
		if len(upstreams.Of(service)) == 0 {
			delete(k.mergers, service)
		}
	}
	for service, table := range k.services {
		table.Keep(listed)
		if len(upstreams.Of(service)) == 0 {
			k.metrics.slow(service, 0)
			delete(k.services, service)
			delete(k.shares, service)
		}
	}
}

// listedIn returns a function that reports whether an incarnation of an engine is listed.
func listedIn(upstreams *routes.Upstreams) func(core.Engine) bool {
	return func(engine core.Engine) bool {
		upstream, known := upstreams.Find(engine.ID)
		return known && upstream.Incarnation == engine.Incarnation
	}
}

// logChange logs that the exclusion of an engine began or ended.
func (k *Keeper) logChange(service string, change core.Change) {
	fields := observe.Fields{"service": service, "upstream": change.Engine.ID, "pace_us": change.Gap.Microseconds(),
		"usual_us": change.UsualGap.Microseconds(), "first_percent": int(change.Ratio * 100), "age_ms": change.Age.Milliseconds()}
	if change.Excluded {
		k.options.Logger.Event(event.EngineSlow, fields)
		return
	}
	k.options.Logger.Event(event.EngineSlowEnded, fields)
}
