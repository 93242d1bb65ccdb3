// Package view holds what a gateway knows of the fleet: the operator's
// configuration, the upstreams that discovery tells of, and the other gateways. Each
// is followed in the platform's store by a watch, or fed by another gateway (package
// gateway/relay), and published as an immutable snapshot. A configuration is never
// replaced by an older one.
package view

import (
	"sync"
	"sync/atomic"
	"time"

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
	// Address is IP:port of its calls.
	Address string
	// Incarnation names one start of its process.
	Incarnation string
	// Zone is its availability zone.
	Zone string
	// LinkMbps is the rate of its machine's link in Mbit/s, 0 if it is not known.
	LinkMbps int
	// Cores is what its process may use of its machine's processor, 0 if it is not known.
	Cores float64
	// Revision is that of its object in the store.
	Revision int64
}

// Options are what a View needs.
type Options struct {
	Logger *observe.Logger
	// Self is this process; it is not among the Members.
	Self Member
	// Source is where the store is and how long its word counts.
	Source Source
	// Regions holds the region of each zone.
	Regions map[string]string
	// Records are kinds of objects that others take.
	Records []Records
}

// Records is a kind of the gateways' own objects whose content is not the View's.
type Records struct {
	// Kind is its name in the store.
	Kind string
	// To takes the objects.
	To Receiver
}

// Source is what the settings say of the store. It may change while the process runs.
type Source struct {
	// Store is the store's address, IP:port.
	Store string
	// ConfirmWithin bounds the age of what is known of keys.
	ConfirmWithin time.Duration
	// ApplyWithin bounds the time until a change that the store has accepted is in force.
	ApplyWithin time.Duration
	// Evacuations is set if the operator may ask that zones be emptied. It holds from the
	// start of the process.
	Evacuations bool
}

// View follows the fleet. Its readers may be called by many goroutines.
type View struct {
	options Options

	store         atomic.Pointer[store.Client]
	confirmWithin atomic.Int64
	applyWithin   atomic.Int64

	table     atomic.Pointer[routes.Table]
	upstreams atomic.Pointer[routes.Upstreams]
	members   atomic.Pointer[[]Member]
	// membersKnown is set once members were listed, recordsListed once all Records were.
	membersKnown, recordsListed atomic.Bool
	// tableSince is the boot time of the first configuration.
	tableSince atomic.Int64

	// kinds are the copies from which the snapshots are made.
	kinds []*kind
	// discovered is where the upstreams are known.
	discovered *upstreamFollower
	// zones are the evacuated zones; nil if they are not followed.
	zones *evacuationFollower
	proof *proof
	// storeProved is the boot time of the newest proof that the store itself gave; below 0
	// before the first.
	storeProved atomic.Int64
	// failing is set while the store does not answer this process for the configuration.
	failing atomic.Bool
	// registered is the revision of the own object, 0 if it is not known.
	registered atomic.Int64

	mu       sync.Mutex
	onChange []func()
}

// New returns a View that knows nothing yet.
func New(options Options) *View {
	v := &View{options: options, proof: newProof()}
	upstreams := newUpstreamFollower(v)
	v.discovered = upstreams
	v.kinds = []*kind{
		v.newKind(document.ConfigKind, &configFollower{view: v}),
		v.newKind(document.WorkerKind, upstreams),
		v.newKind(MemberKind, newMemberFollower(v)),
	}
	if options.Source.Evacuations {
		v.zones = newEvacuationFollower(v, upstreams)
		v.kinds = append(v.kinds, v.newKind(document.EvacuationKind, v.zones))
	}
	for _, records := range options.Records {
		v.kinds = append(v.kinds, v.newKind(records.Kind, records.To))
	}
	v.SetSource(options.Source)
	v.members.Store(&[]Member{})
	v.storeProved.Store(-1)
	return v
}

// newKind returns the empty copy of a kind.
func (v *View) newKind(name string, to Receiver) *kind {
	return &kind{name: name, to: to, proof: v.proof, copy: replica.New()}
}

// SetSource takes over changed settings. What is known stays until the store at the
// new address says otherwise.
func (v *View) SetSource(source Source) {
	v.confirmWithin.Store(int64(source.ConfirmWithin))
	v.applyWithin.Store(int64(source.ApplyWithin))
	if old := v.store.Load(); old == nil || old.Address() != source.Store {
		v.store.Store(store.New(source.Store))
	}
}

// Store returns the client of the store.
func (v *View) Store() *store.Client { return v.store.Load() }

// Table returns the newest configuration, nil before the first.
func (v *View) Table() *routes.Table { return v.table.Load() }

// Upstreams returns the upstreams, nil before the first list of them and of evacuated zones.
func (v *View) Upstreams() *routes.Upstreams { return v.upstreams.Load() }

// Members returns the other gateways. The caller must not change the slice.
func (v *View) Members() []Member { return *v.members.Load() }

// MembersKnown tells whether the list of the other gateways was read once.
func (v *View) MembersKnown() bool { return v.membersKnown.Load() }

// Ready tells whether requests can be served.
func (v *View) Ready() bool { return v.Table() != nil && v.Upstreams() != nil && v.recordsKnown() }

// recordsPatience is how long after the first configuration the gateways' records are waited for: a
// store that answers for the rest answers for them within a call's timeout. A process that served
// before would send what the others refuse.
const recordsPatience = 2 * time.Second

// recordsKnown tells whether the gateways' records were listed once, or are waited for no longer.
func (v *View) recordsKnown() bool {
	if v.recordsListed.Load() {
		return true
	}
	for _, records := range v.options.Records {
		if v.kind(records.Kind).revision() == unknown {
			return clock.Boot()-time.Duration(v.tableSince.Load()) > recordsPatience
		}
	}
	v.recordsListed.Store(true)
	return true
}

// KeysAge returns how old the newest proof is that no key was taken away since, and
// false if there is none.
func (v *View) KeysAge() (time.Duration, bool) {
	newest, known := v.proof.get()
	if !known || v.Table() == nil {
		return 0, false
	}
	return clock.Boot() - newest.At, true
}

// KeysTrusted tells whether requests with keys may run.
func (v *View) KeysTrusted() bool { return v.keysTrustedFor(0) }

// keysTrustedFor tells whether requests with keys may run for a while longer without
// another word of the store.
func (v *View) keysTrustedFor(while time.Duration) bool {
	age, known := v.KeysAge()
	return known && age+while < v.TrustTime()
}

// TrustTime returns for how long a proof of the keys holds.
func (v *View) TrustTime() time.Duration { return time.Duration(v.confirmWithin.Load()) }

// ApplyTime returns the time within which a change must be in force.
func (v *View) ApplyTime() time.Duration { return time.Duration(v.applyWithin.Load()) }

// leadTime is how long before requests with keys must be refused new connections are
// asked to go elsewhere: the balancer asks once a second and acts on the second answer.
// It is at most a third of the time for which a proof holds, which a watch that waits for
// another third leaves.
const leadTime = 1500 * time.Millisecond

// TakesNew tells whether new connections should come to this process. One that the store
// does not answer would soon refuse what the others can serve.
func (v *View) TakesNew() bool {
	return v.Ready() && (!v.Table().HasWorkspaces() || v.keysTrustedFor(min(leadTime, v.TrustTime()/confirmShare)))
}

// OnChange registers what is called after each change of upstreams, members or
// configuration. It must return at once, and is registered before Run.
func (v *View) OnChange(call func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, call)
}

// changed calls what was registered.
func (v *View) changed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, call := range v.onChange {
		call()
	}
}
