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
}

// newUpstreamFollower returns a follower that knows no upstream.
func newUpstreamFollower(v *View) *upstreamFollower {
	f := &upstreamFollower{view: v, known: make(map[string]routes.Upstream), takenBack: make(map[string]time.Time)}
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

// publish makes the known upstreams the current snapshot. There is none before it is known
// which zones are to be emptied: a process that starts sends nothing there. The lock is held.
func (f *upstreamFollower) publish() {
	if !f.listed || f.evacuated == nil {
		return
	}
	list := make([]routes.Upstream, 0, len(f.known))
	for _, upstream := range f.known {
		upstream.Evacuated = f.evacuated[upstream.Zone]
		upstream.TakenBack = f.takenBack[upstream.Zone]
		list = append(list, upstream)
	}
	f.view.upstreams.Store(routes.NewUpstreams(list))
	f.view.changed()
}
