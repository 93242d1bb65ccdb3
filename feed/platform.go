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

// sourcePlatform names the platform as a source in log lines.
const sourcePlatform = "platform"

// readTimeout bounds one direct read of everything.
const readTimeout = 10 * time.Second

// health tells when a service of the platform stops and begins to answer.
type health struct {
	mu        sync.Mutex
	lostSince time.Time
}

// note takes the outcome of a call and tells whether this changed the health,
// and for how long the service was lost if it is back.
func (h *health) note(ok bool, now time.Time) (changed bool, lost time.Duration) {
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

// countedStore counts the feed's calls of the object API and logs when it stops
// and begins to answer. The feed never writes.
type countedStore struct {
	objects.API
	feed   *Feed
	health health
}

// Get implements objects.API.
func (s *countedStore) Get(ctx context.Context, key string) (objects.Object, error) {
	s.feed.meters.storeReads.add()
	object, err := s.API.Get(ctx, key)
	s.note(ctx, "objects.get", err)
	return object, err
}

// Watch implements objects.API.
func (s *countedStore) Watch(ctx context.Context, prefix string, cursor uint64) (objects.WatchResult, error) {
	s.feed.meters.storeWatches.add()
	result, err := s.API.Watch(ctx, prefix, cursor)
	s.note(ctx, "objects.watch", err)
	return result, err
}

// note logs a change of the store's health.
func (s *countedStore) note(ctx context.Context, step string, err error) {
	if ctx.Err() != nil {
		return
	}
	answered := err == nil || fault.Is(err, fault.NotFound)
	changed, lost := s.health.note(answered, time.Now())
	switch {
	case changed && answered:
		s.feed.log(event.StoreBack, observe.Fields{"step": step, "lost_ms": lost.Milliseconds()})
	case changed:
		s.feed.warn(event.StoreLost, observe.Fields{"step": step, "error": err.Error()})
	}
}

// readPlatform reads everything directly, in parallel. What can be read is
// taken, also if the rest fails.
func (f *Feed) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return f.readConfig(ctx) })
	group.Go(func() error { return f.readHosts(ctx) })
	group.Go(func() error { return f.readPlacement(ctx) })
	return group.Wait()
}

// readConfig reads the configuration in force and takes it if it is newer.
func (f *Feed) readConfig(ctx context.Context) error {
	head, _, err := f.reader.Head(ctx)
	if err != nil {
		return err
	}
	return f.load(ctx, head)
}

// load takes the configuration that head names, if it is newer. Parts that the
// process holds are not read again.
func (f *Feed) load(ctx context.Context, head config.Head) error {
	known := f.known()
	if known != nil && head.Revision <= known.Revision() {
		return nil
	}
	if known == nil {
		known = config.Empty()
	}
	return f.fill(ctx, config.Outline(head, known))
}

// fill reads the parts that a snapshot misses and takes it.
func (f *Feed) fill(ctx context.Context, snapshot *config.Snapshot) error {
	if f.opts.Role != fleet.RoleEntry {
		snapshot = snapshot.WithoutWorkspaces()
	}
	snapshot, err := f.reader.Load(ctx, snapshot)
	if err != nil {
		return err
	}
	f.takeConfig(snapshot, sourcePlatform)
	return nil
}

// readHosts reads the host list and takes it if it is newer.
func (f *Feed) readHosts(ctx context.Context) error {
	f.meters.hostReads.add()
	list, err := f.opts.Hosts.List(ctx)
	if ctx.Err() == nil {
		f.noteHostList(err)
	}
	if err != nil {
		return err
	}
	f.listed.Store(list.Version)
	f.takeHosts(list, sourcePlatform)
	return nil
}

// noteHostList logs a change of the host list's health.
func (f *Feed) noteHostList(err error) {
	changed, lost := f.hostHealth.note(err == nil, time.Now())
	switch {
	case changed && err == nil:
		f.log(event.HostListBack, observe.Fields{"lost_ms": lost.Milliseconds()})
	case changed:
		f.warn(event.HostListLost, observe.Fields{"error": err.Error()})
	}
}

// readPlacement reads the desired placement and takes it if it is newer.
func (f *Feed) readPlacement(ctx context.Context) error {
	object, err := f.objects.Get(ctx, planKey)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.decodePlacement(object, sourcePlatform)
}

// decodePlacement takes a placement object if it is newer.
func (f *Feed) decodePlacement(object objects.Object, source string) error {
	var plan placement.Plan
	if err := json.Unmarshal(object.Value, &plan); err != nil {
		return fault.Wrap(fault.Invalid, "feed.placement", source, err)
	}
	f.takePlacement(plan, object.Version, source)
	return nil
}
