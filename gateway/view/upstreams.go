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

// upstreamReceiver receives the entries of upstreams in the store.
type upstreamReceiver struct {
	view *View

	mu sync.Mutex
	// listed is set once the entries were listed.
	listed bool
	known  map[string]routes.Upstream
	// evacuated holds the evacuated zones; nil until they are known.
	evacuated map[string]bool
	// evacuationEnded holds the time at which each zone's last evacuation ended.
	evacuationEnded map[string]time.Time
	// reports holds what upstreams reported to this process directly, by incarnation.
	reports map[incarnation]report
	// departures knows which upstreams left before the store returned from an older copy.
	departures departures
	// unlogged holds the events of changes that publish has not made current yet.
	unlogged pendingEvents
}

// incarnation identifies one run of an upstream by the upstream's ID and start time.
type incarnation struct {
	id      string
	started int64
}

// incarnationOf returns the incarnation of an upstream.
func incarnationOf(upstream routes.Upstream) incarnation {
	return incarnation{id: upstream.ID, started: upstream.Incarnation}
}

// report is what an incarnation of an upstream has reported to this process.
type report struct {
	leaving      bool
	backoffUntil time.Time
	// updated is the time of the last report.
	updated time.Time
}

// reportTTL is how long a report is kept while there is no entry of its incarnation. A store in
// trouble that drops an entry restores it within seconds; an incarnation that has reported that it
// is leaving ends within reportTTL.
const reportTTL = 10 * time.Minute

// newUpstreamReceiver returns a receiver that knows no upstream.
func newUpstreamReceiver(v *View) *upstreamReceiver {
	r := &upstreamReceiver{
		view:            v,
		known:           make(map[string]routes.Upstream),
		evacuationEnded: make(map[string]time.Time),
		reports:         make(map[incarnation]report),
		departures:      newDepartures(),
	}
	if !v.options.Store.Evacuations {
		r.evacuated = make(map[string]bool)
	}
	return r
}

// setEvacuated replaces the evacuated zones.
func (r *upstreamReceiver) setEvacuated(zones map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for zone := range r.evacuated {
		if !zones[zone] {
			r.evacuationEnded[zone] = time.Now()
		}
	}
	r.evacuated = zones
	r.publish()
}

// UpstreamReport is what an upstream reports about itself in a response to this process.
type UpstreamReport struct {
	// Upstream is the upstream as it was when the request was sent to it.
	Upstream routes.Upstream
	// Request is the ID of the request, empty for a stage call.
	Request string
	// Leaving is set if the upstream accepts no new requests.
	Leaving bool
	// Backoff is the backoff that the upstream requests, 0 if it requests none.
	Backoff time.Duration
}

// RecordUpstreamReport records an upstream's report. A report reaches this process sooner than the
// upstream's entry in the store, which can't be updated while the store is down.
func (v *View) RecordUpstreamReport(received UpstreamReport) {
	if received.Leaving || received.Backoff > 0 {
		v.upstreamEntries.recordReport(received, time.Now())
	}
}

// entryRestoreTime is the time within which discovery has restored the entries of upstreams that run
// after an outage of the store, or after its return from an older copy.
const entryRestoreTime = 3 * time.Second

// ListsAll reports whether discovery lists all upstreams that run, as far as this process can know: after an outage of
// the store, entries may be missing for a while.
func (v *View) ListsAll() bool { return v.proof.unbrokenFor(entryRestoreTime) }

// Leaves reports whether an incarnation of an upstream has announced that it leaves, or is no longer in
// discovery. It returns false if its entry may only be missing because of an outage of the store, or
// another incarnation has taken the entry over.
func (v *View) Leaves(upstream routes.Upstream) bool {
	current, known := v.Upstreams().Find(upstream.ID)
	switch {
	case !known:
		return v.proof.unbrokenFor(entryRestoreTime)
	case current.Incarnation == upstream.Incarnation:
		return current.Leaving
	default:
		return false
	}
}

// recordReport records a report. Of several backoffs, the one that ends last applies.
func (r *upstreamReceiver) recordReport(received UpstreamReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := incarnationOf(received.Upstream)
	before := r.reports[key]
	after := report{leaving: before.leaving || received.Leaving, backoffUntil: before.backoffUntil, updated: now}
	if until := now.Add(received.Backoff); received.Backoff > 0 && until.After(before.backoffUntil) {
		after.backoffUntil = until
	}
	r.reports[key] = after
	if after.leaving == before.leaving && after.backoffUntil.Equal(before.backoffUntil) {
		return
	}
	r.unlogged.add(event.UpstreamBackoff, observe.Fields{"upstream": received.Upstream.ID, "service": received.Upstream.Service,
		"request": received.Request, "leaving": received.Leaving, "retry_after_ms": received.Backoff.Milliseconds()})
	r.publish()
}

