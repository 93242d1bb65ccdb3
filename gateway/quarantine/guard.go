// Package quarantine applies the decisions of package core/quarantine in one gateway. It records
// under which requests upstreams crash, shares these crashes with the other gateways through
// the platform's store, and decides which requests must not be sent.
//
// Requests are identified by their fingerprints. Each gateway writes one crash record: the
// crashes that it saw and those that it has cleared. A request that is refused for its crashes
// may be sent again as a trial. The gateway that creates the trial's object in the store makes
// the trial. A Pass lets a refused request be sent once. Upstreams are distinguished by
// incarnation, one run of the process, since a restarted upstream is not the one that crashed.
package quarantine

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// Era returns the newest era of the store that this process knows, 0 if unknown.
	Era func() int64
	// Listens reports whether an upstream still accepts connections at an address.
	Listens func(ctx context.Context, address string) bool
	// Leaves reports whether an upstream has announced that it ends, or is no longer in discovery.
	Leaves func(upstream routes.Upstream) bool
	// Lifetime bounds background work.
	Lifetime context.Context
	Logger   *observe.Logger
	Scope    tally.Scope
}

// Guard is the quarantine of one gateway. It is safe for concurrent use.
type Guard struct {
	options Options
	metrics metrics
	// wake makes Run check whether the record must be written.
	wake chan struct{}
	// returnedAt is the boot time at which the store's last return from an older copy, or its first era, was
	// heard of, 0 if there was none.
	returnedAt atomic.Int64

	mu    sync.Mutex
	state *core.State
	// revision is the revision of this gateway's record in the store, 0 if there is none;
	// writing is set while a write of the record is in flight.
	revision int64
	writing  bool
	// listed is set once the records were listed.
	listed bool
	// confirmed counts the confirmed crashes; for those up to reported, a write of the record has
	// succeeded or failed. writeEnded is closed, and replaced, after each write.
	confirmed, reported int
	writeEnded          chan struct{}
	// resolved is closed, and replaced, when suspected crashes have been confirmed or dismissed.
	resolved chan struct{}
	// suspects holds the suspected crashes of each incarnation of an upstream that is being
	// checked.
	suspects map[string][]suspect
	// madeTrials holds the names of the trials that this gateway owns and has made.
	madeTrials map[string]bool
	// returnedTrials holds, by name, the trials that this gateway owns and that did not run, with the
	// upstream that they must go to.
	returnedTrials map[string]string
	// reservations holds the upstreams that are reserved for trials of this gateway, by the name of
	// the trial; foreign holds the reservations of others that delayed one, by name.
	reservations map[string]reservation
	foreign      map[string]foreignReservation
	// stalls tells whether the times at which this process learns of events can be relied on.
	stalls clock.Stalls
}

// Broken is an attempt of a request whose upstream closed the connection.
type Broken struct {
	core.Subject
	ID string
	// Whole is set if the response is complete, unless the upstream has crashed.
	Whole bool
	// Used is the Pass that the attempt was sent with, if it had one.
	Used Pass
}

// suspect is an attempt whose connection an upstream closed, and the suspected crash under its request.
type suspect struct {
	Broken
	crash core.Crash
}

// crashes returns the suspected crashes under the request and the parts of its prompt.
func (s suspect) crashes() []core.Crash {
	list := []core.Crash{s.crash}
	for _, part := range s.Parts {
		list = append(list, core.Crash{Suspect: part, Upstream: s.crash.Upstream})
	}
	return list
}

// metrics counts resolved and presumed crashes, refusals and requests for trials.
type metrics struct {
	confirmed, dismissed, presumed, refused, trials, withheld, blamed, freed tally.Counter
	// suspectedParts and blamedParts count the parts with two crashes or more, and those that are blamed.
	suspectedParts, blamedParts tally.Gauge
}

