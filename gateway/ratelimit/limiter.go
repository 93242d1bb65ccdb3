package ratelimit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
	"acaciawinch/wire/link"
)

// Fleet is a Limiter's access to the state of the fleet. view.View implements it.
type Fleet interface {
	Members() []view.Member
	// Upstreams returns nil before the first list.
	Upstreams() *routes.Upstreams
}

// Options configures a Limiter.
type Options struct {
	Fleet Fleet
	// Self is this process.
	Self   view.Member
	Dialer *link.Dialer
	// Lifetime bounds the links to coordinators.
	Lifetime context.Context
	Logger   *observe.Logger
	Scope    tally.Scope
}

// Limiter holds the requests of one gateway within the limits that upstreams have named. It is safe for
// concurrent use.
type Limiter struct {
	options Options
	metrics metrics
	// active is set while a limit is known or votes of other gateways are held.
	active atomic.Bool
	// wake makes Run renew the votes.
	wake chan struct{}

	// limits holds the limits in table, for reads without the lock.
	limits atomic.Pointer[map[core.Upstream]float64]

	mu         sync.Mutex
	table      *core.Table
	candidates *core.Candidates
	// serviceOf holds the services of the upstreams in table, learnedAt when their limits last changed.
	serviceOf map[core.Upstream]string
	learnedAt map[core.Upstream]time.Duration
	// memberList is the last list of the other gateways, members holds them by incarnation.
	memberList []view.Member
	members    map[string]view.Member
	voters     map[string]*core.Voter
	// chosen holds the coordinator of each service that was asked last, heldVotes the logged number of votes.
	chosen    map[string]core.Candidate
	heldVotes map[string]int
	links     map[string]*coordinatorLink
	// asks holds the open asks by number.
	asks    map[uint64]*openAsk
	lastAsk uint64
	// notBefore holds until when no optional ask is made for an upstream that has no permit to spare.
	notBefore map[core.Upstream]time.Duration
	lastTick  time.Duration

	coordinator *core.Coordinator
	// sessions holds the streams of other gateways by the name of their session.
	sessions    map[string]*session
	lastSession uint64
	// advanceTimer calls advance when the coordinator can decide something.
	advanceTimer *time.Timer
	lastNotice   time.Duration
	// leaving is set on a planned stop.
	leaving bool
	// noticeSlots bounds the notices that are on the way.
	noticeSlots chan struct{}
}

// New returns a Limiter. The caller must call Run.
func New(options Options) *Limiter {
	l := &Limiter{
		options:     options,
		metrics:     newMetrics(options.Scope),
		wake:        make(chan struct{}, 1),
		table:       core.NewTable(),
		candidates:  core.NewCandidates(candidateOf(options.Self)),
		serviceOf:   make(map[core.Upstream]string),
		learnedAt:   make(map[core.Upstream]time.Duration),
		members:     make(map[string]view.Member),
		voters:      make(map[string]*core.Voter),
		chosen:      make(map[string]core.Candidate),
		heldVotes:   make(map[string]int),
		links:       make(map[string]*coordinatorLink),
		asks:        make(map[uint64]*openAsk),
		notBefore:   make(map[core.Upstream]time.Duration),
		coordinator: core.NewCoordinator(),
		sessions:    make(map[string]*session),
		noticeSlots: make(chan struct{}, maxNotices),
	}
	l.advanceTimer = time.AfterFunc(time.Duration(math.MaxInt64), l.advance)
	return l
}

// candidateOf converts a member for package core/ratelimit.
func candidateOf(m view.Member) core.Candidate {
	return core.Candidate{Name: m.Name, Incarnation: m.Incarnation}
}

// FleetChanged takes the present list of the other gateways. It must be called when that list or the list
// of upstreams changes.
func (l *Limiter) FleetChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.options.Fleet.Members()
	if len(list) == len(l.memberList) && (len(list) == 0 || &list[0] == &l.memberList[0]) {
		return // the list of upstreams has changed, not this one: the View makes a new one for each change
	}
	l.memberList = list
	others := make([]core.Candidate, len(list))
	l.members = make(map[string]view.Member, len(list))
	for i, member := range list {
		others[i] = candidateOf(member)
		l.members[member.Incarnation] = member
	}
	l.candidates.SetOthers(others)
	l.coordinator.SetGateways(clock.Boot(), l.candidates.Count())
	if l.active.Load() {
		l.wakeRun()
	}
}

