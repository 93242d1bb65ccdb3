package feed

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// entriesPulled is how many entries are asked for a newer revision before the
// platform is.
const entriesPulled = 2

// sighting is a revision that a message carried, and the sender's address.
type sighting struct {
	revision core.Revision
	addr     string
}

// NoteRevision tells that a message of the peer at addr carried a revision; addr
// may be empty. If the revision is above the process's own and the feed doesn't
// bring it in a moment, it is pulled. It never blocks.
func (f *Feed) NoteRevision(revision core.Revision, addr string) {
	if uint64(revision) <= f.meters.revision.Load() {
		return
	}
	select {
	case f.wanted <- sighting{revision, addr}:
	default: // One is waiting already; what it brings may be enough, or the next message tells.
	}
}

// catchUp pulls revisions that messages carried, until ctx ends.
func (f *Feed) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case seen := <-f.wanted:
			if !f.arrives(ctx, seen.revision) {
				f.fetch(ctx, seen)
			}
		}
	}
}

// arrives gives the feed a moment and tells whether it brought the revision. The
// moment is by chance, so that a change doesn't make everybody pull at once.
func (f *Feed) arrives(ctx context.Context, revision core.Revision) bool {
	timer := time.NewTimer(f.jitter(f.timing.CatchUp))
	defer timer.Stop()
	for {
		changed := f.changed.wait()
		if f.revision() >= revision {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return true
		}
	}
}

// fetch pulls a revision from its sender if that is an entry, from other entries,
// or from the platform. If none has it, nothing more is tried for a while: the
// revision may be a mistake.
func (f *Feed) fetch(ctx context.Context, seen sighting) {
	f.meters.catchUps.add()
	f.warn(event.FeedCatchUp, observe.Fields{"wanted": seen.revision, "held": f.revision(), "peer": seen.addr})
	for _, host := range f.sources(seen.addr) {
		if f.pull(ctx, host) == nil && f.revision() >= seen.revision {
			return
		}
	}
	if f.readConfig(ctx) == nil && f.revision() >= seen.revision {
		return
	}
	pause(ctx, f.timing.LongestWait)
}

// sources returns the entry at addr, if there is one, and some of the order that
// are not followed anyway.
func (f *Feed) sources(addr string) []fleet.Host {
	f.mu.Lock()
	provider := f.provider
	f.mu.Unlock()
	var sender, others []fleet.Host
	for _, host := range f.order() {
		switch {
		case host.Addr == addr:
			sender = append(sender, host)
		case host.Name != provider && len(others) < entriesPulled:
			others = append(others, host)
		}
	}
	return append(sender, others...)
}
