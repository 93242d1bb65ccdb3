package view

import (
	"sync"
	"time"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// evacuationReceiver receives the operator's requests to evacuate zones. An object is named
// after its zone; a name that is no zone's has no effect.
type evacuationReceiver struct {
	view      *View
	upstreams *upstreamReceiver

	mu sync.Mutex
	// since holds, by zone, the boot time at which this process learned of the evacuation.
	since map[string]time.Duration
	// unlisted is set from the beginning of an era of the store to its first list.
	unlisted bool
	// kept holds the zones whose evacuation the store has forgotten, and until when it stays in force.
	kept map[string]time.Time
	// unlogged holds the events of changes that publish has not passed on yet.
	unlogged pendingEvents
}

// newEvacuationReceiver returns a receiver that knows no evacuation and passes the evacuated zones
// on to upstreams.
func newEvacuationReceiver(v *View, upstreams *upstreamReceiver) *evacuationReceiver {
	return &evacuationReceiver{view: v, upstreams: upstreams, since: make(map[string]time.Duration), kept: make(map[string]time.Time)}
}

// Reset implements Receiver.
func (r *evacuationReceiver) Reset(objects []replica.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[string]bool, len(objects))
	for _, object := range objects {
		wanted[object.Name] = true
		r.begin(object)
	}
	if r.unlisted {
		r.unlisted = false
		r.keepForgotten(wanted)
	}
	for zone := range r.since {
		if _, kept := r.kept[zone]; !wanted[zone] && !kept {
			r.end(zone)
		}
	}
	r.publish()
}

// forgottenHold is how long an evacuation stays in force that the store has forgotten: the operator writes it
// again within seconds after the store returned from an older copy.
const forgottenHold = removedHold

// EraChanged implements EraReceiver.
func (r *evacuationReceiver) EraChanged(int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlisted = true
}

// keepForgotten keeps the evacuations that are missing in the first list after the store returned from an
// older copy. r.mu must be held.
func (r *evacuationReceiver) keepForgotten(listed map[string]bool) {
	for zone := range r.since {
		if listed[zone] {
			continue
		}
		r.kept[zone] = time.Now().Add(forgottenHold)
		r.unlogged.add(event.ZoneEvacuationKept, observe.Fields{"zone": zone, "hold_ms": forgottenHold.Milliseconds()})
	}
	if len(r.kept) > 0 {
		time.AfterFunc(forgottenHold, func() { r.endForgotten(time.Now()) })
	}
}

// endForgotten ends the evacuations that were kept long enough.
func (r *evacuationReceiver) endForgotten(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for zone, until := range r.kept {
		if !now.Before(until) {
			r.end(zone)
		}
	}
	r.publish()
}

// Apply implements Receiver.
func (r *evacuationReceiver) Apply(changes []replica.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			r.end(change.Object.Name)
			continue
		}
		r.begin(change.Object)
	}
	r.publish()
}

// begin records an evacuation. r.mu must be held.
func (r *evacuationReceiver) begin(object replica.Object) {
	delete(r.kept, object.Name)
	if _, known := r.since[object.Name]; known {
		return
	}
	r.since[object.Name] = clock.Boot()
	r.unlogged.add(event.ZoneEvacuated, observe.Fields{
		"zone": object.Name, "revision": object.Revision, "upstreams": r.upstreams.countIn(object.Name)})
}

// end records that a zone's evacuation has ended. r.mu must be held.
func (r *evacuationReceiver) end(zone string) {
	since, known := r.since[zone]
	if !known {
		return
	}
	delete(r.since, zone)
	delete(r.kept, zone)
	r.unlogged.add(event.ZoneEvacuationEnded, observe.Fields{
		"zone": zone, "after_ms": (clock.Boot() - since).Milliseconds(), "upstreams": r.upstreams.countIn(zone)})
}

// publish passes the evacuated zones to the upstreams and logs the changes. r.mu must be held.
func (r *evacuationReceiver) publish() {
	zones := make(map[string]bool, len(r.since))
	for zone := range r.since {
		zones[zone] = true
	}
	r.upstreams.setEvacuated(zones)
	r.unlogged.log(r.view.options.Logger)
}

// Evacuation is a zone that the operator evacuates.
type Evacuation struct {
	Zone string
	// Since is the boot time at which this process learned of the evacuation.
	Since time.Duration
}

// Evacuations returns the evacuated zones, in no order.
func (v *View) Evacuations() []Evacuation {
	if v.evacuations == nil {
		return nil
	}
	v.evacuations.mu.Lock()
	defer v.evacuations.mu.Unlock()
	list := make([]Evacuation, 0, len(v.evacuations.since))
	for zone, since := range v.evacuations.since {
		list = append(list, Evacuation{Zone: zone, Since: since})
	}
	return list
}
