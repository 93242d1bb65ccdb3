package feed

import (
	"context"
	"errors"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Limits of the start of a process.
const (
	// maxEntryResponses is from how many entries a new process collects the state while
	// the store is down: a single one may have missed the last change.
	maxEntryResponses = 3
	// maxEntriesTried is how many entries are tried in one round to get these responses.
	maxEntriesTried = 6
	// headTimeout bounds the read of the head from the store.
	headTimeout = time.Second
)

// start loads the first state of a new process. It returns false if ctx ended.
//
// One small read of the store returns the revision in force, and the content comes from
// entries, so that a restart of many processes does not read all parts as many times.
// If the store does not respond, the newest state of several entries is used: it can be
// older than the one in force only if all of them are behind. If no entry responds,
// everything is read from the store.
func (f *Feed) start(ctx context.Context) bool {
	for failures := 0; ctx.Err() == nil; failures++ {
		if failures > 0 {
			sleep(ctx, f.backoff(failures))
		}
		_ = f.readHosts(ctx) // failures are logged there; the list is read again later
		minRevision, headKnown := f.headRevision(ctx)
		if authority, ok := f.gatherState(ctx, minRevision, headKnown, failures); ok {
			f.finishStart(authority)
			return true
		}
	}
	return false
}

// headRevision reads the revision in force from the store. Known is false if the read
// failed.
func (f *Feed) headRevision(ctx context.Context) (revision core.Revision, known bool) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := f.reader.Head(ctx)
	return head.Revision, err == nil
}

// gatherState requests the state once from several entries and, if need be, from the
// store. It returns who confirmed the state, for the log, and whether the state suffices
// to start.
func (f *Feed) gatherState(ctx context.Context, minRevision core.Revision, headKnown bool, failures int) (string, bool) {
	responses := f.pullFromEntries(ctx, minRevision, headKnown)
	if headKnown && !f.hasState(minRevision) && (failures > 0 || responses == 0 && f.readsStoreFirst()) {
		if err := f.readPlatform(ctx); err != nil && ctx.Err() == nil {
			f.warn(event.FeedReadFailed, observe.Fields{"wanted": minRevision, "error": err.Error()})
		}
	}
	switch {
	case headKnown && f.hasState(minRevision):
		return "store", true
	case !headKnown && responses > 0 && f.hasState(0):
		return "entries", true
	}
	return "", false
}

// readsStoreFirst reports whether this process reads everything from the store in the
// first round. Relays do, and processes that know no entry; others wait for the relays
// to load.
func (f *Feed) readsStoreFirst() bool { return f.isRelay() || len(f.orderedProviders()) == 0 }

// hasState reports whether the process has a complete state of at least minRevision. A
// sidecar can serve without a host list, an entry can't.
func (f *Feed) hasState(minRevision core.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	hostsEnough := f.latest.hostsKnown || f.opts.Role != fleet.RoleEntry
	return f.latest.config != nil && f.latest.Revision >= minRevision && hostsEnough
}

// pullFromEntries pulls the state from several entries and returns how many responded.
// If the revision in force is known, it stops as soon as the process has it.
func (f *Feed) pullFromEntries(ctx context.Context, minRevision core.Revision, headKnown bool) int {
	responses := 0
	for i, host := range f.orderedProviders() {
		if i == maxEntriesTried || responses == maxEntryResponses || headKnown && f.hasState(minRevision) {
			break
		}
		if f.pull(ctx, host) == nil {
			responses++
		}
	}
	return responses
}

// pull receives the current state of an entry once. The entry's first heartbeat marks
// the end of that state.
func (f *Feed) pull(ctx context.Context, host fleet.Host) error {
	r := &receiver{feed: f, host: host, onHeartbeat: func(int) error { return errComplete }}
	err := r.run(ctx)
	if errors.Is(err, errComplete) {
		return nil
	}
	return err
}
