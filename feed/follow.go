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

// triesBeforeAlone is how many feeds in a row fail before the platform is read
// directly: more than the relays of a zone, far less than all entries.
const triesBeforeAlone = 6

// errBetter ends a receive because a better provider can be asked again.
var errBetter = errors.New("a better provider can be asked")

// follower keeps this process on the feed of one entry after another. A relay
// follows another one too: it learns by it what its own watch doesn't tell.
type follower struct {
	feed *Feed
	// avoided holds the entries whose feeds failed.
	avoided map[string]avoidance
	// suspect holds by zone how many feeds fell silent one after the other, and
	// until when no other entry of the zone is asked for that reason.
	suspect map[string]avoidance
	// failures counts the feeds that failed since the last heartbeat.
	failures int
}

// silencesOfZone is how many silent entries make a zone suspect: the next one is
// asked elsewhere, since each more would cost another silence limit.
const silencesOfZone = 2

// avoidance is how long an entry is not asked, after so many failures in a row.
type avoidance struct {
	until    time.Time
	failures int
}

// newFollower returns a follower that avoids nobody.
func newFollower(f *Feed) *follower {
	return &follower{feed: f, avoided: map[string]avoidance{}, suspect: map[string]avoidance{}}
}

// follow keeps this process on a feed until ctx ends.
func (f *Feed) follow(ctx context.Context) error {
	w := newFollower(f)
	for ctx.Err() == nil {
		host, found := w.best()
		if !found || w.failures >= triesBeforeAlone {
			w.failures = 0
			w.alone(ctx)
		}
		if found {
			w.followOne(ctx, host)
		}
	}
	return nil
}

// best returns the first entry of the order that is not avoided, if possible in
// a zone that is not suspect.
func (w *follower) best() (fleet.Host, bool) {
	now := time.Now()
	var inSuspectZone *fleet.Host
	order := w.feed.order()
	for i, host := range order {
		switch {
		case now.Before(w.avoided[host.Name].until):
		case now.After(w.suspect[host.Zone].until):
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

// followOne follows host until its feed fails or a better entry can be asked.
func (w *follower) followOne(ctx context.Context, host fleet.Host) {
	f := w.feed
	f.setProvider(host.Name)
	f.meters.switches.add()
	f.log(event.FeedProvider, observe.Fields{"provider": host.Name, "zone": host.Zone,
		"reason": "first of the order that is not avoided", "alternatives": w.alternatives(host)})
	r := &receiver{feed: f, host: host}
	r.beaten = func(beats int) error { return w.beaten(host, beats) }
	err := r.run(ctx)
	if fault.Is(err, fault.Conflict) {
		r = &receiver{feed: f, host: host, full: true, beaten: r.beaten}
		err = r.run(ctx)
	}
	f.setProvider("")
	if ctx.Err() != nil || errors.Is(err, errBetter) || errors.Is(err, errAgain) {
		return
	}
	w.avoid(host, err)
}

// alternatives names the entries behind host and those that are avoided.
func (w *follower) alternatives(host fleet.Host) []string {
	const most = 4
	now := time.Now()
	var names []string
	for _, other := range w.feed.order() {
		if other.Name == host.Name {
			continue
		}
		name := other.Name
		if now.Before(w.avoided[name].until) {
			name += " (avoided)"
		}
		if names = append(names, name); len(names) == most {
			break
		}
	}
	return names
}

// beaten handles a heartbeat of host. From the second on, which come from an
// origin, host is forgiven, and the beat is passed on if this process has none of
// its own. It ends the receive if an entry before host in the order can be asked.
func (w *follower) beaten(host fleet.Host, beats int) error {
	if beats == 1 {
		return nil
	}
	w.failures = 0
	w.feed.direct.Store(false)
	w.feed.lastBeat.Store(time.Now().UnixNano())
	delete(w.avoided, host.Name)
	delete(w.suspect, host.Zone)
	if !w.feed.isOrigin() {
		w.feed.pulse.send()
	}
	if best, found := w.best(); found && best.Name != host.Name {
		return errBetter
	}
	return nil
}

// avoid keeps this process off host for a while.
func (w *follower) avoid(host fleet.Host, err error) {
	f := w.feed
	w.failures++
	if fault.Is(err, fault.DeadlineExceeded) {
		w.suspectZone(host.Zone)
	}
	failures := w.avoided[host.Name].failures + 1
	wait := f.jitter(doubled(f.timing.Avoid, failures-1, f.timing.LongestAvoid))
	w.avoided[host.Name] = avoidance{until: time.Now().Add(wait), failures: failures}
	f.warn(event.FeedProviderLost, observe.Fields{"provider": host.Name, "error": err.Error(), "avoid_ms": wait.Milliseconds()})
}

// suspectZone counts an entry of the zone that fell silent.
func (w *follower) suspectZone(zone string) {
	silences := w.suspect[zone].failures + 1
	suspicion := avoidance{failures: silences}
	if silences >= silencesOfZone {
		wait := doubled(w.feed.timing.Avoid, silences-silencesOfZone, w.feed.timing.LongestAvoid)
		suspicion.until = time.Now().Add(w.feed.jitter(wait))
	}
	w.suspect[zone] = suspicion
}

// alone is called while no entry can be followed. A relay relies on its watches;
// any other process begins to read the platform itself.
func (w *follower) alone(ctx context.Context) {
	f := w.feed
	if !f.isRelay() && !f.direct.Swap(true) {
		f.warn(event.FeedDirect, observe.Fields{"reason": fmt.Sprintf("%d entries known, none can be followed", len(f.order()))})
		f.aloneBegan.send()
	}
	pause(ctx, f.jitter(f.timing.LongestWait))
}

// setProvider notes whose feed is followed.
func (f *Feed) setProvider(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.provider = name
}
