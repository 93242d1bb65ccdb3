// Package quarantine carries out for one gateway what package core/quarantine decides: it notes
// under which requests upstreams crash, tells the other gateways through the platform's store,
// and says which requests must not be sent.
package quarantine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/store"
)

// Options are what a Guard needs.
type Options struct {
	// Name is this gateway's, Incarnation that of its start.
	Name, Incarnation string
	// Store returns the client of the store.
	Store func() *store.Client
	// Listens tells whether an upstream still takes connections at an address.
	Listens func(ctx context.Context, address string) bool
	// Life bounds what goes on in the background.
	Life   context.Context
	Logger *observe.Logger
	Scope  tally.Scope
}

// Guard is one gateway's part. It may be used by many goroutines.
type Guard struct {
	options Options
	metrics metrics
	// wake tells the writer that the record may be due.
	wake chan struct{}

	mu   sync.Mutex
	book *core.Book
	// revision is that of the own object, 0 if there is none; writing is set while a write of it is
	// under way.
	revision int64
	writing  bool
	// found is closed once suspected crashes are confirmed or dismissed.
	found chan struct{}
	// checked holds the suspected crashes of each start of an upstream at which it is being looked
	// whether it has ended.
	checked map[string][]suspect
	// taken are the objects of trials that this gateway holds and has made.
	taken map[string]bool
}

// suspect is a suspected crash and the attempt that was broken off.
type suspect struct {
	crash   core.Crash
	attempt string
}

// metrics count what is decided.
type metrics struct {
	confirmed, dismissed, refused, trials tally.Counter
}

// New returns a Guard. Run must be called.
func New(options Options) *Guard {
	return &Guard{
		options: options,
		metrics: metrics{
			confirmed: options.Scope.Counter("crashes_confirmed"),
			dismissed: options.Scope.Counter("crashes_dismissed"),
			refused:   options.Scope.Counter("quarantine_refused"),
			trials:    options.Scope.Counter("quarantine_trials"),
		},
		wake:  make(chan struct{}, 1),
		book:  core.New(options.Name),
		found: make(chan struct{}),

		checked: make(map[string][]suspect),
		taken:   make(map[string]bool),
	}
}

// Attempt is a request that comes to this gateway.
type Attempt struct {
	Request fingerprint.Fingerprint
	ID      string
	// Held is the Pass that it has.
	Held Pass
	// Runs tells whether an upstream takes it, without some starts of upstreams.
	Runs func(ended []string) bool
}

// Pass lets a request be sent once although it is refused.
type Pass struct {
	// Ended are the starts of upstreams to which it must not be sent: they crashed under it a
	// moment ago, and a trial there would be lost.
	Ended []string
	// trial is the number of the trial, 0 if there is none, and crashes how many crashes of the
	// request were known when it was granted.
	trial, crashes int
}

// Refusal says why a request must not be sent.
type Refusal struct {
	// Crashes is how many upstreams have ended under it.
	Crashes int
	// RetryAfter is when it may be sent.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d upstreams have ended while they ran this request", r.Crashes)
}

// Check returns the Pass for a request, or the Refusal. The Pass that it already has holds until
// the request has crashed an upstream again; the caller drops it once the request has been sent.
func (g *Guard) Check(ctx context.Context, attempt Attempt) (Pass, *Refusal) {
	verdict := g.judgeSure(ctx, attempt.Request)
	if !verdict.Refused || verdict.Crashes <= attempt.Held.crashes {
		return attempt.Held, nil
	}
	if verdict.Trial > 0 {
		ended := g.ended(attempt.Request)
		if attempt.Runs(ended) && g.beginTrial(ctx, attempt.Request, verdict.Trial, attempt.ID) {
			return Pass{Ended: ended, trial: verdict.Trial, crashes: verdict.Crashes}, nil
		}
	}
	verdict = g.judge(attempt.Request)
	g.metrics.refused.Inc(1)
	return attempt.Held, &Refusal{Crashes: verdict.Crashes, RetryAfter: max(verdict.RetryAfter, leastRetry)}
}

// ended returns the starts of upstreams that crashed under a request a moment ago.
func (g *Guard) ended(request fingerprint.Fingerprint) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Ended(request, clock.Boot())
}