// New returns a Guard. The caller must call Run.
func New(options Options) *Guard {
	return &Guard{
		options: options,
		metrics: metrics{
			confirmed: options.Scope.Counter("crashes_confirmed"),
			dismissed: options.Scope.Counter("crashes_dismissed"),
			presumed:  options.Scope.Counter("crashes_presumed"),
			refused:   options.Scope.Counter("quarantine_refused"),
			trials:    options.Scope.Counter("quarantine_trials"),
			withheld:  options.Scope.Counter("quarantine_withheld"),
			blamed:    options.Scope.Counter("parts_blamed_total"),
			freed:     options.Scope.Counter("parts_freed_total"),

			suspectedParts: options.Scope.Gauge("parts_suspected"),
			blamedParts:    options.Scope.Gauge("parts_blamed"),
		},
		wake:     make(chan struct{}, 1),
		state:    core.New(options.Name),
		resolved: make(chan struct{}),

		writeEnded: make(chan struct{}),

		suspects:   make(map[string][]suspect),
		madeTrials: make(map[string]bool),

		returnedTrials: make(map[string]string),

		reservations: make(map[string]reservation),
		foreign:      make(map[string]foreignReservation),
	}
}

// Attempt is an attempt of a request that arrives at this gateway.
type Attempt struct {
	core.Subject
	ID string
	// Pass is the Pass that the request already has.
	Pass Pass
	// HasUpstream reports whether an upstream can take the request, not counting the given
	// incarnations.
	HasUpstream func(ended []string) bool
}

// Pass allows a refused request to be sent once.
type Pass struct {
	// Suspect is what the request is refused for: the request itself, or a part of its prompt.
	Suspect fingerprint.Fingerprint
	// Ended are the incarnations of upstreams that must not get the request: they have just
	// crashed under the request, so that a trial sent to them would be lost.
	Ended []string
	// Upstream is the incarnation that must get the request, since the outcome of its last trial
	// there is not known; empty if any may get it.
	Upstream string
	// trial is the number of the trial, 0 if there is none; crashes is the number of the
	// suspect's crashes that were known when the Pass was granted.
	trial, crashes int
	// parts are the parts for which the request is refused, empty if it is refused as a whole.
	parts []fingerprint.Fingerprint
}

// IsTrial reports whether the request is sent as a trial.
func (p Pass) IsTrial() bool { return p.trial > 0 }

// Refusal is the error for a request that must not be sent.
type Refusal struct {
	// Suspect is the request itself, or the part of its prompt for which it is refused.
	Suspect fingerprint.Fingerprint
	// Crashes is the number of upstreams that crashed under the suspect.
	Crashes int
	// RetryAfter is the time after which the request may be sent again.
	RetryAfter time.Duration
	// Reason says why a trial was not made, if one was granted.
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%d upstreams crashed while running this request", r.Crashes)
	if r.Suspect.IsPart() {
		text = fmt.Sprintf("%d upstreams crashed while running requests with the part %s in their prompts; the request may be sent without it", r.Crashes, r.Suspect.PartID())
	}
	if r.Reason != "" {
		text += ", and " + r.Reason
	}
	return text
}

// Postpone returns the Refusal for a request whose trial can't be made now.
func (g *Guard) Postpone(suspect fingerprint.Fingerprint, reason string) *Refusal {
	g.metrics.refused.Inc(1)
	return &Refusal{Suspect: suspect, Crashes: g.judge(suspect).Crashes, RetryAfter: minRetryAfter, Reason: reason}
}

// Check returns the Pass for a request, or the Refusal. A Pass that the request already has is
// valid until its suspect crashes another upstream; the caller drops it once the request has
// been sent.
func (g *Guard) Check(ctx context.Context, attempt Attempt) (Pass, *Refusal) {
	verdict := g.judgeConfirmed(ctx, attempt.Subject)
	if !verdict.Refused || attempt.Pass.allows(verdict) {
		return attempt.Pass, nil
	}
	suspect := verdict.Suspect
	if verdict.Trial > 0 && !g.storeReturned() {
		ended := g.crashedUpstreams(suspect)
		if attempt.HasUpstream(ended) && g.acquireTrial(ctx, attempt.Subject, verdict, attempt.ID) {
			return Pass{Suspect: suspect, Ended: ended, Upstream: g.trialUpstream(suspect), trial: verdict.Trial, crashes: verdict.Crashes, parts: verdict.Parts}, nil
		}
	}
	verdict = g.judgeSubject(attempt.Subject)
	g.metrics.refused.Inc(1)
	return attempt.Pass, &Refusal{Suspect: suspect, Crashes: verdict.Crashes, RetryAfter: max(verdict.RetryAfter, minRetryAfter)}
}

