package relay

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/source"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	wirelink "acaciawinch/wire/link"
)

// Figures of the choice of sources.
const (
	// followersPerReader is how many gateways of a zone follow one that reads the store. At
	// 24 a reader with 20 Mbit/s passes the packed list of 1,100 upstreams on to all that start
	// at once in some 0.5 s.
	followersPerReader = 24
	// staleShare is the part of the time for which keys are trusted after which a source
	// whose proof is older is left for another one, and applyShare that of the time within
	// which a change must be in force; the shorter one counts. Of 4.5 s and 2 s these are 2.5 s
	// and 1.2 s. A watch of a quarter of the latter proves up to a third of its wait before its
	// end, so that a sound source's proof is at most 0.7 s old, 1.2 s at a store that is 60
	// times slower than usual.
	staleShare = 0.55
	applyShare = 0.6
	// lookEvery is how often the choice is looked at without cause.
	lookEvery = 250 * time.Millisecond
	// settle is how long a process waits at the first start of the whole fleet before it
	// asks who else is there: all start within 0.3 s, and take some time until they have
	// registered.
	settle = 700 * time.Millisecond
)

// Follower keeps a View up to date, from the store or from other gateways.
type Follower struct {
	view   *view.View
	self   view.Member
	dialer *wirelink.Dialer
	logger *observe.Logger
	// metrics may be used by many goroutines.
	metrics metrics
	first   bool

	wake chan struct{}

	mu       sync.Mutex
	selector *source.Selector
	members  []view.Member
	// following is the member that the running link goes to; without a name there is none.
	following view.Member
	unfollow  context.CancelFunc
	plan      source.Plan
}

// Options are what a Follower needs.
type Options struct {
	View *view.View
	// Self is this process.
	Self   view.Member
	Dialer *wirelink.Dialer
	Logger *observe.Logger
	Scope  tally.Scope
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
}

// NewFollower returns a Follower. Run must be called.
func NewFollower(options Options) *Follower {
	return &Follower{
		view:    options.View,
		self:    options.Self,
		dialer:  options.Dialer,
		logger:  options.Logger,
		metrics: newMetrics(options.Scope),
		first:   options.FirstStart,
		wake:    make(chan struct{}, 1),
	}
}

// Run keeps the View up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.first {
		clock.Sleep(ctx, settle)
	}
	if err := f.view.ListMembers(ctx); err != nil {
		return err
	}
	f.selector = source.New(memberOf(f.self), source.Settings{FollowersPerReader: followersPerReader, StaleAfter: f.staleAfter()}, clock.Boot())
	reader := &reader{view: f.view}
	defer reader.stop()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		plan := f.next()
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
	return min(time.Duration(staleShare*float64(f.view.TrustTime())), time.Duration(applyShare*float64(f.view.ApplyTime())))
}

// memberOf returns a member in the words of the choice.
func memberOf(m view.Member) source.Member {
	return source.Member{Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation, LinkMbps: m.LinkMbps}
}

// Wake lets the choice be looked at again, as members have changed. It returns at once.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// next returns the plan for what is known now, and logs one that differs from the last.
func (f *Follower) next() source.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeMembers()
	f.selector.SetStaleAfter(f.staleAfter())
	if at, known := f.view.StoreProved(); known {
		f.selector.StoreProved(at)
	}
	plan := f.selector.Next(clock.Boot())
	if plan != f.plan {
		f.plan = plan
		f.metrics.changes.Inc(1)
		f.note(plan)
	}
	f.measure(plan)
	return plan
}

// takeMembers hands the members to the choice, if they have changed. The lock is held.
func (f *Follower) takeMembers() {
	members := f.view.Members()
	if len(members) == len(f.members) && (len(members) == 0 || &members[0] == &f.members[0]) {
		return // it is the same list: the View makes a new one for each change
	}
	f.members = members
	list := make([]source.Member, len(members))
	for i, m := range members {
		list[i] = memberOf(m)
	}
	f.selector.SetMembers(list)
}

