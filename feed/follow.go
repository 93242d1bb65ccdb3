package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// failuresBeforeDirect is how many feeds in a row fail before the platform is read
// directly: more than the relays of a zone, far fewer than all entries.
const failuresBeforeDirect = 6

// errBetterProvider ends a subscription because a better provider can be followed.
var errBetterProvider = errors.New("a better provider is available")

// follower keeps this process subscribed to the feed of one entry after another. A
// relay follows another entry too: the feed may deliver what its own watch does not.
type follower struct {
	feed *Feed
	// avoided holds the entries whose feeds failed.
	avoided map[string]avoidance
	// suspectZones holds by zone how many of its feeds fell silent since the zone's last
	// heartbeat, and until when entries of other zones are preferred because of it.
	suspectZones map[string]avoidance
	// failures counts the feeds that failed since the last heartbeat.
	failures int
}

// silencesBeforeSuspect is how many silent entries make a zone suspect. The next
// entry is chosen in another zone, since each further silent one would cost another
// silence timeout.
const silencesBeforeSuspect = 2

// avoidance is the time until which an entry or zone is avoided, after a number of
// consecutive failures.
type avoidance struct {
	until    time.Time
	failures int
}

// newFollower returns a follower that avoids no entry.
func newFollower(f *Feed) *follower {
	return &follower{feed: f, avoided: map[string]avoidance{}, suspectZones: map[string]avoidance{}}
}

// follow keeps this process subscribed to a feed until ctx ends.
func (f *Feed) follow(ctx context.Context) error {
	w := newFollower(f)
	for ctx.Err() == nil {
		host, found := w.best()
		if !found || w.failures >= failuresBeforeDirect {
			w.failures = 0
			w.startDirectReads(ctx)
		}
		if found {
			w.followProvider(ctx, host)
		}
	}
	return nil
}

// best returns the first of orderedProviders that is not avoided. Entries of suspect
// zones are chosen only if there is no other.
func (w *follower) best() (fleet.Host, bool) {
	now := time.Now()
	var inSuspectZone *fleet.Host
	order := w.feed.orderedProviders()
	for i, host := range order {
		switch {
		case now.Before(w.avoided[host.Name].until):
		case now.After(w.suspectZones[host.Zone].until):
			return host, true
		case inSuspectZone == nil:
			inSuspectZone = &order[i]
		}
	}
	if inSuspectZone != nil {
		return *inSuspectZone, true
	}
	return fleet.Host{}, false
}

// followProvider follows host until its feed fails or a better entry can be followed.
func (w *follower) followProvider(ctx context.Context, host fleet.Host) {
	f := w.feed
	f.setProvider(host.Name)
	f.meters.switches.add()
	f.log(event.FeedProvider, observe.Fields{"provider": host.Name, "zone": host.Zone,
		"reason": "first of the order that is not avoided", "alternatives": w.alternatives(host)})
	r := &receiver{feed: f, host: host}
	r.onHeartbeat = func(heartbeats int) error { return w.onHeartbeat(host, heartbeats) }
	err := r.run(ctx)
	if fault.Is(err, fault.Conflict) {
		r = &receiver{feed: f, host: host, full: true, onHeartbeat: r.onHeartbeat}
		err = r.run(ctx)
	}
	f.setProvider("")
	if ctx.Err() != nil || errors.Is(err, errBetterProvider) || errors.Is(err, errStaleBase) {
		return
	}
	w.avoid(host, err)
}

// alternatives returns the names of other entries that could be followed, in order of
// preference, and marks the avoided ones.
func (w *follower) alternatives(host fleet.Host) []string {
	const maxNames = 4
	now := time.Now()
	var names []string
	for _, other := range w.feed.orderedProviders() {
		if other.Name == host.Name {
			continue
		}
		name := other.Name
		if now.Before(w.avoided[name].until) {
			name += " (avoided)"
		}
		if names = append(names, name); len(names) == maxNames {
			break
		}
	}
	return names
}

// onHeartbeat handles a heartbeat of host. The first one only marks the end of host's
// current state; all others come from an origin. They clear the failures of host and
// its zone, and are forwarded if this process sends no heartbeats of its own. An error
// ends the subscription because an entry before host in the order can be followed.
func (w *follower) onHeartbeat(host fleet.Host, heartbeats int) error {
	if heartbeats == 1 {
		return nil
	}
	w.failures = 0
	w.feed.direct.Store(false)
	w.feed.lastHeartbeat.Store(time.Now().UnixNano())
	delete(w.avoided, host.Name)
	delete(w.suspectZones, host.Zone)
	if !w.feed.isOrigin() {
		w.feed.heartbeat.send()
	}
	if best, found := w.best(); found && best.Name != host.Name {
		return errBetterProvider
	}
	return nil
}

// avoid records a failure of host, which is then not chosen for a while.
func (w *follower) avoid(host fleet.Host, err error) {
	f := w.feed
	w.failures++
	if fault.Is(err, fault.DeadlineExceeded) {
		w.suspectZone(host.Zone)
	}
	failures := w.avoided[host.Name].failures + 1
	wait := f.jitter(doubled(f.timing.MinAvoidance, failures-1, f.timing.MaxAvoidance))
	w.avoided[host.Name] = avoidance{until: time.Now().Add(wait), failures: failures}
	f.warn(event.FeedProviderLost, observe.Fields{"provider": host.Name, "error": err.Error(), "avoid_ms": wait.Milliseconds()})
}

// suspectZone counts a silent entry of the zone, and makes the zone suspect from
// silencesBeforeSuspect on.
func (w *follower) suspectZone(zone string) {
	silences := w.suspectZones[zone].failures + 1
	avoided := avoidance{failures: silences}
	if silences >= silencesBeforeSuspect {
		wait := doubled(w.feed.timing.MinAvoidance, silences-silencesBeforeSuspect, w.feed.timing.MaxAvoidance)
		avoided.until = time.Now().Add(w.feed.jitter(wait))
	}
	w.suspectZones[zone] = avoided
}

// startDirectReads is called while no entry can be followed. A relay relies on its
// watches; any other process starts to read the platform itself. Both wait before the
// next attempt.
func (w *follower) startDirectReads(ctx context.Context) {
	f := w.feed
	if !f.isRelay() && !f.direct.Swap(true) {
		f.warn(event.FeedDirect, observe.Fields{"reason": fmt.Sprintf("%d entries known, none can be followed", len(f.orderedProviders()))})
		f.directBegan.send()
	}
	sleep(ctx, f.jitter(f.timing.MaxBackoff))
}

// setProvider records whose feed is followed.
func (f *Feed) setProvider(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.provider = name
}