// allows reports whether the Pass lets a request be sent that a verdict refuses.
func (p Pass) allows(verdict core.Verdict) bool {
	return p.Suspect == verdict.Suspect && !verdict.Several && slices.Equal(verdict.Parts, p.parts) && verdict.Crashes <= p.crashes
}

// trialHold is how long after the store's return from an older copy no trial is made. What the store has
// lost may include trials and reservations of other gateways and the crashes that they caused: by then
// the other gateways no longer send a trial that they had reserved before, and have written their crash
// records again.
const trialHold = reservationTTL

// StoreReturned records that the store has returned from an older copy, or may just have. It does not
// block.
func (g *Guard) StoreReturned(int64) { g.returnedAt.Store(int64(clock.Boot())) }

// storeReturned reports whether the store has returned from an older copy within trialHold.
func (g *Guard) storeReturned() bool {
	at := time.Duration(g.returnedAt.Load())
	return at != 0 && clock.Boot()-at < trialHold
}

// trialUpstream returns the incarnation that the newest trial of a request must go to, empty if any
// may get it.
func (g *Guard) trialUpstream(request fingerprint.Fingerprint) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.TrialUpstream(request)
}

// crashedUpstreams returns the incarnations of upstreams that have just crashed under a
// request.
func (g *Guard) crashedUpstreams(request fingerprint.Fingerprint) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.RecentlyCrashed(request, clock.Boot())
}

// Settle delays an attempt whose request has just crashed an upstream, at most until ctx ends.
func (g *Guard) Settle(ctx context.Context, request fingerprint.Fingerprint) {
	g.mu.Lock()
	wait := g.state.SettleDelay(request, clock.Boot())
	g.mu.Unlock()
	if wait > 0 {
		clock.Sleep(ctx, wait)
	}
}

// IsProven reports whether a request is known to have completed before.
func (g *Guard) IsProven(request fingerprint.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.IsProven(request)
}

// minRetryAfter is the least retry delay sent with a refusal.
const minRetryAfter = time.Second

// judgeConfirmed returns the verdict on a request. If the verdict depends on suspected crashes, it
// waits until they are confirmed or dismissed, or ctx ends: upstreams that are still running close
// connections too.
func (g *Guard) judgeConfirmed(ctx context.Context, subject core.Subject) core.Verdict {
	for {
		g.mu.Lock()
		resolved := g.resolved
		verdict := g.judgeLocked(subject)
		g.mu.Unlock()
		if !verdict.Unconfirmed {
			return verdict
		}
		select {
		case <-ctx.Done():
			return verdict
		case <-resolved:
		}
	}
}

// judgeSubject returns the current verdict on a request.
func (g *Guard) judgeSubject(subject core.Subject) core.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.judgeLocked(subject)
}

// judgeLocked returns the current verdict on a request, and logs what has changed for parts. g.mu must be held.
func (g *Guard) judgeLocked(subject core.Subject) core.Verdict {
	verdict := g.state.JudgeSubject(subject, clock.Boot())
	g.logBlame()
	return verdict
}

// judge returns the current verdict on a suspect.
func (g *Guard) judge(suspect fingerprint.Fingerprint) core.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Judge(suspect, clock.Boot())
}

// publishWait bounds the wait of AwaitPublished.
const publishWait = time.Second

// AwaitPublished waits until the other gateways know of the crashes that a request caused here. A
// client that had the answer of its attempt sooner could send the request through a gateway that does
// not know of them, and then through the next one. It returns at once if nothing has crashed under the
// request or the store fails, and waits until ctx ends or for publishWait at most.
func (g *Guard) AwaitPublished(ctx context.Context, request fingerprint.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, publishWait)
	defer cancel()
	for ctx.Err() == nil {
		pending := g.unpublished(request)
		if pending == nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-pending:
		}
	}
	g.Settle(ctx, request)
}