// Settle waits, at most until ctx ends, before an attempt is sent whose request has crashed an
// upstream a moment ago.
func (g *Guard) Settle(ctx context.Context, request fingerprint.Fingerprint) {
	g.mu.Lock()
	wait := g.book.Settle(request, clock.Boot())
	g.mu.Unlock()
	if wait > 0 {
		clock.Sleep(ctx, wait)
	}
}

// leastRetry is the least time that a refused client is asked to wait.
const leastRetry = time.Second

// judgeSure returns what becomes of a request once it is known which of its suspected crashes
// were any, or ctx has ended: connections are also cut by upstreams that go on.
func (g *Guard) judgeSure(ctx context.Context, request fingerprint.Fingerprint) core.Verdict {
	for {
		g.mu.Lock()
		found := g.found
		verdict := g.book.Judge(request, clock.Boot())
		g.mu.Unlock()
		if !verdict.Unsure {
			return verdict
		}
		select {
		case <-ctx.Done():
			return verdict
		case <-found:
		}
	}
}

// judge returns what becomes of a request now.
func (g *Guard) judge(request fingerprint.Fingerprint) core.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Judge(request, clock.Boot())
}

// Broken notes that an upstream closed the connection on which it ran a request. Whether it has
// ended is found out in the background, once for all that it broke off.
func (g *Guard) Broken(request fingerprint.Fingerprint, attempt string, upstream routes.Upstream) {
	start := StartOf(upstream)
	crash := core.Crash{Request: request, Upstream: start}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Suspect(crash, clock.Boot())
	_, checking := g.checked[start]
	g.checked[start] = append(g.checked[start], suspect{crash: crash, attempt: attempt})
	if !checking {
		go g.find(start, upstream.Address)
	}
}

// StartOf names one start of an upstream.
func StartOf(upstream routes.Upstream) string {
	return fmt.Sprintf("%s/%d", upstream.ID, upstream.Born)
}

// find confirms the suspected crashes of a start of an upstream, unless it still takes connections.
// All that are there when that is known are meant: a connection that stays open until then was
// not closed by the upstream's end before.
func (g *Guard) find(start, address string) {
	listens := g.options.Listens(g.options.Life, address)
	if g.options.Life.Err() != nil {
		return // the process ends; whether the upstream had is not known
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range g.checked[start] {
		g.conclude(one, !listens)
	}
	delete(g.checked, start)
	close(g.found)
	g.found = make(chan struct{})
	g.wakeWriter()
}

// conclude confirms or dismisses a suspected crash. The lock is held.
func (g *Guard) conclude(one suspect, ended bool) {
	now := clock.Boot()
	if ended {
		g.book.Confirm(one.crash, now)
		g.metrics.confirmed.Inc(1)
	} else {
		g.book.Dismiss(one.crash, now)
		g.metrics.dismissed.Inc(1)
	}
	verdict := g.book.Judge(one.crash.Request, now)
	g.options.Logger.Event(event.CrashFound, observe.Fields{"fingerprint": one.crash.Request.String(), "request": one.attempt,
		"upstream": one.crash.Upstream, "ended": ended, "crashes": verdict.Crashes, "refused": verdict.Refused})
}

// Completed notes that a request has run to its end: it crashes no upstream.
func (g *Guard) Completed(request fingerprint.Fingerprint, attempt string) {
	g.mu.Lock()
	trials := g.book.TrialsOf(request)
	cleared := g.book.Completed(request, clock.Boot())
	g.mu.Unlock()
	if !cleared {
		return
	}
	g.options.Logger.Event(event.CrashesCleared, observe.Fields{"fingerprint": request.String(), "request": attempt, "trials": trials})
	g.wakeWriter()
	if trials > 0 {
		go g.endTrials(request, trials)
	}
}

// Answered notes that an upstream has answered a request that was sent at a boot time.
func (g *Guard) Answered(upstream routes.Upstream, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.Quiet() {
		return // as nearly always
	}
	start := StartOf(upstream)
	if g.book.Answered(start, sent, clock.Boot()) {
		g.options.Logger.Event(event.CrashDisproved, observe.Fields{"upstream": start})
		g.wakeWriter()
	}
}

// wakeWriter lets the writer look again. It returns at once.
func (g *Guard) wakeWriter() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
