package feed

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// relayWhenListed runs the tasks of a relay while this entry is one by the host list, until
// ctx ends.
func (f *Feed) relayWhenListed(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.changed.wait()
		if f.isRelay() {
			f.log(event.RelayBegan, observe.Fields{"reason": "among the best of its zone by the host list"})
			f.runRelay(ctx)
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

// runRelay watches the platform until this entry is no longer a relay, or ctx ends.
func (f *Feed) runRelay(ctx context.Context) {
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
	_ = group.Wait() // the goroutines end with ctx and return no error
}

// changedPollFactor scales the poll interval after a read that found a changed host
// list. It can't be much larger, as a leaving host must be known everywhere within 2 s.
const changedPollFactor = 2

// pollHosts reads the host list periodically until ctx ends.
func (f *Feed) pollHosts(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		lastVersion := f.platformHostsVersion.Load()
		if err := f.readHosts(ctx); err != nil {
			failures++
			sleep(ctx, f.backoff(failures))
			continue
		}
		failures = 0
		sleep(ctx, f.jitter(f.hostsPollWait(lastVersion)))
	}
	return nil
}

// hostsPollWait returns the longest wait after a read of the host list; lastVersion is the
// version of the list before that read.
func (f *Feed) hostsPollWait(lastVersion uint64) time.Duration {
	if f.platformHostsVersion.Load() != lastVersion {
		return changedPollFactor * f.timing.HostsPollInterval
	}
	return f.timing.HostsPollInterval
}