// unpublished returns a channel that is closed at the next progress of crashes under a request that
// are neither dismissed nor reported to the store yet, nil if there are none.
func (g *Guard) unpublished(request fingerprint.Fingerprint) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, suspects := range g.suspects {
		if slices.ContainsFunc(suspects, func(s suspect) bool { return s.crash.Suspect == request }) {
			return g.resolved
		}
	}
	if g.reported < g.confirmed && g.state.Judge(request, clock.Boot()).Crashes > 0 {
		return g.writeEnded
	}
	return nil
}

// ConnectionClosed records that an upstream closed the connection on which it ran a request.
// Whether the upstream has crashed is checked in the background, once for all connections that it
// closed.
func (g *Guard) ConnectionClosed(broken Broken, upstream routes.Upstream) {
	closed := clock.Boot()
	if g.addSuspect(broken, IncarnationOf(upstream), closed) {
		go g.resolveSuspects(upstream, closed)
	}
}

// addSuspect records a suspected crash, and reports whether it is the first of its upstream, so that the
// caller must resolve it.
func (g *Guard) addSuspect(broken Broken, incarnation string, closed time.Duration) bool {
	added := suspect{Broken: broken, crash: core.Crash{Suspect: broken.Request, Upstream: incarnation}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, crash := range added.crashes() {
		g.state.Suspect(crash, closed)
	}
	_, checking := g.suspects[incarnation]
	g.suspects[incarnation] = append(g.suspects[incarnation], added)
	return !checking
}

// IncarnationOf returns the name of the incarnation of an upstream.
func IncarnationOf(upstream routes.Upstream) string {
	return fmt.Sprintf("%s/%d", upstream.ID, upstream.Incarnation)
}

// resolveSuspects confirms the suspected crashes of an incarnation of an upstream, or dismisses
// them if the upstream still accepts connections or has ended as planned. The result also applies to
// suspected crashes that were added during the check: their connections were still open when the check
// began, so that they were not closed by a crash before the check. closed is the boot time at which
// the first connection was found closed.
func (g *Guard) resolveSuspects(upstream routes.Upstream, closed time.Duration) {
	listens := g.options.Listens(g.options.Lifetime, upstream.Address)
	if g.options.Lifetime.Err() != nil {
		return // this process is stopping; the result of the check is unknown
	}
	if listens {
		g.confirmOrDismiss(IncarnationOf(upstream), true)
		return
	}
	g.resolveEnded(endedUpstream{upstream: upstream, closed: closed, trusted: !g.stalls.Within(unstalledFor)})
}

// resolveEnded resolves the suspected crashes of an upstream that accepts no more connections. It returns
// once the upstream is known to have ended as planned, or plannedWindow has passed.
func (g *Guard) resolveEnded(ended endedUpstream) {
	g.confirmOrDismiss(IncarnationOf(ended.upstream), g.endsAsPlanned(ended))
	g.watchEnd(ended)
}

// confirmOrDismiss confirms or dismisses the suspected crashes of an incarnation of an upstream.
func (g *Guard) confirmOrDismiss(incarnation string, dismiss bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.suspects[incarnation] {
		g.resolve(s, !dismiss)
	}
	delete(g.suspects, incarnation)
	close(g.resolved)
	g.resolved = make(chan struct{})
	g.partsChanged()
	g.wakeWriter()
}

// resolve confirms or dismisses the suspected crashes of an attempt. g.mu must be held.
func (g *Guard) resolve(s suspect, ended bool) {
	now := clock.Boot()
	for _, crash := range s.crashes() {
		if ended {
			g.confirm(crash, now)
		} else {
			g.state.Dismiss(crash, now)
			g.trialSurvived(crash.Suspect, crash.Upstream)
		}
	}
	if ended {
		g.metrics.confirmed.Inc(1)
	} else {
		g.metrics.dismissed.Inc(1)
	}
	verdict := g.state.Judge(s.crash.Suspect, now)
	g.options.Logger.Event(event.CrashFound, observe.Fields{"fingerprint": s.crash.Suspect.String(), "request": s.ID,
		"parts": partIDs(s.Parts), "upstream": s.crash.Upstream, "ended": ended, "crashes": verdict.Crashes, "refused": verdict.Refused})
	if s.Whole && !ended {
		g.completed(s.Subject, s.ID, s.Used)
	}
}

// confirm records that an upstream has ended under a suspect. g.mu must be held.
func (g *Guard) confirm(crash core.Crash, now time.Duration) {
	if g.state.Confirm(crash, now) {
		g.confirmed++
	}
}

// suspectPart returns the ID of a suspect that is a part, empty for a request.
func suspectPart(suspect fingerprint.Fingerprint) string {
	if !suspect.IsPart() {
		return ""
	}
	return suspect.PartID()
}

// partIDs returns the IDs of parts of prompts, as they are logged.
func partIDs(parts []fingerprint.Fingerprint) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.PartID()
	}
	return strings.Join(ids, ",")
}