// Leave makes other gateways, if there are any, the coordinators of this process's requests, and refuses the
// asks and votes of others.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.candidates.Leave()
	for _, s := range l.sessions {
		s.cancel()
	}
	l.wakeRun()
}

// wakeRun makes Run renew the votes now. It does not block.
func (l *Limiter) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Active reports whether limits may be known.
func (l *Limiter) Active() bool { return l.active.Load() }

// Limit returns the known limit of an upstream in requests a second, and false if there is none.
func (l *Limiter) Limit(upstream routes.Upstream) (perSecond float64, limited bool) {
	limits := l.limits.Load()
	if limits == nil {
		return 0, false
	}
	perSecond, limited = (*limits)[keyOf(upstream)]
	return perSecond, limited
}

// publish makes the limits in table visible to Limit. l.mu must be held.
func (l *Limiter) publish() {
	l.metrics.limited.Update(float64(len(l.serviceOf)))
	if l.table.Empty() {
		l.limits.Store(nil)
		return
	}
	limits := make(map[core.Upstream]float64)
	for _, upstream := range l.table.Upstreams() {
		limits[upstream], _ = l.table.Limit(upstream)
	}
	l.limits.Store(&limits)
}

// Limited reports whether a limit of an upstream is known.
func (l *Limiter) Limited(upstream routes.Upstream) bool {
	_, limited := l.Limit(upstream)
	return limited
}

// Stamp returns the Stamp of a request that is sent to an upstream now, for Responded.
func (l *Limiter) Stamp(upstream routes.Upstream) core.Stamp {
	if !l.active.Load() {
		return core.Stamp{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Stamp(keyOf(upstream))
}

// Responded takes what the response of an upstream says of its limit. The stamp is that of the response's
// request, whose ID is empty for a stage call.
func (l *Limiter) Responded(upstream routes.Upstream, stamp core.Stamp, limit header.Limit, request string) {
	named := core.Named{Limited: limit.State == header.LimitNamed, PerSecond: limit.PerSecond}
	if limit.State == header.LimitUnreadable || !named.Limited && !l.active.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key, now := keyOf(upstream), clock.Boot()
	before, _ := l.table.Limit(key)
	seen, changed := l.table.Responded(now, key, stamp, named)
	if !changed {
		return
	}
	l.recordChange(now, key, upstream.Service)
	l.options.Logger.Event(event.RateLimitChanged, observe.Fields{"upstream": key.ID, "born": key.Incarnation, "service": upstream.Service, "ended": !named.Limited,
		"per_second": named.PerSecond, "before": before, "source": "response", "request": request, "coordinator": seen.Coordinator, "version": seen.Version})
	l.reportSeen(now, upstream.Service, seen)
}

// recordChange updates what depends on the table after the limit of an upstream has changed. l.mu must be
// held.
func (l *Limiter) recordChange(now time.Duration, upstream core.Upstream, service string) {
	delete(l.notBefore, upstream)
	if _, limited := l.table.Limit(upstream); limited {
		l.serviceOf[upstream], l.learnedAt[upstream] = service, now
	} else {
		delete(l.serviceOf, upstream)
		delete(l.learnedAt, upstream)
	}
	l.publish()
	l.active.Store(true)
	l.wakeRun()
}

// reportSeen tells the coordinator of a service what a response has shown. l.mu must be held.
func (l *Limiter) reportSeen(now time.Duration, service string, seen core.Observation) {
	coordinator := l.choose(service)
	if coordinator.Incarnation == l.options.Self.Incarnation {
		if l.coordinator.Observe(now, service, seen.EntryFor(coordinator.Incarnation)) {
			l.notify(service)
		}
		l.advanceLocked(now)
		return
	}
	if to := l.link(coordinator); to != nil {
		to.enqueue(seenMessage(service, seen.EntryFor(coordinator.Incarnation)))
	}
}

// choose returns the coordinator of a service. l.mu must be held.
func (l *Limiter) choose(service string) core.Candidate {
	coordinator := l.candidates.Choose(service)
	if before, known := l.chosen[service]; !known || before != coordinator {
		l.chosen[service] = coordinator
		l.options.Logger.Event(event.RateLimitCoordinator, observe.Fields{"service": service, "coordinator": coordinator.Name, "incarnation": coordinator.Incarnation,
			"before": before.Name, "gateways": l.candidates.Count()})
	}
	return coordinator
}
