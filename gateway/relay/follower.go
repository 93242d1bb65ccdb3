package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/memory"
	"acaciawinch/core/source"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	wirelink "acaciawinch/wire/link"
)

// Parameters of the choice of sources.
const (
	// followersPerReader is how many gateways of a zone follow one reader. With 24, a reader
	// with a link of 20 Mbit/s passes the compressed list of 1,100 upstreams to all of them in
	// some 0.5 s if they start at once.
	followersPerReader = 24
	// staleShare and applyShare: a proof is stale after the shorter of two times, staleShare of the
	// time for which keys are trusted, and applyShare of the time within which a change must be in
	// force. A source with a stale proof is replaced. With 4.5 s and 2 s, these are 2.5 s and
	// 1.2 s. A watch lasts a quarter of the time within which a change must be in force and proves
	// the state up to a third of the watch before its end, so that a healthy source's proof is at
	// most 0.7 s old, or 1.2 s with a store that is 60 times slower than usual.
	staleShare = 0.55
	applyShare = 0.6
	// checkInterval is how often the choice of a source is checked if Wake is not called.
	checkInterval = 250 * time.Millisecond
	// firstStartDelay is how long a process waits at the first start of the whole fleet before
	// it lists the members: all start within 0.3 s and take some time to register.
	firstStartDelay = 700 * time.Millisecond
)

// Follower keeps a View up to date, from the store or from other gateways.
type Follower struct {
	view   *view.View
	self   view.Member
	dialer *wirelink.Dialer
	logger *observe.Logger
	// metrics is safe for concurrent use.
	metrics    metrics
	firstStart bool
	memory     *memory.Budget

	// wake makes Run check the choice of a source.
	wake chan struct{}

	mu       sync.Mutex
	selector *source.Selector
	members  []view.Member
	// following is the member that the current link leads to; its name is empty if there is no
	// link.
	following  view.Member
	cancelLink context.CancelFunc
	plan       source.Plan
}

// Options configures a Follower.
type Options struct {
	View *view.View
	// Self is this process.
	Self   view.Member
	Dialer *wirelink.Dialer
	Logger *observe.Logger
	Scope  tally.Scope
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// Memory bounds the lists that a source sends; nil sets no bound.
	Memory *memory.Budget
}

// NewFollower returns a Follower. The caller must call Run.
func NewFollower(options Options) *Follower {
	return &Follower{
		view:       options.View,
		self:       options.Self,
		dialer:     options.Dialer,
		logger:     options.Logger,
		metrics:    newMetrics(options.Scope),
		firstStart: options.FirstStart,
		memory:     options.Memory,
		wake:       make(chan struct{}, 1),
	}
}

// Run keeps the View up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.firstStart {
		clock.Sleep(ctx, firstStartDelay)
	}
	if err := f.view.ListMembers(ctx); err != nil {
		return err
	}
	f.selector = source.New(memberOf(f.self), source.Settings{FollowersPerReader: followersPerReader, StaleAfter: f.staleAfter()}, clock.Boot())
	reader := &storeReader{view: f.view}
	defer reader.stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		plan := f.nextPlan()
		reader.set(ctx, plan.Read)
		f.follow(ctx, plan.Follow)
		select {
		case <-ctx.Done():
			f.follow(ctx, source.Member{})
			return nil
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// staleAfter returns the age after which a proof is stale.
func (f *Follower) staleAfter() time.Duration {
	return min(time.Duration(staleShare*float64(f.view.KeyTrustTime())), time.Duration(applyShare*float64(f.view.ApplyTime())))
}

// memberOf converts a member for package source.
func memberOf(m view.Member) source.Member {
	return source.Member{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, LinkMbps: m.LinkMbps}
}

// Wake makes Run check the choice again because members have changed. It does not block.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// nextPlan returns the plan for the current state, and logs it if it differs from the last one.
func (f *Follower) nextPlan() source.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateMembers()
	f.selector.SetStaleAfter(f.staleAfter())
	if at, known := f.view.StoreProofTime(); known {
		f.selector.StoreProved(at)
	}
	plan := f.selector.Next(clock.Boot())
	if plan != f.plan {
		f.plan = plan
		f.metrics.changes.Inc(1)
		f.logPlan(plan)
	}
	f.updateMetrics(plan)
	return plan
}

