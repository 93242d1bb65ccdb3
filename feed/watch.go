package feed

import (
	"context"
	"strings"

	"acaciawinch/core/config"
	"acaciawinch/platform/objects"
)

// configPrefix covers the head and all parts: a relay sees the parts of a change
// before the head that names them, so that it holds everything at the moment of
// the accept, even if the store goes down right after it.
const configPrefix = "config/"

// maxSeenBytes bounds the parts that are kept for a head to come.
const maxSeenBytes = 32 << 20

// watchConfig follows the configuration at the platform until ctx ends.
func (f *Feed) watchConfig(ctx context.Context) error {
	w := &configWatch{feed: f, seen: map[string][]byte{}}
	return f.watch(ctx, configPrefix, f.readConfig, w.take)
}

// watchPlacement follows the desired placement at the platform until ctx ends.
func (f *Feed) watchPlacement(ctx context.Context) error {
	return f.watch(ctx, placementPrefix, f.readPlacement, func(_ context.Context, changes []objects.Change) error {
		for _, change := range changes {
			if change.Key != planKey || change.Deleted {
				continue
			}
			if err := f.decodePlacement(change.Object, sourcePlatform); err != nil {
				return err
			}
		}
		return nil
	})
}

// watch reads what is below prefix once, and takes each change from then on. The
// cursor is fetched before the read, so that no change falls between the two.
// After a failure of take everything is read again. Behind a failed watch a read
// comes first: a watch that waits for a change doesn't tell that the platform is
// back.
func (f *Feed) watch(ctx context.Context, prefix string, read func(context.Context) error, take func(context.Context, []objects.Change) error) error {
	cursor, failures := uint64(0), 0
	for ctx.Err() == nil {
		var err error
		if failures > 0 {
			err = read(ctx)
		}
		next := cursor
		if err == nil {
			next, err = f.watchOnce(ctx, prefix, cursor, read, take)
		}
		if err != nil {
			failures++
			pause(ctx, f.backoff(failures))
			continue
		}
		cursor, failures = next, 0
	}
	return nil
}

// watchOnce makes one watch call and handles what it brings. It returns the next
// cursor, 0 to begin anew.
func (f *Feed) watchOnce(ctx context.Context, prefix string, cursor uint64, read func(context.Context) error, take func(context.Context, []objects.Change) error) (uint64, error) {
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
	if err := take(ctx, result.Changes); err != nil {
		return 0, read(ctx)
	}
	return result.Next, nil
}

// configWatch turns changes below configPrefix into configurations.
type configWatch struct {
	feed *Feed
	// seen holds parts by hash that no head has named yet.
	seen      map[string][]byte
	seenBytes int
}

// take handles changes in the order in which they took effect.
func (w *configWatch) take(ctx context.Context, changes []objects.Change) error {
	for _, change := range changes {
		if change.Deleted {
			continue
		}
		if hash, isPart := strings.CutPrefix(change.Key, config.PartPrefix); isPart {
			w.keep(hash, change.Value)
		}
		if change.Key == config.HeadKey {
			if err := w.head(ctx, change.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

// keep remembers a part. Beyond the bound everything is forgotten: what a head
// then misses is read.
func (w *configWatch) keep(hash string, data []byte) {
	if w.seen[hash] != nil {
		return
	}
	if w.seenBytes+len(data) > maxSeenBytes {
		w.forget()
	}
	w.seen[hash] = data
	w.seenBytes += len(data)
}

// forget drops all remembered parts.
func (w *configWatch) forget() {
	w.seen, w.seenBytes = map[string][]byte{}, 0
}

// head takes a new head with the parts that were seen, and reads the others.
func (w *configWatch) head(ctx context.Context, value []byte) error {
	head, err := config.DecodeHead(value)
	if err != nil {
		return err
	}
	known := w.feed.known()
	if known == nil {
		known = config.Empty()
	}
	if head.Revision <= known.Revision() {
		return nil
	}
	snapshot := config.Outline(head, known)
	for _, hash := range snapshot.Missing() {
		data, found := w.seen[hash]
		if !found {
			continue
		}
		if snapshot, err = snapshot.WithPart(hash, data); err != nil {
			return err
		}
	}
	if err := w.feed.fill(ctx, snapshot); err != nil {
		return err
	}
	w.forget()
	return nil
}
