// Package quarantine applies the decisions of package core/quarantine in one gateway. It notes
// under which requests upstreams crash, shares these crashes with the other gateways through
// the platform's store, and reports which requests must not be sent.
//
// Requests are identified by their fingerprints. Each gateway writes one crash record: the
// crashes that it saw and those that it has cleared. A request that is refused for its crashes
// may be sent again as a trial. The gateway that creates the trial's object in the store makes
// the trial. Upstreams are told apart by incarnation, one run of the process, since a restarted
// upstream is not the one that crashed.
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

// Options configures a Guard.
type Options struct {
	// Name is the name of this gateway, Incarnation identifies its current run.
	Name, Incarnation string
	// Store returns the client of the store.
	Store func() *store.Client
	// Listens reports whether an upstream still accepts connections at an address.
	Listens func(ctx context.Context, address string) bool
	// Life bounds background work.
	Life   context.Context
	Logger *observe.Logger
	Scope  tally.Scope
}

// Guard is the quarantine of one gateway. It is safe for concurrent use.
type Guard struct {
	options Options
	metrics metrics
	// wake tells the writer that the record may have to be written.
	wake chan struct{}

	mu   sync.Mutex
	book *core.Book
	// revision is the revision of this gateway's record in the store, 0 if there is none;
	// writing is set while a write of the record is in flight.
	revision int64
	writing  bool
	// resolved is closed when suspected crashes have been confirmed or dismissed.
	resolved chan struct{}
	// suspects holds the suspected crashes of each incarnation of an upstream that is being
	// checked.
	suspects map[string][]suspect
	// takenTrials holds the names of the trials that this gateway owns and has made.
	takenTrials map[string]bool
}

// suspect is a suspected crash and the attempt whose connection was closed.
type suspect struct {
	crash   core.Crash
	attempt string
}

// metrics counts decisions.
type metrics struct {
	confirmed, dismissed, refused, trials tally.Counter
}

// New returns a Guard. The caller must call Run.
func New(options Options) *Guard {
	return &Guard{
		options: options,
		metrics: metrics{
			confirmed: options.Scope.Counter("crashes_confirmed"),
			dismissed: options.Scope.Counter("crashes_dismissed"),
			refused:   options.Scope.Counter("quarantine_refused"),
			trials:    options.Scope.Counter("quarantine_trials"),
		},
		wake:     make(chan struct{}, 1),
		book:     core.New(options.Name),
		resolved: make(chan struct{}),

		suspects:    make(map[string][]suspect),
		takenTrials: make(map[string]bool),
	}
}

// Attempt is an attempt of a request that arrives at this gateway.
type Attempt struct {
	Request fingerprint.Fingerprint
	ID      string
	// Held is the Pass that the request already has.
	Held Pass
	// Runs reports whether an upstream can take the request, not counting the given
	// incarnations.
	Runs func(ended []string) bool
}

// Pass allows a refused request to be sent once.
type Pass struct {
	// Ended are the incarnations of upstreams that must not get the request: they have just
	// crashed under it, so a trial there would be lost.
	Ended []string
	// trial is the number of the trial, 0 if there is none; crashes is the number of the
	// request's crashes that were known when the Pass was granted.
	trial, crashes int
}

// Refusal is the error for a request that must not be sent.
type Refusal struct {
	// Crashes is the number of upstreams that crashed under the request.
	Crashes int
	// RetryAfter is the time after which the request may be sent again.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%d upstreams crashed while running this request", r.Crashes)
}

// Check returns the Pass for a request, or the Refusal. A Pass that the request already has is
// valid until the request crashes another upstream; the caller drops it once the request has
// been sent.
func (g *Guard) Check(ctx context.Context, attempt Attempt) (Pass, *Refusal) {
	verdict := g.judgeConfirmed(ctx, attempt.Request)
	if !verdict.Refused || verdict.Crashes <= attempt.Held.crashes {
		return attempt.Held, nil
	}
	if verdict.Trial > 0 {
		ended := g.crashedUpstreams(attempt.Request)
		if attempt.Runs(ended) && g.acquireTrial(ctx, attempt.Request, verdict.Trial, attempt.ID) {
			return Pass{Ended: ended, trial: verdict.Trial, crashes: verdict.Crashes}, nil
		}
	}
	verdict = g.judge(attempt.Request)
	g.metrics.refused.Inc(1)
	return attempt.Held, &Refusal{Crashes: verdict.Crashes, RetryAfter: max(verdict.RetryAfter, minRetryAfter)}
}