// Completed records that a request has run to its end, sent with a Pass if it had one. That clears the request of its
// crashes, and speaks for the parts of its prompt.
func (g *Guard) Completed(subject core.Subject, attempt string, used Pass) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completed(subject, attempt, used)
}

// completed is Completed. g.mu must be held.
func (g *Guard) completed(subject core.Subject, attempt string, used Pass) {
	now := clock.Boot()
	trials := g.state.TrialsOf(subject.Request)
	if g.state.Completed(subject.Request, now) {
		g.cleared(subject.Request, attempt, trials)
	}
	for _, part := range subject.Parts {
		g.partCompleted(part, attempt, used, now)
	}
	g.logBlame()
	if _, due := g.state.Due(); due {
		g.wakeWriter() // the others may need these completions
	}
}

// partCompleted records that a request with a part in its prompt has run to its end. g.mu must be held.
func (g *Guard) partCompleted(part fingerprint.Fingerprint, attempt string, used Pass, now time.Duration) {
	trials := g.state.TrialsOf(part)
	if !slices.Contains(used.parts, part) {
		if g.state.PartCompleted(part, now) {
			g.cleared(part, attempt, trials)
		}
		return
	}
	if g.state.TrialCompleted(part, now) {
		g.cleared(part, attempt, trials)
		return
	}
	g.options.Logger.Event(event.PartTrialCompleted, observe.Fields{"part": part.PartID(), "request": attempt, "trial": used.trial})
	if part == used.Suspect {
		go g.recordNotRun(trialName(part, used.trial), "", false)
	}
	g.wakeWriter()
}

// cleared logs that a suspect was cleared of its crashes, and removes its trials. g.mu must be held.
func (g *Guard) cleared(suspect fingerprint.Fingerprint, attempt string, trials int) {
	g.options.Logger.Event(event.CrashesCleared, observe.Fields{"fingerprint": suspect.String(), "part": suspectPart(suspect), "request": attempt, "trials": trials})
	g.wakeWriter()
	if trials > 0 {
		go g.removeTrials(suspect, trials)
	}
}

// Responded records that an upstream has responded to a request; sent is the boot time at which
// the request was sent.
func (g *Guard) Responded(upstream routes.Upstream, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.NoCrashes() {
		return // the usual case
	}
	incarnation := IncarnationOf(upstream)
	if refuted := g.state.Responded(incarnation, sent, clock.Boot()); len(refuted) > 0 {
		g.options.Logger.Event(event.CrashDismissed, observe.Fields{"upstream": incarnation})
		g.crashesRefuted(refuted)
	}
}

// crashesRefuted records that the trials at the upstreams of crashes that did not happen have crashed
// nothing, and publishes what has changed. g.mu must be held.
func (g *Guard) crashesRefuted(refuted []core.Crash) {
	for _, crash := range refuted {
		g.trialSurvived(crash.Suspect, crash.Upstream)
	}
	g.wakeWriter()
}

// wakeWriter makes Run check whether the record must be written. It does not block.
func (g *Guard) wakeWriter() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
