package view

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/document"
	"acaciawinch/platform/store"
)

// MemberKind is the kind of the gateways' own objects in the store.
const MemberKind = "acaciawinch-gateways"

// Waits of the watches. A watch without a change ends after its wait, which proves that
// nothing had changed when it began. Longer waits mean fewer calls to the store.
const (
	// configWait bounds how long a store that stopped responding goes unnoticed. watchWait reduces
	// the wait to 1/confirmDivisor of the time for which keys are trusted, so that two watches and
	// a slow response fit into that time: the known sites trust keys for 4.5 s, which leaves 1.5 s.
	// It also reduces the wait to 1/applyDivisor of the time within which a change must be in
	// force: within that time a follower must find another source if the reader that it follows has
	// lost the store.
	configWait     = 1500 * time.Millisecond
	confirmDivisor = 3
	applyDivisor   = 4
	// shortWait is the wait of watches while the store fails, of the first watch of a process that
	// begins to read, and of the watch after a change.
	//  - A call to a lost store ends only by its timeout. The sooner it ends, the sooner the next
	//    call reaches a store that is back; requests with keys are refused until then.
	//  - A process that begins to read needs a proof for its followers.
	//  - A watch that returned changes proves freshness only up to its beginning. If the next one
	//    waited for configWait, the proof would get so old that all followers would look for
	//    another source.
	shortWait = 100 * time.Millisecond
	// The waits of the other watches do not bound how long a lost call or response hides a change:
	// audit makes a watch again that missed one.
	upstreamWait   = 6 * time.Second
	memberWait     = 20 * time.Second
	evacuationWait = 20 * time.Second
	recordWait     = 5 * time.Second
)

// Delays between a watch that returned changes and the next one, so that the next one returns all
// changes made meanwhile: when upstreams start or stop, a hundred of them change one by one, and
// every reader watches them.
const (
	// upstreamBatchDelay leaves most of the 2 s after which a leaving upstream must get no new
	// requests.
	upstreamBatchDelay = 400 * time.Millisecond
	// memberBatchDelay is short: a pool has two owners until all gateways know the same members.
	// Lists of members change only at starts and planned stops of gateways.
	memberBatchDelay = 200 * time.Millisecond
	// recordBatchDelay batches what several gateways write about one event into few calls, and
	// leaves most of the seconds within which all gateways must know the event.
	recordBatchDelay = 100 * time.Millisecond
)

// Exponential backoff between retries of a failed call.
const (
	// initialBackoff allows a process that has no other source, and retries for a second, two calls
	// to a store that resets them.
	initialBackoff = 400 * time.Millisecond
	// configMaxBackoff is the limit for the configuration, whose first response starts the other
	// watches.
	configMaxBackoff = 500 * time.Millisecond
	// defaultMaxBackoff is the limit for the other kinds, so that a store that is down gets few
	// calls.
	defaultMaxBackoff = 5 * time.Second
)

// Read watches the store until ctx ends. It may be called again afterwards, and then continues from
// the revisions of the copies.
func (v *View) Read(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	upstreams := v.newWatcher(document.UpstreamKind, upstreamWait)
	upstreams.batchDelay, upstreams.auditDelay = upstreamBatchDelay, upstreamAuditDelay
	members := v.newWatcher(MemberKind, memberWait)
	members.batchDelay = memberBatchDelay
	others := []*watcher{upstreams, members}
	if v.evacuations != nil {
		evacuations := v.newWatcher(document.EvacuationKind, evacuationWait)
		evacuations.maxBackoff = configMaxBackoff
		others = append(others, evacuations)
	}
	for _, records := range v.options.Records {
		w := v.newWatcher(records.Kind, recordWait)
		w.batchDelay = recordBatchDelay
		w.maxBackoff = configMaxBackoff
		others = append(others, w)
	}
	config := v.newWatcher(document.ConfigKind, configWait)
	config.maxBackoff, config.auditDelay = configMaxBackoff, 0
	config.trustDivisor = confirmDivisor
	config.shortNext = true
	config.onRecovered = func() {
		for _, w := range others {
			w.restartCall()
		}
	}
	v.setWatchers(append(others, config))
	v.audit.start(append(others, config))
	defer v.setWatchers(nil)
	responded := make(chan struct{})
	config.onFirstSuccess = func() { close(responded) }
	group.Go(func() error {
		defer config.setFailing(false)
		return config.run(ctx)
	})
	for _, w := range others {
		group.Go(func() error { return w.runAfter(ctx, responded) })
	}
	return group.Wait()
}

// setWatchers records the watchers of a call of Read.
func (v *View) setWatchers(watchers []*watcher) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = watchers
}

// restartWatchers ends the calls of all watchers, so that each makes its next one at once.
func (v *View) restartWatchers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range v.watchers {
		w.restartCall()
	}
}

// ListMembers lists the gateways once. It retries until it succeeds or ctx ends.
func (v *View) ListMembers(ctx context.Context) error {
	w := v.newWatcher(MemberKind, memberWait)
	w.maxBackoff = configMaxBackoff
	for ctx.Err() == nil && !w.replica.listed() {
		if err := w.list(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
		}
	}
	return nil
}

