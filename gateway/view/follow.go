package view

import (
	"context"
	"errors"
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

// Waits of the watches. A watch ends without a change after its wait, which proves
// that nothing had changed when it began. Longer waits mean fewer calls of the store:
// these make 0.88 a second in each process that reads it.
const (
	// configWait is how soon a store that has fallen silent is noticed. It is at most
	// confirmShare of the time for which keys are trusted, so that two watches and a slow
	// answer fit into it; that is as long for the 4.5 s of the sites known. It is also at most
	// applyShare of the time within which a change must be in force: a process whose source the
	// store has turned away must find another one before that.
	configWait   = 1500 * time.Millisecond
	confirmShare = 3
	applyShare   = 4
	// shortWait is the wait while the store does not answer, of the first watch of a process
	// that begins to read it, and of the one after a change. A call to a store that is lost ends by its timeout
	// alone, and the sooner it does, the sooner one is begun that a store that is back
	// answers; until then requests with keys are refused. One that begins to read needs a
	// proof for those that follow it. And a watch that brought a change proves what was so at
	// its beginning only: with a wait of configWait after it the proof would get so old that
	// all followers look for another source.
	shortWait = 100 * time.Millisecond
	// upstreamWait and memberWait are long, as these watches are begun anew when that of
	// the configuration is answered again after a failure.
	upstreamWait = 6 * time.Second
	memberWait   = 20 * time.Second
	// evacuationWait is long as well: evacuations are rare, and a connection that has gone
	// silent is found by the client's probes within 3 s.
	evacuationWait = 20 * time.Second
	// recordWait is long for the same reason.
	recordWait = 20 * time.Second
)

// Pauses after changes, in which further ones gather, so that one call brings them all:
// when upstreams start or stop each of a hundred changes on its own, and every process
// follows them.
const (
	// upstreamGather leaves most of the 2 s within which one that is leaving must get
	// nothing new.
	upstreamGather = 400 * time.Millisecond
	// memberGather is short: until two gateways know the same others, a pool has two owners.
	// Lists of others change at their starts and planned stops only.
	memberGather = 200 * time.Millisecond
	// recordGather brings what several gateways write of one event in few calls, and leaves
	// most of the seconds within which all must know.
	recordGather = 100 * time.Millisecond
)

// Pauses between tries after a failure, doubled up to the longest.
const (
	// firstPause leaves a process that is alone, and tries for a second, two calls of a store
	// that resets them.
	firstPause = 400 * time.Millisecond
	// configPause is the longest for the configuration, whose first answer wakes the others.
	configPause = 500 * time.Millisecond
	// otherPause is the longest for the others: a store that is away gets few calls.
	otherPause = 5 * time.Second
)

// Read follows the store until ctx ends. It may be called again afterwards, and goes on
// from what is known then.
func (v *View) Read(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	upstreams := v.newFollower(document.WorkerKind, upstreamWait)
	upstreams.gather = upstreamGather
	members := v.newFollower(MemberKind, memberWait)
	members.gather = memberGather
	others := []*follower{upstreams, members}
	if v.zones != nil {
		evacuations := v.newFollower(document.EvacuationKind, evacuationWait)
		evacuations.longestPause = configPause
		others = append(others, evacuations)
	}
	for _, records := range v.options.Records {
		f := v.newFollower(records.Kind, recordWait)
		f.gather = recordGather
		f.longestPause = configPause
		others = append(others, f)
	}
	config := v.newFollower(document.ConfigKind, configWait)
	config.longestPause = configPause
	config.share = confirmShare
	config.short = true
	config.onRegained = func() {
		for _, f := range others {
			f.again()
		}
	}
	answered := make(chan struct{})
	config.onFirst = func() { close(answered) }
	group.Go(func() error {
		defer config.noteFailing(false)
		return config.run(ctx)
	})
	for _, f := range others {
		group.Go(func() error { return f.runAfter(ctx, answered) })
	}
	return group.Wait()
}

// ListMembers reads the list of the gateways once. It tries until it succeeds or ctx ends.
func (v *View) ListMembers(ctx context.Context) error {
	f := v.newFollower(MemberKind, memberWait)
	f.longestPause = configPause
	for ctx.Err() == nil && f.kind.revision() == unknown {
		if err := f.list(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
	return nil
}

// follower is the loop over one kind.
type follower struct {
	view *View
	kind *kind
	wait time.Duration
	// share bounds wait by a part of the time for which keys are trusted: 1/share of it; 0
	// for kinds that have nothing to do with keys.
	share int
	// gather is the pause after a call that brought changes.
	gather time.Duration
	// relist is set if the store's history does not reach back to what is known.
	relist bool
	// lost is set while the store does not answer.
	lost bool
	// short is set if the next watch waits for shortWait only.
	short bool
	pause time.Duration
	// longestPause bounds the pauses after failures.
	longestPause time.Duration
	// onRegained is called when the store answers again; nil calls nothing.
	onRegained func()
	// onFirst is called at the store's first answer; nil calls nothing.
	onFirst func()
	// restart takes a wish to begin the call anew.
	restart chan struct{}
}

// newFollower returns a follower that has made no call.
func (v *View) newFollower(kind string, wait time.Duration) *follower {
	return &follower{view: v, kind: v.kind(kind), wait: wait, pause: firstPause, longestPause: otherPause, restart: make(chan struct{}, 1)}
}

// runAfter runs once the store has answered for another kind: a store that is away is
// asked for one kind only.
func (f *follower) runAfter(ctx context.Context, answered <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-answered:
		return f.run(ctx)
	}
}

// run lists the kind, unless it is known, and watches it until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		restarted, err := f.call(ctx)
		switch {
		case restarted || ctx.Err() != nil:
		case err != nil:
			f.failed(ctx, err)
		default:
			f.regained()
		}
	}
	return nil
}