// crashedUpstreams returns the incarnations of upstreams that have just crashed under a
// request.
func (g *Guard) crashedUpstreams(request fingerprint.Fingerprint) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Ended(request, clock.Boot())
}

// Settle delays an attempt whose request has just crashed an upstream, at most until ctx ends.
func (g *Guard) Settle(ctx context.Context, request fingerprint.Fingerprint) {
	g.mu.Lock()
	wait := g.book.Settle(request, clock.Boot())
	g.mu.Unlock()
	if wait > 0 {
		clock.Sleep(ctx, wait)
	}
}

// minRetryAfter is the least retry delay sent with a refusal.
const minRetryAfter = time.Second

// judgeConfirmed returns the verdict on a request once its suspected crashes are confirmed or
// dismissed, or ctx has ended. Suspicion alone does not suffice, because upstreams that are
// still running close connections too.
func (g *Guard) judgeConfirmed(ctx context.Context, request fingerprint.Fingerprint) core.Verdict {
	for {
		g.mu.Lock()
		resolved := g.resolved
		verdict := g.book.Judge(request, clock.Boot())
		g.mu.Unlock()
		if !verdict.Unsure {
			return verdict
		}
		select {
		case <-ctx.Done():
			return verdict
		case <-resolved:
		}
	}
}

// judge returns the current verdict on a request.
func (g *Guard) judge(request fingerprint.Fingerprint) core.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Judge(request, clock.Boot())
}

// Broken notes that an upstream closed the connection on which it ran a request. Whether the
// upstream has crashed is checked in the background, once for all connections that it closed.
func (g *Guard) Broken(request fingerprint.Fingerprint, attempt string, upstream routes.Upstream) {
	incarnation := StartOf(upstream)
	crash := core.Crash{Request: request, Upstream: incarnation}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Suspect(crash, clock.Boot())
	_, checking := g.suspects[incarnation]
	g.suspects[incarnation] = append(g.suspects[incarnation], suspect{crash: crash, attempt: attempt})
	if !checking {
		go g.resolveSuspects(incarnation, upstream.Address)
	}
}

// StartOf returns the name of the incarnation of an upstream.
func StartOf(upstream routes.Upstream) string {
	return fmt.Sprintf("%s/%d", upstream.ID, upstream.Born)
}

// resolveSuspects confirms the suspected crashes of an incarnation of an upstream, or dismisses
// them if it still accepts connections. The result also applies to suspicions that were added
// during the check: a connection that was still open then was not closed by a crash before the
// check.
func (g *Guard) resolveSuspects(incarnation, address string) {
	listens := g.options.Listens(g.options.Life, address)
	if g.options.Life.Err() != nil {
		return // this process is stopping; the result of the check is unknown
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.suspects[incarnation] {
		g.resolve(s, !listens)
	}
	delete(g.suspects, incarnation)
	close(g.resolved)
	g.resolved = make(chan struct{})
	g.wakeWriter()
}

// resolve confirms or dismisses a suspected crash. The lock is held.
func (g *Guard) resolve(s suspect, ended bool) {
	now := clock.Boot()
	if ended {
		g.book.Confirm(s.crash, now)
		g.metrics.confirmed.Inc(1)
	} else {
		g.book.Dismiss(s.crash, now)
		g.metrics.dismissed.Inc(1)
	}
	verdict := g.book.Judge(s.crash.Request, now)
	g.options.Logger.Event(event.CrashFound, observe.Fields{"fingerprint": s.crash.Request.String(), "request": s.attempt,
		"upstream": s.crash.Upstream, "ended": ended, "crashes": verdict.Crashes, "refused": verdict.Refused})
}

// Completed notes that a request has run to its end, which clears it of its crashes.
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
		go g.removeTrials(request, trials)
	}
}

// Answered notes that an upstream has responded to a request; sent is the boot time at which
// the request was sent.
func (g *Guard) Answered(upstream routes.Upstream, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.Quiet() {
		return // the usual case
	}
	incarnation := StartOf(upstream)
	if g.book.Answered(incarnation, sent, clock.Boot()) {
		g.options.Logger.Event(event.CrashDismissed, observe.Fields{"upstream": incarnation})
		g.wakeWriter()
	}
}

// wakeWriter makes the writer check whether the record must be written. It does not block.
func (g *Guard) wakeWriter() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