// watcher lists and watches the objects of one kind.
type watcher struct {
	view    *View
	replica *kindReplica
	wait    time.Duration
	// trustDivisor limits wait to 1/trustDivisor of the time for which keys are trusted; 0 for
	// kinds that have nothing to do with keys.
	trustDivisor int
	// batchDelay is the delay after a call that returned changes.
	batchDelay time.Duration
	// auditDelay is how long changes of which the store has told may be missing before the watch is made
	// again; 0 if it is not made again. auditPending belongs to the audit.
	auditDelay   time.Duration
	auditPending bool
	// verify is set if the next watch waits for shortWait only, to prove that the store answers it.
	verify atomic.Bool
	phase  phase
	// relist is set if the store's history no longer reaches back to the present revision.
	relist bool
	// justListed is set from a list until the next watch that succeeds.
	justListed bool
	// lost is set while calls to the store fail. lostEra is the store's era when they began to fail.
	lost    bool
	lostEra int64
	// shortNext is set if the next watch waits for shortWait only.
	shortNext bool
	backoff   time.Duration
	// maxBackoff bounds the backoff after failures.
	maxBackoff time.Duration
	// onRecovered, if not nil, is called at the first success after failures.
	onRecovered func()
	// onFirstSuccess, if not nil, is called at the first success.
	onFirstSuccess func()
	// restart carries a request to end the current call or backoff and to call again.
	restart chan struct{}
}

// newWatcher returns a watcher that has made no call.
func (v *View) newWatcher(kind string, wait time.Duration) *watcher {
	return &watcher{view: v, replica: v.replicaOf(kind), wait: wait, auditDelay: defaultAuditDelay, backoff: initialBackoff, maxBackoff: defaultMaxBackoff, restart: make(chan struct{}, 1)}
}

// runAfter runs the watcher once the store has responded for another kind: a store that is down
// gets calls for one kind only.
func (w *watcher) runAfter(ctx context.Context, responded <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-responded:
		return w.run(ctx)
	}
}

// run lists the kind, unless it was listed, and watches it until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		restarted, err := w.call(ctx)
		switch {
		case restarted || ctx.Err() != nil:
		case err != nil:
			w.failed(ctx, err)
		default:
			w.succeeded()
		}
	}
	return nil
}

// restartCall ends the pending call, or the backoff after a failed call, so that the next call is
// made at once: a store that stopped responding for a while never responds to a call from that
// time.
func (w *watcher) restartCall() {
	select {
	case w.restart <- struct{}{}:
	default:
	}
}

// call makes one step and reports whether the next one must follow at once: a restart was requested,
// or the step failed while the store's era rose.
func (w *watcher) call(ctx context.Context) (restarted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	era := w.view.Era()
	done := make(chan error, 1)
	go func() { done <- w.step(ctx) }()
	select {
	case err = <-done:
		if err == nil || era == 0 || w.view.Era() == era {
			return false, err
		}
		select { // the rise has requested a restart too
		case <-w.restart:
		default:
		}
		return true, nil
	case <-w.restart:
		cancel()
		<-done
		return true, nil
	}
}

// step makes one call and applies what it returned. A copy that is not of the newest era is listed: its
// revision stands for nothing in that era.
func (w *watcher) step(ctx context.Context) error {
	position := w.replica.position()
	era := w.view.Era()
	if position.Era > era { // the copy is of another store
		w.replica.displace()
	}
	if w.relist || position == replica.Empty || position.Era != era {
		return w.list(ctx)
	}
	return w.watch(ctx, position)
}

// list lists all objects.
func (w *watcher) list(ctx context.Context) error {
	began, client := clock.Boot(), w.view.store.Load()
	w.view.audit.began(w.replica.name, w.replica.position())
	found, err := client.List(ctx, w.replica.name)
	if err == nil {
		err = w.view.checkEra(client, found.Era, began)
	}
	if err != nil {
		return err
	}
	changes := make([]replica.Change, len(found.Objects))
	for i, object := range found.Objects {
		changes[i] = replica.Change{Object: object}
	}
	if err := w.applyAnswer(replica.Delta{Reset: true, Era: found.Era, Revision: found.Revision, Changes: changes}); err != nil {
		return err
	}
	w.relist, w.justListed = false, true
	w.confirm(began, found.Era)
	return nil
}

// watch waits for changes after a position and applies them.
func (w *watcher) watch(ctx context.Context, position replica.Position) error {
	began, wait, after := clock.Boot(), w.watchWait(), position.Revision
	client := w.view.store.Load()
	w.view.audit.began(w.replica.name, position)
	if wait > shortWait {
		w.phase.enter()
	}
	found, err := client.Watch(ctx, w.replica.name, after, wait)
	w.phase.leave()
	if err == nil {
		err = w.view.checkEra(client, found.Era, began)
	}
	if err != nil {
		return err
	}
	if err := w.applyAnswer(replica.Delta{Era: found.Era, After: after, Revision: max(after, found.Revision), Changes: found.Changes}); err != nil {
		return err
	}
	w.justListed = false
	w.confirm(proofTime(began, clock.Boot(), wait, len(found.Changes)), found.Era)
	w.shortNext = len(found.Changes) > 0
	if len(found.Changes) > 0 {
		clock.Sleep(ctx, w.batchDelay)
	}
	return nil
}

