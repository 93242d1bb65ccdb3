// Package streamversion keeps streams at the software version that began them, together with the other
// gateways. The decisions are in core/streamversion; this package reads and writes the registers in the
// platform's store, copies records to other gateways and asks them for records.
package streamversion

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/store"
	"acaciawinch/wire/link"
)

const (
	// maxRecords bounds the records of each table, at some 300 bytes each.
	maxRecords = 50_000
	// tickInterval is how often records expire and failed reads of registers are repeated.
	tickInterval = time.Second
	// stateWait bounds how long a stream waits for the first read of a register.
	stateWait = 300 * time.Millisecond
	// readyTimeout bounds the time for which the first reads of registers keep this process from being ready.
	readyTimeout = 2 * time.Second
	// changingTime is how long after a register became mixed other gateways may still copy records of streams that
	// had begun before: discovery, a call of the store and a copy.
	changingTime = 2 * time.Second
)

// Fleet is a Keeper's access to the state of the fleet. view.View implements it.
type Fleet interface {
	Members() []view.Member
	// Upstreams and Table return nil before the first list.
	Upstreams() *routes.Upstreams
	Table() *routes.Table
	Store() *store.Client
	// ProofAge returns the age of the last word of the store, and false if there was none.
	ProofAge() (time.Duration, bool)
}

// Options configures a Keeper.
type Options struct {
	Fleet Fleet
	// Self is this process.
	Self   view.Member
	Dialer *link.Dialer
	// Lifetime bounds what goes on in the background.
	Lifetime context.Context
	Logger   *observe.Logger
	Scope    tally.Scope
}

// Keeper knows the versions of the streams of one gateway, and holds records for others. It is safe for
// concurrent use.
type Keeper struct {
	options Options
	metrics metrics

	mu       sync.Mutex
	services map[string]*service
	// begun holds the streams that this gateway has passed on, held the records that it holds for others.
	begun, held *core.Table
	// gateways are this process and the others, members the others by incarnation.
	memberList []view.Member
	gateways   core.Fleet
	members    map[string]view.Member
	// leaving is set on a planned stop.
	leaving bool
	// firstTableAt is when Ready first found a configuration; ready is set once it returned true.
	firstTableAt time.Duration
	ready        atomic.Bool
}

// service is what a Keeper knows of one service. The Keeper's lock guards all but usable.
type service struct {
	name  string
	state *core.State
	// usable holds the versions at which streams may begin; nil until the register is known.
	usable atomic.Pointer[[]string]
	// known is closed when usable is set; it is replaced when usable is reset.
	known chan struct{}
	// mixedAt is when a register that was settled became mixed; 0 if it never did.
	mixedAt time.Duration
	// heard is set if another gateway copied records since the register was last read for that, at heardAt.
	heard   bool
	heardAt time.Duration
	// next is the sync that begins when the present one has ended; syncing is set while one runs.
	next    *syncCall
	syncing bool
	// logged is what the last log line on the versions said.
	logged string
}

// New returns a Keeper. The caller must call Run.
func New(options Options) *Keeper {
	return &Keeper{
		options:  options,
		metrics:  newMetrics(options.Scope),
		services: make(map[string]*service),
		begun:    core.NewTable(maxRecords),
		held:     core.NewTable(maxRecords),
		gateways: core.NewFleet([]core.Gateway{gatewayOf(options.Self)}),
		members:  make(map[string]view.Member),
	}
}

// gatewayOf converts a member for package core/streamversion.
func gatewayOf(m view.Member) core.Gateway {
	return core.Gateway{Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone}
}

// Run forgets expired records and repeats what has failed, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.tick()
		}
	}
}

// tick forgets expired records and begins syncs that are due.
func (k *Keeper) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Boot()
	k.begun.Expire(now)
	k.held.Expire(now)
	k.metrics.begun.Update(float64(k.begun.Len()))
	k.metrics.held.Update(float64(k.held.Len()))
	k.confirm()
	for _, s := range k.services {
		s.state.Tick(now)
		k.syncIfNeeded(s, now)
		k.readIfHeard(s, now)
	}
}