// reportOf returns what an upstream's incarnation reported. r.mu must be held.
func (r *upstreamReceiver) reportOf(upstream routes.Upstream) report {
	return r.reports[incarnationOf(upstream)]
}

// dropExpiredReports drops reports older than reportTTL of incarnations that have no entry.
// r.mu must be held.
func (r *upstreamReceiver) dropExpiredReports(now time.Time) {
	for key, old := range r.reports {
		upstream, known := r.known[key.id]
		if (!known || upstream.Incarnation != key.started) && now.Sub(old.updated) > reportTTL {
			delete(r.reports, key)
		}
	}
}

// countIn returns the number of upstreams in a zone.
func (r *upstreamReceiver) countIn(zone string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, upstream := range r.known {
		if upstream.Zone == zone {
			count++
		}
	}
	return count
}

// Reset implements Receiver.
func (r *upstreamReceiver) Reset(objects []replica.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
	before := r.known
	r.known = make(map[string]routes.Upstream, len(objects))
	if r.departures.list(objects) {
		r.keepLaterIncarnations(objects, before)
	}
	for _, object := range objects {
		r.update(object)
	}
	for id, upstream := range before {
		if _, present := r.known[id]; !present {
			r.gone(upstream)
		}
	}
	r.publish()
}

// keepLaterIncarnations keeps the known upstreams of which the first list after the store returned from a
// copy has an earlier incarnation. That one has ended. r.mu must be held.
func (r *upstreamReceiver) keepLaterIncarnations(listed []replica.Object, known map[string]routes.Upstream) {
	for _, object := range listed {
		upstream, err := document.Upstream(object.Name, object.Spec)
		if old := known[object.Name]; err == nil && old.Incarnation > upstream.Incarnation {
			r.known[old.ID] = old
		}
	}
}

// Apply implements Receiver.
func (r *upstreamReceiver) Apply(changes []replica.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range changes {
		if !change.Deleted {
			r.update(change.Object)
			continue
		}
		if upstream, known := r.known[change.Object.Name]; known {
			delete(r.known, change.Object.Name)
			r.gone(upstream)
		}
	}
	r.publish()
}

// update decodes an entry and records the upstream. An unreadable entry removes the upstream. A
// late entry of an earlier incarnation does not replace that of a later one.
func (r *upstreamReceiver) update(object replica.Object) {
	upstream, err := document.Upstream(object.Name, object.Spec)
	if err != nil {
		r.view.options.Logger.Warn(event.UpstreamUnreadable, observe.Fields{"upstream": object.Name, "revision": object.Revision, "error": err.Error()})
		delete(r.known, object.Name)
		return
	}
	old, known := r.known[upstream.ID]
	if known && old.Incarnation > upstream.Incarnation {
		r.view.options.Logger.Warn(event.UpstreamEntryStale, observe.Fields{"upstream": object.Name, "revision": object.Revision,
			"born": upstream.Incarnation, "known_born": old.Incarnation})
		return
	}
	upstream.Region = r.view.options.Regions[upstream.Zone]
	if upstream.Cold > 0 {
		upstream.ColdUntil = time.Now().Add(upstream.Cold)
	}
	r.known[upstream.ID] = upstream
	r.checkHold(upstream, object.Revision)
	if !known || old.Leaving != upstream.Leaving || old.Incarnation != upstream.Incarnation || old.Cold == 0 && upstream.Cold > 0 || old.Version != upstream.Version {
		r.unlogged.add(event.UpstreamChanged, observe.Fields{
			"upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address,
			"software": upstream.Version, "leaving": upstream.Leaving, "born": upstream.Incarnation, "cold_ms": upstream.Cold.Milliseconds(), "revision": object.Revision})
	}
}

// gone records that an upstream's entry was removed.
func (r *upstreamReceiver) gone(upstream routes.Upstream) {
	r.departures.recordRemoval(upstream, time.Now())
	r.unlogged.add(event.UpstreamGone, observe.Fields{"upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address})
}

// publish makes the known upstreams, merged with their reports, the current snapshot, and logs the
// changes. There is no snapshot until the evacuated zones are known, so that a starting process
// sends nothing to these zones. r.mu must be held.
func (r *upstreamReceiver) publish() {
	defer r.unlogged.log(r.view.options.Logger)
	if !r.listed || r.evacuated == nil {
		return
	}
	r.dropExpiredReports(time.Now())
	list := make([]routes.Upstream, 0, len(r.known))
	for _, upstream := range r.known {
		reported := r.reportOf(upstream)
		upstream.Leaving = upstream.Leaving || reported.leaving || r.departures.holds(upstream)
		upstream.BackoffUntil = reported.backoffUntil
		upstream.Evacuated = r.evacuated[upstream.Zone]
		upstream.EvacuationEnded = r.evacuationEnded[upstream.Zone]
		list = append(list, upstream)
	}
	r.view.upstreams.Store(routes.NewUpstreams(list))
	r.view.notifyChange()
}
