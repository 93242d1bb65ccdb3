package feed

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// duty makes this entry a relay for as long as the host list says so.
func (f *Feed) duty(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.changed.wait()
		if f.isRelay() {
			f.log(event.RelayBegan, observe.Fields{"reason": "among the best of its zone by the host list"})
			f.relay(ctx)
			f.log(event.RelayEnded, observe.Fields{"reason": "the host list changed, or the process stops"})
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// relay watches the platform until this entry is no relay any more, or ctx ends.
func (f *Feed) relay(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return f.watchConfig(ctx) })
	group.Go(func() error { return f.watchPlacement(ctx) })
	group.Go(func() error { return f.pollHosts(ctx) })
	for ctx.Err() == nil {
		changed := f.changed.wait()
		if !f.isRelay() {
			stop()
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	_ = group.Wait() // its parts end with ctx and have no other error
}

// changingPolls is the longest wait before the next read of a host list that has
// just changed, in longest waits between reads. A leaving host must be known
// everywhere within 2 s, so that it can't be much longer.
const changingPolls = 2

// pollHosts reads the host list again and again.
func (f *Feed) pollHosts(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		last := f.listed.Load()
		if err := f.readHosts(ctx); err != nil {
			failures++
			pause(ctx, f.backoff(failures))
			continue
		}
		failures = 0
		pause(ctx, f.jitter(f.hostsWait(last)))
	}
	return nil
}

// hostsWait is the longest wait behind a read of the host list, before which its
// version was last.
func (f *Feed) hostsWait(last uint64) time.Duration {
	if f.listed.Load() != last {
		return changingPolls * f.timing.HostsPoll
	}
	return f.timing.HostsPoll
}
