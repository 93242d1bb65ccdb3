package view

import (
	"sync"
	"time"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// evacuationFollower takes the operator's wishes that zones be emptied. An object's name is
// the zone's; a name of no zone changes nothing.
type evacuationFollower struct {
	view      *View
	upstreams *upstreamFollower

	mu sync.Mutex
	// since holds the boot times at which evacuations became known, by zone.
	since map[string]time.Duration
}

// newEvacuationFollower returns a follower that knows of no evacuation and tells upstreams of
// those that it learns.
func newEvacuationFollower(v *View, upstreams *upstreamFollower) *evacuationFollower {
	return &evacuationFollower{view: v, upstreams: upstreams, since: make(map[string]time.Duration)}
}

// Reset implements Receiver.
func (f *evacuationFollower) Reset(objects []replica.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(objects))
	for _, object := range objects {
		wanted[object.Name] = true
		f.begin(object)
	}
	for zone := range f.since {
		if !wanted[zone] {
			f.end(zone)
		}
	}
	f.tell()
}

// Apply implements Receiver.
func (f *evacuationFollower) Apply(changes []replica.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			f.end(change.Object.Name)
			continue
		}
		f.begin(change.Object)
	}
	f.tell()
}

// begin notes an evacuation. The lock is held.
func (f *evacuationFollower) begin(object replica.Object) {
	if _, known := f.since[object.Name]; known {
		return
	}
	f.since[object.Name] = clock.Boot()
	f.view.options.Logger.Event(event.ZoneEvacuated, observe.Fields{
		"zone": object.Name, "revision": object.Revision, "upstreams": f.upstreams.countIn(object.Name)})
}

// end notes that a zone was taken back. The lock is held.
func (f *evacuationFollower) end(zone string) {
	since, known := f.since[zone]
	if !known {
		return
	}
	delete(f.since, zone)
	f.view.options.Logger.Event(event.ZoneTakenBack, observe.Fields{
		"zone": zone, "after_ms": (clock.Boot() - since).Milliseconds(), "upstreams": f.upstreams.countIn(zone)})
}

// tell hands the zones on. The lock is held.
func (f *evacuationFollower) tell() {
	zones := make(map[string]bool, len(f.since))
	for zone := range f.since {
		zones[zone] = true
	}
	f.upstreams.setEvacuated(zones)
}

// Evacuation is a zone that is to be emptied.
type Evacuation struct {
	Zone string
	// Since is the boot time at which this process learned of it.
	Since time.Duration
}

// Evacuations returns the zones that are to be emptied, in no order.
func (v *View) Evacuations() []Evacuation {
	if v.zones == nil {
		return nil
	}
	v.zones.mu.Lock()
	defer v.zones.mu.Unlock()
	list := make([]Evacuation, 0, len(v.zones.since))
	for zone, since := range v.zones.since {
		list = append(list, Evacuation{Zone: zone, Since: since})
	}
	return list
}
