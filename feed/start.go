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
	// peersAsked is how many entries a fresh process asks while the store is down:
	// one alone may have missed the last change.
	peersAsked = 3
	// peersTried is how many entries are tried in one round to find as many.
	peersTried = 6
	// headTimeout bounds the question to the store for the head.
	headTimeout = time.Second
)

// start brings a fresh process to its first state. It returns false if ctx ended.
//
// The store tells by one small read which revision is in force, and the content
// comes from entries, so that a restart of many processes doesn't read all parts
// as many times. If the store doesn't answer, the newest of some entries is
// taken: it can be older than the one in force only if all of them are. If no
// entry answers, the store is read for everything.
func (f *Feed) start(ctx context.Context) bool {
	for failures := 0; ctx.Err() == nil; failures++ {
		if failures > 0 {
			pause(ctx, f.backoff(failures))
		}
		_ = f.readHosts(ctx) // it logs itself, and is read again
		floor, known := f.inForce(ctx)
		if authority, ok := f.gather(ctx, floor, known, failures); ok {
			f.begin(authority)
			return true
		}
	}
	return false
}

// inForce asks the store for the revision in force. Known is false if the store
// gave no answer.
func (f *Feed) inForce(ctx context.Context) (floor core.Revision, known bool) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := f.reader.Head(ctx)
	return head.Revision, err == nil
}

// gather makes one round of questions. It returns who vouches for the state, and
// whether it is enough to begin with.
func (f *Feed) gather(ctx context.Context, floor core.Revision, known bool, failures int) (string, bool) {
	answers := f.askPeers(ctx, floor, known)
	if known && !f.holds(floor) && (failures > 0 || answers == 0 && f.readsFirst()) {
		if err := f.readPlatform(ctx); err != nil && ctx.Err() == nil {
			f.warn(event.FeedReadFailed, observe.Fields{"wanted": floor, "error": err.Error()})
		}
	}
	switch {
	case known && f.holds(floor):
		return "store", true
	case !known && answers > 0 && f.holds(0):
		return "entries", true
	}
	return "", false
}

// readsFirst tells whether this process reads everything from the store in its
// first round already. Relays do; the others give them a moment to load.
func (f *Feed) readsFirst() bool { return f.isRelay() || len(f.order()) == 0 }

// holds tells whether the process has a whole state of at least a revision. A
// side can serve without a host list, an entry can't.
func (f *Feed) holds(floor core.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	hostsEnough := f.held.hostsKnown || f.opts.Role != fleet.RoleEntry
	return f.held.config != nil && f.held.Revision >= floor && hostsEnough
}

// askPeers asks entries for their states and returns how many answered. If the
// revision in force is known, it stops at the first that brings it.
func (f *Feed) askPeers(ctx context.Context, floor core.Revision, known bool) int {
	answers := 0
	for i, host := range f.order() {
		if i == peersTried || answers == peersAsked || known && f.holds(floor) {
			break
		}
		if f.pull(ctx, host) == nil {
			answers++
		}
	}
	return answers
}

// pull takes once what an entry holds. The entry's first heartbeat tells that
// this was all.
func (f *Feed) pull(ctx context.Context, host fleet.Host) error {
	r := &receiver{feed: f, host: host, beaten: func(int) error { return errEnough }}
	err := r.run(ctx)
	if errors.Is(err, errEnough) {
		return nil
	}
	return err
}
