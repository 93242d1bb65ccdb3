package view

import (
	"sync"
	"time"

	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/document"
)

// upstreamFollower takes the entries of discovery.
type upstreamFollower struct {
	view *View

	mu sync.Mutex
	// listed is set once the entries were listed.
	listed bool
	known  map[string]routes.Upstream
	// evacuated holds the zones that are to be emptied; nil before they are known.
	evacuated map[string]bool
	// takenBack holds when the last evacuations of zones ended.
	takenBack map[string]time.Time
	// asked holds what upstreams asked of this process themselves, by their starts.
	asked map[start]asked
}

// start names one start of an upstream.
type start struct {
	id   string
	born int64
}

// asked is what a start of an upstream asked of this process.
type asked struct {
	leaving     bool
	pausedUntil time.Time
	// at is when it asked last.
	at time.Time
}

// keepAsked is how long what an upstream asked holds without its entry. An entry that a store in
// trouble drops comes back within seconds; a start that has left serves no longer than that.
const keepAsked = 10 * time.Minute

// newUpstreamFollower returns a follower that knows no upstream.
func newUpstreamFollower(v *View) *upstreamFollower {
	f := &upstreamFollower{view: v, known: make(map[string]routes.Upstream), takenBack: make(map[string]time.Time), asked: make(map[start]asked)}
	if !v.options.Source.Evacuations {
		f.evacuated = make(map[string]bool)
	}
	return f
}

// setEvacuated replaces the zones that are to be emptied.
func (f *upstreamFollower) setEvacuated(zones map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for zone := range f.evacuated {
		if !zones[zone] {
			f.takenBack[zone] = time.Now()
		}
	}
	f.evacuated = zones
	f.publish()
}

// Asked is what an upstream asked of this process in an answer.
type Asked struct {
	// Upstream is who asked, as the request was sent to it.
	Upstream routes.Upstream
	// Request is that of the answer, empty for a stage call.
	Request string
	// Leaving is set if it takes nothing new.
	Leaving bool
	// Pause is for how long it wants nothing, 0 if it did not say.
	Pause time.Duration
}

// UpstreamAsked notes what an upstream asked: it is told sooner here than by discovery, which
// can't tell it while the store is away.
func (v *View) UpstreamAsked(a Asked) {
	if a.Leaving || a.Pause > 0 {
		v.discovered.noteAsked(a, time.Now())
	}
}

// noteAsked takes over what an upstream asked. The longest pause holds.
func (f *upstreamFollower) noteAsked(a Asked, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	of := start{id: a.Upstream.ID, born: a.Upstream.Born}
	before := f.asked[of]
	after := asked{leaving: before.leaving || a.Leaving, pausedUntil: before.pausedUntil, at: now}
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(before.pausedUntil) {
		after.pausedUntil = until
	}
	f.asked[of] = after
	if after.leaving == before.leaving && after.pausedUntil.Equal(before.pausedUntil) {
		return
	}
	f.view.options.Logger.Event(event.UpstreamAsked, observe.Fields{"upstream": a.Upstream.ID, "service": a.Upstream.Service,
		"request": a.Request, "leaving": a.Leaving, "retry_after_ms": a.Pause.Milliseconds()})
	f.publish()
}

// askedOf returns what a start of an upstream asked. The lock is held.
func (f *upstreamFollower) askedOf(upstream routes.Upstream) asked {
	return f.asked[start{id: upstream.ID, born: upstream.Born}]
}

// forgetAsked drops what starts asked that have been gone for long. The lock is held.
func (f *upstreamFollower) forgetAsked(now time.Time) {
	for of, one := range f.asked {
		upstream, known := f.known[of.id]
		if (!known || upstream.Born != of.born) && now.Sub(one.at) > keepAsked {
			delete(f.asked, of)
		}
	}
}

// countIn returns how many upstreams a zone has.
func (f *upstreamFollower) countIn(zone string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, upstream := range f.known {
		if upstream.Zone == zone {
			count++
		}
	}
	return count
}

// Reset implements Receiver.
func (f *upstreamFollower) Reset(objects []replica.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	before := f.known
	f.known = make(map[string]routes.Upstream, len(objects))
	for _, object := range objects {
		f.take(object)
	}
	for id, upstream := range before {
		if _, still := f.known[id]; !still {
			f.gone(upstream)
		}
	}
	f.publish()
}

// Apply implements Receiver.
func (f *upstreamFollower) Apply(changes []replica.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		if !change.Deleted {
			f.take(change.Object)
			continue
		}
		if upstream, known := f.known[change.Object.Name]; known {
			delete(f.known, change.Object.Name)
			f.gone(upstream)
		}
	}
	f.publish()
}

// take decodes an entry. One that can't be read names no upstream to use, and one of an
// earlier start that comes late does not replace that of the later one.
func (f *upstreamFollower) take(object replica.Object) {
	upstream, err := document.Upstream(object.Name, object.Spec)
	if err != nil {
		f.view.options.Logger.Warn(event.UpstreamUnreadable, observe.Fields{"upstream": object.Name, "revision": object.Revision, "error": err.Error()})
		delete(f.known, object.Name)
		return
	}
	old, known := f.known[upstream.ID]
	if known && old.Born > upstream.Born {
		f.view.options.Logger.Warn(event.UpstreamOutdated, observe.Fields{"upstream": object.Name, "revision": object.Revision,
			"born": upstream.Born, "known_born": old.Born})
		return
	}
	upstream.Region = f.view.options.Regions[upstream.Zone]
	if upstream.Cold > 0 {
		upstream.ColdUntil = time.Now().Add(upstream.Cold)
	}
	f.known[upstream.ID] = upstream
	if !known || old.Leaving != upstream.Leaving || old.Born != upstream.Born || old.Cold == 0 && upstream.Cold > 0 {
		f.view.options.Logger.Event(event.UpstreamChanged, observe.Fields{
			"upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address,
			"leaving": upstream.Leaving, "born": upstream.Born, "cold_ms": upstream.Cold.Milliseconds(), "revision": object.Revision})
	}
}

// gone notes an entry that went away.
func (f *upstreamFollower) gone(upstream routes.Upstream) {
	f.view.options.Logger.Event(event.UpstreamGone, observe.Fields{"upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address})
}

// publish makes the known upstreams, with what they asked themselves, the current snapshot. There is none before it is known
// which zones are to be emptied: a process that starts sends nothing there. The lock is held.
func (f *upstreamFollower) publish() {
	if !f.listed || f.evacuated == nil {
		return
	}
	f.forgetAsked(time.Now())
	list := make([]routes.Upstream, 0, len(f.known))
	for _, upstream := range f.known {
		said := f.askedOf(upstream)
		upstream.Leaving = upstream.Leaving || said.leaving
		upstream.PausedUntil = said.pausedUntil
		upstream.Evacuated = f.evacuated[upstream.Zone]
		upstream.TakenBack = f.takenBack[upstream.Zone]
		list = append(list, upstream)
	}
	f.view.upstreams.Store(routes.NewUpstreams(list))
	f.view.changed()
}
