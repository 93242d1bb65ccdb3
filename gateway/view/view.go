// Package view holds a gateway's view of the fleet: the operator's configuration, the
// upstreams in discovery, and the other gateways. Each kind of object is watched in the
// platform's store by a reader, or received from another gateway by a follower (package
// gateway/relay), and published as an immutable snapshot. A configuration is never
// replaced by an older one.
//
// A reader confirms its copy of the API keys by each response of the store. That freshness
// proof is passed on with the changes; without a recent one, requests with keys are refused.
package view

import (
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/memory"
	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/platform/document"
	"acaciawinch/platform/store"
)

// Member is one gateway of the fleet.
type Member struct {
	// Name is the machine's name.
	Name string
	// Address is IP:port for calls from other gateways.
	Address string
	// Incarnation identifies one run of the gateway's process.
	Incarnation string
	// Zone is its availability zone.
	Zone string
	// LinkMbps is the rate of the machine's link in Mbit/s, 0 if unknown.
	LinkMbps int
	// Cores is how many processor cores the process may use, 0 if unknown.
	Cores float64
	// Revision is the store's revision of the gateway's object.
	Revision int64
}

// Options configures a View.
type Options struct {
	Logger *observe.Logger
	// Self is this process; Members does not contain it.
	Self Member
	// Store holds the store's address and the bounds on the age of its data.
	Store StoreOptions
	// Regions holds the region of each zone.
	Regions map[string]string
	// Records are further kinds of objects, each with its receiver.
	Records []Records
	// StoreOverLimit is called with the store's address and each part of a response of it that exceeds its limit
	// in bytes; it may be nil.
	StoreOverLimit func(address, part string, limit int64)
	// Memory bounds the store's responses; nil sets no bound.
	Memory *memory.Budget
}

// Records is a kind of objects that gateways write and whose content the View does not read.
type Records struct {
	// Kind is the name of the kind in the store.
	Kind string
	// Receiver receives the objects.
	Receiver Receiver
}

// StoreOptions is the store's part of the settings. All but Evacuations may change while the
// process runs.
type StoreOptions struct {
	// Store is the store's address, IP:port.
	Store string
	// ConfirmWithin bounds the age of the newest freshness proof while requests with keys are
	// served.
	ConfirmWithin time.Duration
	// ApplyWithin bounds the time from the store's acceptance of a change until it is in force.
	ApplyWithin time.Duration
	// Evacuations is set if the operator may evacuate zones. It is read only when the process
	// starts.
	Evacuations bool
}

// View holds the state of the fleet. The methods that read it may be called by many goroutines.
type View struct {
	options Options

	store         atomic.Pointer[store.Client]
	confirmWithin atomic.Int64
	applyWithin   atomic.Int64

	table     atomic.Pointer[routes.Table]
	upstreams atomic.Pointer[routes.Upstreams]
	members   atomic.Pointer[[]Member]
	// membersKnown is set once the members were listed, recordsListed once all Records were.
	membersKnown, recordsListed atomic.Bool
	// firstTableAt is the boot time at which the first configuration came into force.
	firstTableAt atomic.Int64

	// replicas are the copies from which the snapshots are made.
	replicas []*kindReplica
	// upstreamEntries holds the known upstreams.
	upstreamEntries *upstreamReceiver
	// evacuations holds the evacuated zones; nil if the operator may not evacuate zones.
	evacuations *evacuationReceiver
	proof       *proofTracker
	// storeProofAt is the boot time of the newest proof from the store itself; below 0
	// before the first.
	storeProofAt atomic.Int64
	// failing is set while the store fails to respond to this process about the configuration.
	failing atomic.Bool
	// holding is set while the newest proof does not count for keys.
	holding atomic.Bool
	// ownRevision is the revision of this process's own object, 0 if unknown.
	ownRevision atomic.Int64
	// left is set once this process leaves the fleet.
	left atomic.Bool
	// ownOutdated makes Register write or remove this process's own object after a delay.
	ownOutdated chan time.Duration

	// era is the store's newest era.
	era eraTracker

	mu       sync.Mutex
	onChange []func()
	// watchers are those of the present call of Read.
	watchers []*watcher
	// audit has a lock of its own.
	audit *audit
}

// New returns a View without data.
func New(options Options) *View {
	v := &View{options: options, proof: newProofTracker(), ownOutdated: make(chan time.Duration, 1)}
	v.audit = newAudit(v)
	upstreams := newUpstreamReceiver(v)
	v.upstreamEntries = upstreams
	v.replicas = []*kindReplica{
		v.newKindReplica(document.ConfigKind, &configReceiver{view: v}),
		v.newKindReplica(document.UpstreamKind, upstreams),
		v.newKindReplica(MemberKind, newMemberReceiver(v)),
	}
	if options.Store.Evacuations {
		v.evacuations = newEvacuationReceiver(v, upstreams)
		v.replicas = append(v.replicas, v.newKindReplica(document.EvacuationKind, v.evacuations))
	}
	for _, records := range options.Records {
		v.replicas = append(v.replicas, v.newKindReplica(records.Kind, records.Receiver))
	}
	v.OnEra(func(int64) {
		v.proof.recordGap()
		v.proof.notify()
		v.restartWatchers()
	})
	v.SetStoreOptions(options.Store)
	v.members.Store(&[]Member{})
	v.storeProofAt.Store(-1)
	return v
}