// updateMembers passes the members to the selector if they have changed. f.mu must be held.
func (f *Follower) updateMembers() {
	members := f.view.Members()
	if len(members) == len(f.members) && (len(members) == 0 || &members[0] == &f.members[0]) {
		return // the list has not changed: the View makes a new one for each change
	}
	f.members = members
	list := make([]source.Member, len(members))
	for i, m := range members {
		list[i] = memberOf(m)
	}
	f.selector.SetMembers(list)
}

// updateMetrics sets the metrics for a plan and the newest proof.
func (f *Follower) updateMetrics(plan source.Plan) {
	f.metrics.reads.Update(boolValue(plan.Read))
	f.metrics.follows.Update(boolValue(plan.Follow.Name != ""))
	if age, hops := f.proofAge(); age >= 0 {
		f.metrics.proofAge.Update(float64(age) / 1000)
		f.metrics.hops.Update(float64(hops))
	}
}

// logPlan logs a plan. f.mu must be held.
func (f *Follower) logPlan(plan source.Plan) {
	age, hops := f.proofAge()
	f.logger.Event(event.SourceChanged, observe.Fields{"reads": plan.Read, "follows": plan.Follow.Name,
		"incarnation": plan.Follow.Incarnation, "reason": string(plan.Reason), "proof_age_ms": age, "hops": hops})
}

// proofAge returns the age of the newest proof in ms, -1 if there is none, and its hops.
func (f *Follower) proofAge() (ageMS int64, hops int) {
	newest, known := f.view.Proof()
	if !known {
		return -1, 0
	}
	return (clock.Boot() - newest.At).Milliseconds(), newest.Hops
}

// follow replaces the current link with one to a member, or with none if the member's name is
// empty.
func (f *Follower) follow(ctx context.Context, to source.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following.Incarnation == to.Incarnation {
		return
	}
	if f.cancelLink != nil {
		f.cancelLink()
	}
	f.following, f.cancelLink = f.member(to), nil
	if f.following.Name == "" {
		return
	}
	var linkCtx context.Context
	linkCtx, f.cancelLink = context.WithCancel(ctx)
	go f.runLink(linkCtx, f.following)
}

// member returns the member with the same incarnation, or the zero Member if it is gone.
func (f *Follower) member(want source.Member) view.Member {
	for _, m := range f.view.Members() {
		if m.Incarnation == want.Incarnation {
			return m
		}
	}
	return view.Member{}
}

// runLink runs one link until it breaks or is replaced.
func (f *Follower) runLink(ctx context.Context, to view.Member) {
	pieces := newAssembler()
	pieces.useMemory(f.memory)
	defer pieces.close()
	err := (&link{follower: f, source: to, assembler: pieces}).run(ctx)
	if ctx.Err() != nil {
		return // the link was replaced
	}
	age, _ := f.proofAge()
	f.metrics.lost.Inc(1)
	f.logger.Warn(event.SourceLost, observe.Fields{"source": to.Name, "incarnation": to.Incarnation, "proof_age_ms": age, "error": err.Error()})
	f.mu.Lock()
	f.selector.Lost(to.Incarnation, clock.Boot())
	if f.following.Incarnation == to.Incarnation {
		f.following, f.cancelLink = view.Member{}, nil
	}
	f.mu.Unlock()
	f.Wake()
}

// reportUpdate passes a source's update to the selector.
func (f *Follower) reportUpdate(update sourceUpdate) {
	f.mu.Lock()
	if update.partial {
		f.selector.Loading(update.incarnation, clock.Boot())
		f.mu.Unlock()
		return
	}
	at := update.proved
	if !update.hasProof {
		at = source.Never
	}
	f.selector.RecordReport(source.Report{Incarnation: update.incarnation, Proved: at, Hops: update.hops, Failing: update.failing}, clock.Boot())
	steady := f.plan.Reason == source.Follower && !update.failing
	f.mu.Unlock()
	if !steady {
		f.Wake()
	}
}

// storeReader runs View.Read while this process is to read the store.
type storeReader struct {
	view   *view.View
	cancel context.CancelFunc
	done   chan struct{}
}

// set starts or stops reading.
func (r *storeReader) set(ctx context.Context, wanted bool) {
	if wanted == (r.cancel != nil) {
		return
	}
	if !wanted {
		r.stop()
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		_ = r.view.Read(ctx) // it fails only when ctx ends
	}()
}

// stop stops reading and waits until no call is in flight.
func (r *storeReader) stop() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
	r.cancel, r.done = nil, nil
}
