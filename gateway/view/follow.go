package view

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

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
// these make 0.88 a second in each process.
const (
	// configWait is how soon a store that has fallen silent is noticed. It is at most
	// confirmShare of the time for which keys are trusted, so that two watches and a slow
	// answer fit into it; that is as long for the 4.5 s of the sites known.
	configWait   = 1500 * time.Millisecond
	confirmShare = 3
	// lostWait is the wait while the store does not answer: a call then ends by its timeout
	// alone, and the sooner it does, the sooner one is begun that a store that is back
	// answers. With configWait three of five gateways heard 2.2 s after the store was back
	// that it was, and refused requests with keys until then.
	lostWait = 100 * time.Millisecond
	// upstreamWait and memberWait are long, as these watches are begun anew when that of
	// the configuration is answered again after a failure. Without that, waits of 6 s for
	// upstreams and 2 s for the configuration cost a tenth of mean worth (0.570 to 0.514
	// over six days and three seeds of one deployment).
	upstreamWait = 6 * time.Second
	memberWait   = 20 * time.Second
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
)

// Pauses between tries after a failure, doubled up to the longest.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// receiver takes what a watch brings.
type receiver interface {
	// reset replaces all objects.
	reset(objects []store.Object)
	// apply takes changes, which may be none.
	apply(changes []store.Change)
	// confirm tells that at a boot time all was as known now.
	confirm(at time.Duration)
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	upstreams := v.newFollower(document.WorkerKind, upstreamWait, newUpstreamFollower(v))
	upstreams.gather = upstreamGather
	members := v.newFollower(MemberKind, memberWait, newMemberFollower(v))
	members.gather = memberGather
	config := v.newFollower(document.ConfigKind, configWait, &configFollower{view: v})
	config.share = confirmShare
	config.onRegained = func() {
		upstreams.again()
		members.again()
	}
	for _, f := range []*follower{upstreams, members, config} {
		group.Go(func() error { return f.run(ctx) })
	}
	return group.Wait()
}

// follower is the loop over one kind.
type follower struct {
	view *View
	kind string
	wait time.Duration
	// share bounds wait by a part of the time for which keys are trusted: 1/share of it; 0
	// for kinds that have nothing to do with keys.
	share int
	// gather is the pause after a call that brought changes.
	gather   time.Duration
	to       receiver
	revision int64
	// listed is set while revision continues a list.
	listed bool
	// lost is set while the store does not answer.
	lost  bool
	pause time.Duration
	// onRegained is called when the store answers again; nil calls nothing.
	onRegained func()
	// restart takes a wish to begin the call anew.
	restart chan struct{}
}

// newFollower returns a follower that has made no call.
func (v *View) newFollower(kind string, wait time.Duration, to receiver) *follower {
	return &follower{view: v, kind: kind, wait: wait, to: to, pause: firstPause, restart: make(chan struct{}, 1)}
}

// run lists the kind and watches it until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		restarted, err := f.call(ctx)
		switch {
		case restarted:
		case err != nil && ctx.Err() == nil:
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
	began := clock.Boot()
	if !f.listed {
		objects, revision, err := f.view.store.Load().List(ctx, f.kind)
		if err != nil {
			return err
		}
		f.to.reset(objects)
		f.revision, f.listed = revision, true
		f.to.confirm(began)
		return nil
	}
	wait := f.longest()
	changes, revision, err := f.view.store.Load().Watch(ctx, f.kind, f.revision, wait)
	if err != nil {
		return err
	}
	f.to.apply(changes)
	f.revision = max(f.revision, revision)
	f.to.confirm(provedAt(began, clock.Boot(), wait, len(changes)))
	if len(changes) > 0 {
		sleep(ctx, f.gather)
	}
	return nil
}

// longest returns how long the next watch waits.
func (f *follower) longest() time.Duration {
	if f.share == 0 {
		return f.wait
	}
	if f.lost {
		return lostWait
	}
	return min(f.wait, f.view.trustTime()/time.Duration(f.share))
}

// proofMargin sets how much less than its wait a watch without changes proves: the wait
// divided by it, 0.5 s of the usual 1.5 s. That is for a store that measures its waits
// otherwise or tells of changes late; it answers in 4 ms.
const proofMargin = 3

// provedAt returns the boot time up to which the answer to a watch proves what there is.
// One without changes that came after the whole wait proves that nothing had changed
// while the store held it; any other only what was so when it was asked. With the first
// kind counted from its beginning too, keys are trusted a second less of an outage.
func provedAt(began, ended, wait time.Duration, changes int) time.Duration {
	if changes > 0 || ended-began < wait {
		return began
	}
	return began + wait - wait/proofMargin
}

// sleep waits, unless ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// failed notes that a call failed and pauses. Where the history is gone the kind is
// listed again at once.
func (f *follower) failed(ctx context.Context, err error) {
	if errors.Is(err, store.ErrHistoryGone) {
		f.listed = false
		f.view.options.Logger.Event(event.WatchHistoryGone, observe.Fields{"kind": f.kind, "revision": f.revision})
		return
	}
	if !f.lost {
		f.lost = true
		f.view.options.Logger.Warn(event.WatchLost, observe.Fields{"kind": f.kind, "revision": f.revision, "error": err.Error()})
	}
	timer := time.NewTimer(f.pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.restart:
	case <-timer.C:
	}
	f.pause = min(2*f.pause, longestPause)
}

// regained notes that a call was answered.
func (f *follower) regained() {
	if f.lost {
		f.view.options.Logger.Event(event.WatchRegained, observe.Fields{"kind": f.kind, "revision": f.revision})
		if f.onRegained != nil {
			f.onRegained()
		}
	}
	f.lost = false
	f.pause = firstPause
}