// measure shows a plan and the age of what is known.
func (f *Follower) measure(plan source.Plan) {
	f.metrics.reads.Update(one(plan.Read))
	f.metrics.follows.Update(one(plan.Follow.Name != ""))
	if age, hops := f.age(); age >= 0 {
		f.metrics.proofAge.Update(float64(age) / 1000)
		f.metrics.hops.Update(float64(hops))
	}
}

// note logs a plan. The lock is held.
func (f *Follower) note(plan source.Plan) {
	age, hops := f.age()
	f.logger.Event(event.SourceChanged, observe.Fields{"reads": plan.Read, "follows": plan.Follow.Name,
		"incarnation": plan.Follow.Incarnation, "reason": string(plan.Reason), "proof_age_ms": age, "hops": hops})
}

// age returns the age of the newest proof in ms, -1 if there is none, and its hops.
func (f *Follower) age() (ageMS int64, hops int) {
	newest, known := f.view.Proof()
	if !known {
		return -1, 0
	}
	return (clock.Boot() - newest.At).Milliseconds(), newest.Hops
}

// follow lets the link go to a member; without a name to none.
func (f *Follower) follow(ctx context.Context, to source.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following.Incarnation == to.Incarnation {
		return
	}
	if f.unfollow != nil {
		f.unfollow()
	}
	f.following, f.unfollow = f.member(to), nil
	if f.following.Name == "" {
		return
	}
	var linkCtx context.Context
	linkCtx, f.unfollow = context.WithCancel(ctx)
	go f.run(linkCtx, f.following)
}

// member returns the member with an incarnation; without a name if it is gone.
func (f *Follower) member(of source.Member) view.Member {
	for _, m := range f.view.Members() {
		if m.Incarnation == of.Incarnation {
			return m
		}
	}
	return view.Member{}
}

// run is the life of one link.
func (f *Follower) run(ctx context.Context, to view.Member) {
	err := (&link{follower: f, source: to, gatherer: newGatherer()}).run(ctx)
	if ctx.Err() != nil {
		return // it is no longer wanted
	}
	age, _ := f.age()
	f.metrics.lost.Inc(1)
	f.logger.Warn(event.SourceLost, observe.Fields{"source": to.Name, "incarnation": to.Incarnation, "proof_age_ms": age, "error": err.Error()})
	f.mu.Lock()
	f.selector.Lost(to.Incarnation, clock.Boot())
	if f.following.Incarnation == to.Incarnation {
		f.following, f.unfollow = view.Member{}, nil
	}
	f.mu.Unlock()
	f.Wake()
}

// tell hands a source's word to the choice.
func (f *Follower) tell(word heard) {
	f.mu.Lock()
	if word.partial {
		f.selector.Filling(word.incarnation, clock.Boot())
		f.mu.Unlock()
		return
	}
	at := word.proof.At
	if !word.known {
		at = source.Never
	}
	f.selector.Heard(source.Word{Incarnation: word.incarnation, Proved: at, Hops: word.proof.Hops, Failing: word.failing}, clock.Boot())
	calm := f.plan.Reason == source.Follower && !word.failing
	f.mu.Unlock()
	if !calm {
		f.Wake()
	}
}

// reader reads the store while it is wanted.
type reader struct {
	view  *view.View
	end   context.CancelFunc
	ended chan struct{}
}

// set begins or ends the reading.
func (r *reader) set(ctx context.Context, wanted bool) {
	if wanted == (r.end != nil) {
		return
	}
	if !wanted {
		r.stop()
		return
	}
	ctx, r.end = context.WithCancel(ctx)
	r.ended = make(chan struct{})
	go func() {
		defer close(r.ended)
		_ = r.view.Read(ctx) // it has no error but the end of ctx
	}()
}

// stop ends the reading and waits until no call is under way.
func (r *reader) stop() {
	if r.end == nil {
		return
	}
	r.end()
	<-r.ended
	r.end, r.ended = nil, nil
}
