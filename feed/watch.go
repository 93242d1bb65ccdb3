package feed

import (
	"context"
	"strings"

	"acaciawinch/core/config"
	"acaciawinch/platform/objects"
)

// configPrefix is the prefix of the keys of the head and of all parts. A relay receives the parts of a change
// before the head that names them, so it has everything when the change is accepted,
// even if the store fails right after.
const configPrefix = "config/"

// maxPendingBytes bounds the parts that are kept for a head that has not arrived yet.
const maxPendingBytes = 32 << 20

// watchConfig follows the configuration at the platform until ctx ends.
func (f *Feed) watchConfig(ctx context.Context) error {
	w := &configWatch{feed: f, pendingParts: map[string][]byte{}}
	return f.watch(ctx, configPrefix, f.readConfig, w.handleChanges)
}

// watchPlacement follows the desired placement at the platform until ctx ends.
func (f *Feed) watchPlacement(ctx context.Context) error {
	return f.watch(ctx, placementPrefix, f.readPlacement, func(_ context.Context, changes []objects.Change) error {
		for _, change := range changes {
			if change.Key != planKey || change.Deleted {
				continue
			}
			if err := f.applyPlacementObject(change.Object, sourcePlatform); err != nil {
				return err
			}
		}
		return nil
	})
}

// watch reads everything below prefix once, and passes each later change to handle. The
// cursor is fetched before the read, so that no change is missed in between. After an
// error of handle everything is read again. A failed watch is followed by a read before
// the next watch, since a watch that waits for a change does not show that the platform
// responds again.
func (f *Feed) watch(ctx context.Context, prefix string, read func(context.Context) error, handle func(context.Context, []objects.Change) error) error {
	cursor, failures := uint64(0), 0
	for ctx.Err() == nil {
		var err error
		if failures > 0 {
			err = read(ctx)
		}
		next := cursor
		if err == nil {
			next, err = f.watchOnce(ctx, prefix, cursor, read, handle)
		}
		if err != nil {
			failures++
			sleep(ctx, f.backoff(failures))
			continue
		}
		cursor, failures = next, 0
	}
	return nil
}

// watchOnce makes one watch call and handles its result. It returns the next cursor, or
// 0 to start over.
func (f *Feed) watchOnce(ctx context.Context, prefix string, cursor uint64, read func(context.Context) error, handle func(context.Context, []objects.Change) error) (uint64, error) {
	result, err := f.objects.Watch(ctx, prefix, cursor)
	if err != nil {
		return 0, err
	}
	if result.Reset {
		return 0, nil
	}
	if cursor == 0 {
		return result.Next, read(ctx)
	}
	if err := handle(ctx, result.Changes); err != nil {
		return 0, read(ctx)
	}
	return result.Next, nil
}

// configWatch assembles configurations from changes below configPrefix.
type configWatch struct {
	feed *Feed
	// pendingParts holds by hash the parts that no head has named yet.
	pendingParts map[string][]byte
	pendingBytes int
}

// handleChanges handles changes in the order in which they took effect.
func (w *configWatch) handleChanges(ctx context.Context, changes []objects.Change) error {
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		if hash, isPart := strings.CutPrefix(change.Key, config.PartPrefix); isPart {
			w.keepPart(hash, change.Value)
		}
		if change.Key == config.HeadKey {
			if err := w.handleHead(ctx, change.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

// keepPart keeps a part for a later head. If maxPendingBytes would be exceeded, all kept
// parts are dropped first; handleHead reads missing parts from the store.
func (w *configWatch) keepPart(hash string, data []byte) {
	if w.pendingParts[hash] != nil {
		return
	}
	if w.pendingBytes+len(data) > maxPendingBytes {
		w.dropParts()
	}
	w.pendingParts[hash] = data
	w.pendingBytes += len(data)
}

// dropParts drops all kept parts.
func (w *configWatch) dropParts() {
	w.pendingParts, w.pendingBytes = map[string][]byte{}, 0
}

// handleHead applies the configuration of a new head from the kept parts, and reads the
// others.
func (w *configWatch) handleHead(ctx context.Context, value []byte) error {
	head, err := config.DecodeHead(value)
	if err != nil {
		return err
	}
	latest := w.feed.latestConfig()
	if latest == nil {
		latest = config.Empty()
	}
	if head.Revision <= latest.Revision() {
		return nil
	}
	snapshot := config.NewUnloaded(head, latest)
	for _, hash := range snapshot.Missing() {
		data, found := w.pendingParts[hash]
		if !found {
			continue
		}
		if snapshot, err = snapshot.WithPart(hash, data); err != nil {
			return err
		}
	}
	if err := w.feed.loadParts(ctx, snapshot); err != nil {
		return err
	}
	w.dropParts()
	return nil
}
