package feed

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// maxOtherEntries is from how many entries other than the sender a newer revision is
// requested before the platform is read.
const maxOtherEntries = 2

// seenRevision is a revision that a message carried, and the address of its sender.
type seenRevision struct {
	revision core.Revision
	addr     string
}

// NoteRevision reports that a message of the peer at addr carried a revision; addr
// may be empty. If the revision is newer than the process's own and the feed does not
// deliver it within Timing.CatchUpTimeout, it is pulled. NoteRevision never blocks.
func (f *Feed) NoteRevision(revision core.Revision, addr string) {
	if uint64(revision) <= f.meters.revision.Load() {
		return
	}
	select {
	case f.wanted <- seenRevision{revision, addr}:
	default: // A revision is pending already; pulling that one may suffice, or the next message reports this one again.
	}
}

// catchUp pulls newer revisions that were seen in messages, until ctx ends.
func (f *Feed) catchUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case seen := <-f.wanted:
			if !f.waitForRevision(ctx, seen.revision) {
				f.pullRevision(ctx, seen)
			}
		}
	}
}

// waitForRevision waits for the feed to deliver the revision and reports whether it
// did. The wait is random, so that a change does not make all processes pull at once.
// It returns true as well when ctx ends.
func (f *Feed) waitForRevision(ctx context.Context, revision core.Revision) bool {
	timer := time.NewTimer(f.jitter(f.timing.CatchUpTimeout))
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

// pullRevision pulls a revision from its sender if that is an entry, then from other
// entries, then from the platform. If none of them has the revision, the message may have
// been wrong, and pullRevision waits before it returns.
func (f *Feed) pullRevision(ctx context.Context, seen seenRevision) {
	f.meters.catchUps.add()
	f.warn(event.FeedCatchUp, observe.Fields{"wanted": seen.revision, "held": f.revision(), "peer": seen.addr})
	for _, host := range f.pullCandidates(seen.addr) {
		if f.pull(ctx, host) == nil && f.revision() >= seen.revision {
			return
		}
	}
	if f.readConfig(ctx) == nil && f.revision() >= seen.revision {
		return
	}
	sleep(ctx, f.timing.MaxBackoff)
}

// pullCandidates returns the entry at addr, if there is one, and up to maxOtherEntries
// of the other entries, without the provider, whose feed is received anyway.
func (f *Feed) pullCandidates(addr string) []fleet.Host {
	f.mu.Lock()
	provider := f.provider
	f.mu.Unlock()
	var sender, others []fleet.Host
	for _, host := range f.orderedProviders() {
		switch {
		case host.Addr == addr:
			sender = append(sender, host)
		case host.Name != provider && len(others) < maxOtherEntries:
			others = append(others, host)
		}
	}
	return append(sender, others...)
}