// newKindReplica returns an empty copy of a kind.
func (v *View) newKindReplica(name string, to Receiver) *kindReplica {
	return &kindReplica{name: name, receiver: to, proof: v.proof, logger: v.options.Logger, replica: replica.New()}
}

// configReplica returns the copy of the configuration.
func (v *View) configReplica() *kindReplica { return v.replicas[0] }

// SetStoreOptions applies changed settings. The present data stays in force until the store at a
// new address replaces it: that may be another store, whose eras and revisions can't be compared.
func (v *View) SetStoreOptions(options StoreOptions) {
	v.confirmWithin.Store(int64(options.ConfirmWithin))
	v.applyWithin.Store(int64(options.ApplyWithin))
	old := v.store.Load()
	if old != nil && old.Address() == options.Store {
		return
	}
	client := store.New(options.Store)
	client.UseMemory(v.options.Memory)
	client.OnEra(func(era int64) {
		if v.store.Load() == client {
			v.hearStoreEra(era)
		}
	})
	if v.options.StoreOverLimit != nil {
		client.OnOverLimit(func(part string, limit int64) { v.options.StoreOverLimit(client.Address(), part, limit) })
	}
	v.store.Store(client)
	if old != nil {
		v.moveStore()
	}
}

// Store returns the client of the store.
func (v *View) Store() *store.Client { return v.store.Load() }

// Table returns the newest configuration, nil before the first.
func (v *View) Table() *routes.Table { return v.table.Load() }

// Upstreams returns the upstreams, nil until both the upstreams and the evacuated zones were
// listed.
func (v *View) Upstreams() *routes.Upstreams { return v.upstreams.Load() }

// Members returns the other gateways. The caller must not change the slice.
func (v *View) Members() []Member { return *v.members.Load() }

// MembersKnown reports whether the other gateways were listed once.
func (v *View) MembersKnown() bool { return v.membersKnown.Load() }

// Ready reports whether requests can be served.
func (v *View) Ready() bool { return v.Table() != nil && v.Upstreams() != nil && v.recordsReady() }

// recordsTimeout bounds the wait for the objects of Options.Records after the first configuration:
// a store that has returned the configuration returns them within the timeout of a call. Without
// the gateways' crash records a process would send requests that the other gateways refuse.
const recordsTimeout = 2 * time.Second

// recordsReady reports whether the objects of Options.Records were listed once or recordsTimeout
// has passed.
func (v *View) recordsReady() bool {
	if v.recordsListed.Load() {
		return true
	}
	for _, records := range v.options.Records {
		if !v.replicaOf(records.Kind).listed() {
			return clock.Boot()-time.Duration(v.firstTableAt.Load()) > recordsTimeout
		}
	}
	v.recordsListed.Store(true)
	return true
}

// ProofAge returns the age of the newest freshness proof, and false if there is none.
func (v *View) ProofAge() (time.Duration, bool) {
	newest, known := v.proof.get()
	if !known || v.Table() == nil {
		return 0, false
	}
	return clock.Boot() - newest.At, true
}

// KeysTrusted reports whether requests with keys may run.
func (v *View) KeysTrusted() bool { return v.keysTrustedFor(0) }

// keysTrustedFor reports whether requests with keys may still run after an extra time without a
// new proof.
func (v *View) keysTrustedFor(extra time.Duration) bool {
	age, known := v.ProofAge()
	return known && age+extra < v.KeyTrustTime()
}

// KeyTrustTime returns how long a freshness proof is valid.
func (v *View) KeyTrustTime() time.Duration { return time.Duration(v.confirmWithin.Load()) }

// ApplyTime returns the time within which a change that the store has accepted must be in force.
func (v *View) ApplyTime() time.Duration { return time.Duration(v.applyWithin.Load()) }

// leadTime bounds how early AcceptsConnections turns false before requests with keys must be
// refused: the load balancer checks once a second and acts on the second check. AcceptsConnections
// uses at most a third of the time for which a proof is valid, so that a watch that waits for
// another third of it renews the proof in time.
const leadTime = 1500 * time.Millisecond

// AcceptsConnections reports whether new connections should come to this process. A process
// without recent proofs would soon refuse requests that the other gateways can serve.
func (v *View) AcceptsConnections() bool {
	return v.Ready() && (!v.Table().HasWorkspaces() || v.keysTrustedFor(min(leadTime, v.KeyTrustTime()/confirmDivisor)))
}

// OnChange registers a function to call after each change of upstreams, members or configuration.
// The function must not block. OnChange must be called before Read.
func (v *View) OnChange(call func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, call)
}

// notifyChange calls the registered functions.
func (v *View) notifyChange() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, call := range v.onChange {
		call()
	}
}
