package feed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/objects"
)

// Keys of the desired placement.
const (
	placementPrefix = "placement/"
	planKey         = placementPrefix + "plan"
)

// sourcePlatform names the platform as the source of a version in log events.
const sourcePlatform = "platform"

// readTimeout bounds one direct read of the whole state.
const readTimeout = 10 * time.Second

// health tracks whether a service of the platform responds.
type health struct {
	mu        sync.Mutex
	lostSince time.Time
}

// record takes the outcome of a call. It reports whether the health changed and, if
// the service responds again, how long the outage lasted.
func (h *health) record(ok bool, now time.Time) (changed bool, lost time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasLost := !h.lostSince.IsZero()
	if ok != wasLost {
		return false, 0
	}
	if ok {
		lost = now.Sub(h.lostSince)
		h.lostSince = time.Time{}
		return true, lost
	}
	h.lostSince = now
	return true, 0
}

// countedStore counts the feed's calls of the object API and logs when the store stops
// responding and when it responds again. The feed never writes.
type countedStore struct {
	objects.API
	feed   *Feed
	health health
}

// Get implements objects.API.
func (s *countedStore) Get(ctx context.Context, key string) (objects.Object, error) {
	s.feed.meters.storeReads.add()
	object, err := s.API.Get(ctx, key)
	s.recordHealth(ctx, "objects.get", err)
	return object, err
}

// Watch implements objects.API.
func (s *countedStore) Watch(ctx context.Context, prefix string, cursor uint64) (objects.WatchResult, error) {
	s.feed.meters.storeWatches.add()
	result, err := s.API.Watch(ctx, prefix, cursor)
	s.recordHealth(ctx, "objects.watch", err)
	return result, err
}

// recordHealth logs a change of the store's health.
func (s *countedStore) recordHealth(ctx context.Context, step string, err error) {
	if ctx.Err() != nil {
		return
	}
	responded := err == nil || fault.Is(err, fault.NotFound)
	changed, lost := s.health.record(responded, time.Now())
	switch {
	case changed && responded:
		s.feed.log(event.StoreBack, observe.Fields{"step": step, "lost_ms": lost.Milliseconds()})
	case changed:
		s.feed.warn(event.StoreLost, observe.Fields{"step": step, "error": err.Error()})
	}
}

// readPlatform reads configuration, host list and placement directly, in parallel.
// Each is applied on its own, even if another read fails.
func (f *Feed) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return f.readConfig(ctx) })
	group.Go(func() error { return f.readHosts(ctx) })
	group.Go(func() error { return f.readPlacement(ctx) })
	return group.Wait()
}

// readConfig reads the configuration in force and applies it if it is newer.
func (f *Feed) readConfig(ctx context.Context) error {
	head, _, err := f.reader.Head(ctx)
	if err != nil {
		return err
	}
	return f.loadConfig(ctx, head)
}

// loadConfig loads and applies the configuration that head names, if it is newer.
// Parts that the process already has are not read again.
func (f *Feed) loadConfig(ctx context.Context, head config.Head) error {
	latest := f.latestConfig()
	if latest != nil && head.Revision <= latest.Revision() {
		return nil
	}
	if latest == nil {
		latest = config.Empty()
	}
	return f.loadParts(ctx, config.NewUnloaded(head, latest))
}

// loadParts reads the missing parts of a snapshot and applies it.
func (f *Feed) loadParts(ctx context.Context, snapshot *config.Snapshot) error {
	if f.opts.Role != fleet.RoleEntry {
		snapshot = snapshot.WithoutWorkspaces()
	}
	snapshot, err := f.reader.Load(ctx, snapshot)
	if err != nil {
		return err
	}
	f.applyConfig(snapshot, sourcePlatform)
	return nil
}

// readHosts reads the host list and applies it if it is newer.
func (f *Feed) readHosts(ctx context.Context) error {
	f.meters.hostReads.add()
	list, err := f.opts.Hosts.List(ctx)
	if ctx.Err() == nil {
		f.recordHostListHealth(err)
	}
	if err != nil {
		return err
	}
	f.platformHostsVersion.Store(list.Version)
	f.applyHosts(list, sourcePlatform)
	return nil
}

// recordHostListHealth logs when the host list becomes unreadable or readable again.
func (f *Feed) recordHostListHealth(err error) {
	changed, lost := f.hostHealth.record(err == nil, time.Now())
	switch {
	case changed && err == nil:
		f.log(event.HostListBack, observe.Fields{"lost_ms": lost.Milliseconds()})
	case changed:
		f.warn(event.HostListLost, observe.Fields{"error": err.Error()})
	}
}

// readPlacement reads the desired placement and applies it if it is newer.
func (f *Feed) readPlacement(ctx context.Context) error {
	object, err := f.objects.Get(ctx, planKey)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.applyPlacementObject(object, sourcePlatform)
}

// applyPlacementObject decodes a placement object and applies it if it is newer.
func (f *Feed) applyPlacementObject(object objects.Object, source string) error {
	var plan placement.Plan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		return fault.Wrap(fault.Invalid, "feed.placement", source, err)
	}
	f.applyPlacement(plan, object.Version, source)
	return nil
}