// FleetChanged takes the present configuration, upstreams and gateways. It must be called when one of them
// changes.
func (k *Keeper) FleetChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takeMembers()
	table, upstreams := k.options.Fleet.Table(), k.options.Fleet.Upstreams()
	if table == nil || upstreams == nil {
		return
	}
	now := clock.Boot()
	for _, name := range table.ResumableServices() {
		s := k.service(name)
		versions := upstreams.Versions(name)
		if slices.Equal(versions, s.state.Versions()) {
			continue
		}
		s.state.Listed(now, versions)
		k.publish(s)
		k.syncIfNeeded(s, now)
	}
}

// service returns what is known of a service. k.mu must be held.
func (k *Keeper) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{name: name, state: core.NewState(), known: make(chan struct{})}
		k.services[name] = s
	}
	return s
}

// takeMembers takes the list of the other gateways, and copies records to those that hold them now. k.mu must
// be held.
func (k *Keeper) takeMembers() {
	list := k.options.Fleet.Members()
	if len(list) == len(k.memberList) && (len(list) == 0 || &list[0] == &k.memberList[0]) {
		return // the View makes a new list for each change
	}
	before := k.gateways
	k.memberList = list
	k.gateways = k.gatewaysOf(list)
	k.members = make(map[string]view.Member, len(list))
	for _, member := range list {
		k.members[member.Incarnation] = member
	}
	k.copyToNewHolders(before)
}

// gatewaysOf returns the gateways that may hold records: this process, unless it leaves, and others. k.mu must be
// held.
func (k *Keeper) gatewaysOf(list []view.Member) core.Fleet {
	var gateways []core.Gateway
	if !k.leaving {
		gateways = append(gateways, gatewayOf(k.options.Self))
	}
	for _, member := range list {
		gateways = append(gateways, gatewayOf(member))
	}
	return core.NewFleet(gateways)
}

// Ready reports whether streams of all services with upstreams may begin, or readyTimeout has passed since the first
// configuration: without the versions, this process would refuse streams that other gateways serve.
func (k *Keeper) Ready() bool {
	if k.ready.Load() {
		return true
	}
	table := k.options.Fleet.Table()
	if table == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Boot()
	if k.firstTableAt == 0 {
		k.firstTableAt = now
	}
	waits := slices.ContainsFunc(table.ResumableServices(), func(name string) bool {
		s := k.service(name)
		return len(s.state.Versions()) > 0 && !s.state.Known()
	})
	if waits && now-k.firstTableAt < readyTimeout {
		return false
	}
	k.ready.Store(true)
	return true
}

// Usable returns the versions at which streams of a service may begin now. It waits a moment for the first read
// of the service's register. The error has code Unavailable if they are not known.
func (k *Keeper) Usable(ctx context.Context, name string) ([]string, error) {
	if !k.isFresh() {
		return nil, fault.New(fault.Unavailable, "stream.begin", name, "the software versions were not confirmed for %v", core.MaxStateAge)
	}
	k.mu.Lock()
	k.confirm()
	s := k.service(name)
	known := s.known
	k.mu.Unlock()
	if usable := s.usable.Load(); usable != nil {
		return *usable, nil
	}
	wait := time.NewTimer(stateWait)
	defer wait.Stop()
	select {
	case <-known:
		if usable := s.usable.Load(); usable != nil {
			return *usable, nil
		}
	case <-wait.C:
	case <-ctx.Done():
	}
	return nil, fault.New(fault.Unavailable, "stream.begin", name, "the software versions of the service are not known yet")
}

// confirm takes the time of the store's last word, and forgets what may have changed since the one before. k.mu must
// be held.
func (k *Keeper) confirm() {
	age, known := k.options.Fleet.ProofAge()
	if !known {
		return
	}
	at := clock.Boot() - age
	for _, s := range k.services {
		s.state.Confirmed(at)
		if !s.state.Known() && s.usable.Load() != nil {
			s.usable.Store(nil)
			s.known = make(chan struct{})
			k.startSync(s)
		}
	}
}

// StoreReturned must be called when the store has returned from an older copy: its registers may be older than what
// this process knows, and are written again if they have to be.
func (k *Keeper) StoreReturned(int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		k.startSync(s)
	}
}

// Leave hands the records to the gateways that hold them without this process.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.gateways
	k.leaving = true
	k.gateways = k.gatewaysOf(k.memberList)
	k.copyToNewHolders(before)
}
