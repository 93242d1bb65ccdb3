package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/relay"
	"acaciawinch/feed/store"
	"acaciawinch/platform/objects"
)

// historyLength is how many configurations, and how many host lists, a process
// keeps to compute deltas from.
const historyLength = 64

// Feed keeps one process's State up to date. It may be used by many goroutines.
type Feed struct {
	opts    Options
	timing  Timing
	objects objects.API
	reader  store.Reader
	meters  *meters

	// state is the published state, which the process may act on: nil until the first
	// complete state.
	state   atomic.Pointer[State]
	changed *signal
	// heartbeat is sent when a heartbeat is due to this process's subscribers.
	heartbeat *signal
	// wanted holds at most one revision that was seen in a message and is not yet pulled.
	wanted chan seenRevision
	// direct is set while a process that is not a relay reads the platform itself.
	direct atomic.Bool
	// directBegan is sent when direct is set; lastDirectRead is the time of the last
	// successful direct read, in Unix nanoseconds.
	directBegan    *signal
	lastDirectRead atomic.Int64
	// platformHostsVersion is the version of the host list that was last read from the
	// platform.
	platformHostsVersion atomic.Uint64
	// lastHeartbeat is when the last heartbeat of an origin arrived, in Unix nanoseconds.
	lastHeartbeat atomic.Int64

	// relaying is set while this process is a relay by its copy of the host list.
	relaying atomic.Bool

	// mu guards the fields up to providers.
	mu sync.Mutex
	// latest is the newest state received. It is not published before the first
	// complete state.
	latest      State
	history     []*config.Snapshot
	hostHistory []fleet.List
	startDone   bool
	// provider is the name of the entry whose feed is followed.
	provider string
	// providers are the entries that this process may follow, the best first.
	providers []fleet.Host

	randomMu sync.Mutex
	random   *rand.Rand

	encodings  encodings
	hostHealth health
}

// New returns a Feed that has no state before Run.
func New(opts Options) *Feed {
	if opts.RelaysPerZone == 0 {
		opts.RelaysPerZone = DefaultRelaysPerZone
	}
	f := &Feed{
		opts:        opts,
		timing:      opts.Timing.withDefaults(),
		meters:      newMeters(opts.Metrics),
		changed:     newSignal(),
		heartbeat:   newSignal(),
		wanted:      make(chan seenRevision, 1),
		directBegan: newSignal(),
		random:      newRandom(opts.Seed),
	}
	f.objects = &countedStore{API: opts.Objects, feed: f}
	f.reader = store.NewReader(f.objects)
	return f
}

// State returns the current state, or nil before the first one.
func (f *Feed) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. To
// miss no change, a caller gets the channel first and the state then.
func (f *Feed) Changed() <-chan struct{} { return f.changed.wait() }

// Run keeps the state up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	if !f.start(ctx) {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.pollDirectly(ctx) })
	group.Go(func() error { return f.catchUp(ctx) })
	if f.opts.Role == fleet.RoleEntry {
		group.Go(func() error { return f.relayWhenListed(ctx) })
		group.Go(func() error { return f.sendHeartbeats(ctx) })
	}
	return group.Wait()
}

// revision returns the revision of the newest configuration received, which may not
// be published yet.
func (f *Feed) revision() core.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest.Revision
}

// updateTopology computes from the host list whether this process is a relay, and
// which entries it may follow. The caller holds mu. The result is stored once for each
// host list, since each heartbeat to each subscriber needs it.
func (f *Feed) updateTopology() {
	hosts := f.latest.hosts.Hosts
	f.relaying.Store(f.opts.Role == fleet.RoleEntry && relay.IsRelay(f.opts.Name, hosts, f.opts.RelaysPerZone))
	self := relay.Subscriber{Name: f.opts.Name, Zone: f.opts.Zone, Region: f.opts.Region}
	f.providers = self.Order(hosts, f.opts.RelaysPerZone)
}

// isRelay reports whether this process is a relay by its copy of the host list.
func (f *Feed) isRelay() bool { return f.relaying.Load() }

// isOrigin reports whether this process sends heartbeats of its own. Any other
// entry only forwards those of the origin that it follows, so that entries that follow
// each other in a circle send no heartbeats and then choose other providers.
func (f *Feed) isOrigin() bool { return f.isRelay() || f.readsDirectly() }

// isLive reports whether other processes may follow this process's feed: it is an origin,
// or received an origin's heartbeat within Timing.SilenceTimeout.
func (f *Feed) isLive() bool {
	return f.isOrigin() || time.Since(time.Unix(0, f.lastHeartbeat.Load())) < f.timing.SilenceTimeout
}

// orderedProviders returns the entries that this process may follow, the best first.
// The slice must not be changed.
func (f *Feed) orderedProviders() []fleet.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.providers
}