// again ends the call that waits, or the pause after one that failed: a store that was
// silent for a while never answers a call of that time.
func (f *follower) again() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// call makes one step, unless it is to begin anew on the way.
func (f *follower) call(ctx context.Context) (restarted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.step(ctx) }()
	select {
	case err = <-done:
		return false, err
	case <-f.restart:
		cancel()
		<-done
		return true, nil
	}
}

// step makes one call and hands on what it brought.
func (f *follower) step(ctx context.Context) error {
	if f.relist || f.kind.revision() == unknown {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// list reads all objects.
func (f *follower) list(ctx context.Context) error {
	began := clock.Boot()
	found, revision, err := f.view.store.Load().List(ctx, f.kind.name)
	if err != nil {
		return err
	}
	changes := make([]replica.Change, len(found))
	for i, object := range found {
		changes[i] = replica.Change{Object: object}
	}
	if err := f.kind.take(replica.Delta{Reset: true, Revision: revision, Changes: changes}); err != nil {
		return err
	}
	f.relist = false
	f.prove(began)
	return nil
}

// watch waits for changes.
func (f *follower) watch(ctx context.Context) error {
	began, wait, after := clock.Boot(), f.longest(), f.kind.revision()
	changes, revision, err := f.view.store.Load().Watch(ctx, f.kind.name, after, wait)
	if err != nil {
		return err
	}
	if err := f.kind.take(replica.Delta{After: after, Revision: max(after, revision), Changes: changes}); err != nil {
		return err
	}
	f.prove(provedAt(began, clock.Boot(), wait, len(changes)))
	f.short = len(changes) > 0
	if len(changes) > 0 {
		clock.Sleep(ctx, f.gather)
	}
	return nil
}

// prove notes up to when the copy was the store's, if that is the copy of the keys.
func (f *follower) prove(at time.Duration) {
	if f.share == 0 {
		return
	}
	f.short = false
	f.view.storeProved.Store(int64(at))
	f.view.proof.confirm(Proof{At: at, From: FromStore})
}

// longest returns how long the next watch waits.
func (f *follower) longest() time.Duration {
	switch {
	case f.share == 0:
		return f.wait
	case f.lost || f.short:
		return shortWait
	default:
		return min(f.wait, f.view.TrustTime()/time.Duration(f.share), f.view.ApplyTime()/applyShare)
	}
}

// proofMargin sets how much less than its wait a watch without changes proves: the wait
// divided by it, 0.5 s of the usual 1.5 s. That is for a store that measures its waits
// otherwise or tells of changes late; it answers in 4 ms.
const proofMargin = 3

// provedAt returns the boot time up to which the answer to a watch proves what there is.
// One without changes that came after the whole wait proves that nothing had changed
// while the store held it; any other only what was so when it was asked. With the first
// kind counted from its beginning too, keys would be trusted a second less of an outage.
func provedAt(began, ended, wait time.Duration, changes int) time.Duration {
	if changes > 0 || ended-began < wait {
		return began
	}
	return began + wait - wait/proofMargin
}

// failed notes that a call failed and pauses. Where the history is gone the kind is
// listed again at once.
func (f *follower) failed(ctx context.Context, err error) {
	if errors.Is(err, store.ErrHistoryGone) {
		f.relist = true
		f.view.options.Logger.Event(event.WatchHistoryGone, observe.Fields{"kind": f.kind.name, "revision": f.kind.revision()})
		return
	}
	f.noteFailing(true)
	if !f.lost {
		f.lost = true
		f.view.options.Logger.Warn(event.WatchLost, observe.Fields{"kind": f.kind.name, "revision": f.kind.revision(), "error": err.Error()})
	}
	timer := time.NewTimer(f.pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.restart:
	case <-timer.C:
	}
	f.pause = min(2*f.pause, f.longestPause)
}

// regained notes that a call was answered.
func (f *follower) regained() {
	if f.lost {
		f.view.options.Logger.Event(event.WatchRegained, observe.Fields{"kind": f.kind.name, "revision": f.kind.revision()})
		if f.onRegained != nil {
			f.onRegained()
		}
	}
	if f.onFirst != nil {
		f.onFirst()
		f.onFirst = nil
	}
	f.lost = false
	f.pause = firstPause
	f.noteFailing(false)
}

// noteFailing notes whether the store answers for the configuration, and tells those that
// follow this process, so that they need not wait until its proof is old.
func (f *follower) noteFailing(failing bool) {
	if f.share != 0 && f.view.failing.Swap(failing) != failing {
		f.view.proof.wake()
	}
}
