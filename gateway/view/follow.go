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
// that nothing had changed when it began.
const (
	// configWait must leave room for two watches, a slow answer and a new try within
	// the time for which keys are trusted, 5 s on the sites known.
	configWait = 1500 * time.Millisecond
	// upstreamWait bounds how late a connection that went silent without the notice
	// of keep-alive probes hides an upstream's leaving.
	upstreamWait = 3 * time.Second
	// memberWait is long, as a wrong list of members costs efficiency only.
	memberWait = 20 * time.Second
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
	group.Go(func() error { return v.follow(ctx, document.ConfigKind, configWait, &configFollower{view: v}) })
	group.Go(func() error { return v.follow(ctx, document.WorkerKind, upstreamWait, newUpstreamFollower(v)) })
	group.Go(func() error { return v.follow(ctx, MemberKind, memberWait, newMemberFollower(v)) })
	return group.Wait()
}

// follower is the loop over one kind.
type follower struct {
	view     *View
	kind     string
	wait     time.Duration
	to       receiver
	revision int64
	// listed is set while revision continues a list.
	listed bool
	// lost is set while the store does not answer.
	lost  bool
	pause time.Duration
}

// follow lists a kind and watches it until ctx ends.
func (v *View) follow(ctx context.Context, kind string, wait time.Duration, to receiver) error {
	f := &follower{view: v, kind: kind, wait: wait, to: to, pause: firstPause}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
			continue
		}
		f.regained()
	}
	return nil
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
	changes, revision, err := f.view.store.Load().Watch(ctx, f.kind, f.revision, f.wait)
	if err != nil {
		return err
	}
	f.to.apply(changes)
	f.revision = max(f.revision, revision)
	f.to.confirm(began)
	return nil
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
	case <-timer.C:
	}
	f.pause = min(2*f.pause, longestPause)
}

// regained notes that a call was answered.
func (f *follower) regained() {
	if f.lost {
		f.view.options.Logger.Event(event.WatchRegained, observe.Fields{"kind": f.kind, "revision": f.revision})
	}
	f.lost = false
	f.pause = firstPause
}