// applyAnswer applies what the store has answered.
func (w *watcher) applyAnswer(d replica.Delta) error {
	if err := w.replica.apply(d); err != nil {
		return err
	}
	w.view.audit.answered(w.replica.name, d)
	return nil
}

// confirm records a freshness proof of the configuration, which holds the keys, unless the copy is
// of another era by now. It does nothing for other kinds.
func (w *watcher) confirm(at time.Duration, era int64) {
	if w.trustDivisor == 0 {
		return
	}
	w.shortNext = false
	if w.view.Confirm(Proof{At: at, Era: era, From: FromStore}) {
		w.view.storeProofAt.Store(int64(at))
	}
}

// watchWait returns how long the next watch waits.
func (w *watcher) watchWait() time.Duration {
	switch {
	case w.verify.Swap(false):
		return shortWait
	case w.trustDivisor == 0:
		return w.wait
	case w.lost || w.shortNext:
		return shortWait
	default:
		return w.view.untilSettled(min(w.wait, w.view.KeyTrustTime()/time.Duration(w.trustDivisor), w.view.ApplyTime()/applyDivisor))
	}
}

// untilSettled shortens the wait of a watch, to shortWait at least, so that its proof is the first one
// that counts again after the store's return from a copy.
func (v *View) untilSettled(wait time.Duration) time.Duration {
	remaining := v.era.settledAt() - clock.Boot()
	if remaining <= 0 {
		return wait
	}
	return min(wait, max(shortWait, remaining+remaining/(proofMarginDivisor-1)+time.Millisecond))
}

// proofMarginDivisor sets the margin by which a watch without changes proves less than its wait:
// the wait divided by proofMarginDivisor, 0.5 s of the usual 1.5 s. The margin allows for a store
// whose clock differs or that reports changes late; the store responds in 4 ms.
const proofMarginDivisor = 3

// proofTime returns the boot time up to which the response to a watch proves freshness. A
// response without changes after the whole wait proves that nothing had changed while the
// store held the call; any other response proves only the state at the beginning of the call. If
// both proved only that, keys would be trusted 1 s less during an outage.
func proofTime(began, ended, wait time.Duration, changes int) time.Duration {
	if changes > 0 || ended-began < wait {
		return began
	}
	return began + wait - wait/proofMarginDivisor
}

// failed records a failed call and waits for the backoff. If the store's history no longer reaches
// back to the revision, failed returns at once, so that the kind is listed again; unless the revision is
// that of a list just made, which the next list would not change.
func (w *watcher) failed(ctx context.Context, err error) {
	if errors.Is(err, store.ErrHistoryGone) {
		w.relist = true
		w.view.options.Logger.Event(event.WatchHistoryGone, observe.Fields{"kind": w.replica.name, "revision": w.replica.position().Revision})
		if w.justListed {
			w.backOff(ctx)
		}
		return
	}
	w.setFailing(true)
	if !w.lost {
		w.lost, w.lostEra = true, w.view.Era()
		w.view.options.Logger.Warn(event.WatchLost, observe.Fields{"kind": w.replica.name, "revision": w.replica.position().Revision, "error": err.Error()})
	}
	w.view.era.callFailed()
	w.backOff(ctx)
}

// backOff waits for the backoff, and doubles it. A requested restart ends the wait.
func (w *watcher) backOff(ctx context.Context) {
	timer := time.NewTimer(w.backoff)
	defer timer.Stop()
	w.phase.enter()
	defer w.phase.leave()
	select {
	case <-ctx.Done():
	case <-w.restart:
	case <-timer.C:
	}
	w.backoff = min(2*w.backoff, w.maxBackoff)
}

// succeeded records a successful call.
func (w *watcher) succeeded() {
	if w.lost {
		w.view.options.Logger.Event(event.WatchRegained, observe.Fields{"kind": w.replica.name, "revision": w.replica.position().Revision})
		if w.onRecovered != nil && w.view.Era() == w.lostEra { // a rise of the era has restarted them
			w.onRecovered()
		}
	}
	if w.onFirstSuccess != nil {
		w.onFirstSuccess()
		w.onFirstSuccess = nil
	}
	w.lost = false
	if !w.justListed {
		w.backoff = initialBackoff
	}
	w.setFailing(false)
}

// setFailing records whether calls for the configuration fail. A change notifies the followers
// of this process, which then need not wait until its proof is stale.
func (w *watcher) setFailing(failing bool) {
	if w.trustDivisor != 0 && w.view.failing.Swap(failing) != failing {
		w.view.proof.notify()
	}
}
