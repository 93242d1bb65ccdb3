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
// keeps to make deltas from.
const historyLength = 64

// Feed keeps one process's State up to date. It may be used by many goroutines.
type Feed struct {
	opts    Options
	timing  Timing
	objects objects.API
	reader  store.Reader
	meters  *meters

	// state is what the process may act on: nil until the first whole state.
	state   atomic.Pointer[State]
	changed *signal
	// pulse is sent when a heartbeat is due to this process's subscribers.
	pulse *signal
	// wanted holds the newest revision seen in a message and not yet pulled.
	wanted chan sighting
	// direct is set while a process that is no relay reads the platform itself.
	direct atomic.Bool
	// aloneBegan is sent when direct is set; lastRead is when a direct read
	// succeeded last, in Unix nanoseconds.
	aloneBegan *signal
	lastRead   atomic.Int64
	// listed is the version of the host list that the platform gave last.
	listed atomic.Uint64
	// lastBeat is when a heartbeat of an origin came, in Unix nanoseconds.
	lastBeat atomic.Int64

	// relaying is set while this process is a relay by the host list that it holds.
	relaying atomic.Bool

	// mu guards what follows up to providers.
	mu sync.Mutex
	// held is all that is known, also before the process may act on it.
	held        State
	history     []*config.Snapshot
	hostHistory []fleet.List
	started     bool
	// provider is the name of the entry whose feed is followed.
	provider string
	// providers are the entries that this process may follow, the best first.
	providers []fleet.Host

	randomMu sync.Mutex
	random   *rand.Rand

	encodings  encodings
	hostHealth health
}

// New returns a Feed that holds nothing until Run.
func New(opts Options) *Feed {
	if opts.RelaysPerZone == 0 {
		opts.RelaysPerZone = DefaultRelaysPerZone
	}
	f := &Feed{
		opts:       opts,
		timing:     opts.Timing.withDefaults(),
		meters:     newMeters(opts.Metrics),
		changed:    newSignal(),
		pulse:      newSignal(),
		wanted:     make(chan sighting, 1),
		aloneBegan: newSignal(),
		random:     newRandom(opts.Seed),
	}
	f.objects = &countedStore{API: opts.Objects, feed: f}
	f.reader = store.NewReader(f.objects)
	return f
}

// State returns the present state, or nil before the first one.
func (f *Feed) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. To
// miss none, a caller takes the channel first and the state then.
func (f *Feed) Changed() <-chan struct{} { return f.changed.wait() }

// Run keeps the state up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	if !f.start(ctx) {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx) })
	group.Go(func() error { return f.readAlone(ctx) })
	group.Go(func() error { return f.catchUp(ctx) })
	if f.opts.Role == fleet.RoleEntry {
		group.Go(func() error { return f.duty(ctx) })
		group.Go(func() error { return f.beat(ctx) })
	}
	return group.Wait()
}

// revision returns that of the configuration held, also before the start.
func (f *Feed) revision() core.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.Revision
}

// place works out this process's place among the hosts that it holds. The caller
// holds mu. Each heartbeat to each subscriber asks for it, so it is worked out once
// for each host list.
func (f *Feed) place() {
	hosts := f.held.hosts.Hosts
	f.relaying.Store(f.opts.Role == fleet.RoleEntry && relay.IsRelay(f.opts.Name, hosts, f.opts.RelaysPerZone))
	self := relay.Subscriber{Name: f.opts.Name, Zone: f.opts.Zone, Region: f.opts.Region}
	f.providers = self.Order(hosts, f.opts.RelaysPerZone)
}

// isRelay tells whether this process is a relay by the host list that it holds.
func (f *Feed) isRelay() bool { return f.relaying.Load() }

// isOrigin tells whether this process sends heartbeats of its own. Any other
// entry passes on those of the origin that it follows, so entries that follow
// each other in a circle fall silent and move on.
func (f *Feed) isOrigin() bool { return f.isRelay() || f.readsAlone() }

// isFed tells whether following this process makes sense: it is an origin, or
// heard of one lately.
func (f *Feed) isFed() bool {
	return f.isOrigin() || time.Since(time.Unix(0, f.lastBeat.Load())) < f.timing.Silence
}

// order returns whose feeds this process may follow, the best first. It must not
// be changed.
func (f *Feed) order() []fleet.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.providers
}
