package feed

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/feed/store"
)

// planKey names the object that holds the desired placement.
const planKey = "placement/plan"

// pollInterval is how often the platform is asked.
const pollInterval = 250 * time.Millisecond

// readDirectly polls the platform until ctx ends.
func (f *Feed) readDirectly(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.poll(ctx, f.readPlatform) })
	return group.Wait()
}

// poll calls read again and again until ctx ends. A failed read is tried again.
func (f *Feed) poll(ctx context.Context, read func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		_ = read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// readPlatform reads configuration, hosts and placement once.
func (f *Feed) readPlatform(ctx context.Context) error {
	snapshot, err := f.readConfig(ctx)
	if err != nil {
		return err
	}
	list, err := f.opts.Hosts.List(ctx)
	if err != nil {
		return err
	}
	plan, version, err := f.readPlan(ctx)
	if err != nil {
		return err
	}
	old := f.State()
	if old != nil && old.config == snapshot && reflect.DeepEqual(old.hosts, list) && old.placementVersion == version {
		return nil
	}
	f.edit(func(s *State) {
		s.Revision, s.config = snapshot.Revision(), snapshot
		s.hosts, s.plan, s.placementVersion = list, plan, version
	})
	return nil
}

// readConfig returns the configuration in force, or the present one if nothing
// changed.
func (f *Feed) readConfig(ctx context.Context) (*config.Snapshot, error) {
	known := config.Empty()
	if old := f.State(); old != nil {
		known = old.config
	}
	reader := store.NewReader(f.opts.Objects)
	head, _, err := reader.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Revision <= known.Revision() {
		return known, nil
	}
	snapshot := config.Outline(head, known)
	if f.opts.Role != fleet.RoleEntry {
		snapshot = snapshot.WithoutWorkspaces()
	}
	return reader.Load(ctx, snapshot)
}

// readPlan returns the desired placement, with version zero if there is none.
func (f *Feed) readPlan(ctx context.Context) (placement.Plan, uint64, error) {
	object, err := f.opts.Objects.Get(ctx, planKey)
	if fault.Is(err, fault.NotFound) {
		return placement.Plan{}, 0, nil
	}
	if err != nil {
		return placement.Plan{}, 0, err
	}
	var plan placement.Plan
	err = json.Unmarshal(object.Value, &plan)
	return plan, object.Version, err
}
