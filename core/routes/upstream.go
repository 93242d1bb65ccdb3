package routes

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// Upstream is one running upstream, as discovery last reported it.
type Upstream struct {
	// ID identifies the upstream. It is sent with each request, so that a process that takes
	// over the address does not run requests meant for this upstream.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Region is the region of its zone, empty if unknown.
	Region string
	Slots  int
	// Version is the version of its software, empty if its entry does not say. What two versions write does
	// not fit together.
	Version string
	// Leaving is set while the upstream reports that it leaves: it gets no new work.
	Leaving bool
	// BackoffUntil is the time before which this process sends the upstream no new work, as the
	// upstream rejected a request and asked for a backoff; the zero time if it did not.
	BackoffUntil time.Time
	// Evacuated is set while its availability zone is evacuated: it gets no new work.
	Evacuated bool
	// Incarnation is the number of the incarnation, which distinguishes the runs of an upstream
	// with one ID: a later run has a higher number. It is the start time in Unix milliseconds, 0 if
	// unknown.
	Incarnation int64
	// Cold is for how much longer the upstream reported that it is cold after its start. A cold
	// upstream takes only a few requests a second.
	Cold time.Duration
	// ColdUntil is the time, by this process's clock, at which Cold has passed.
	ColdUntil time.Time
	// EvacuationEnded is when the last evacuation of its zone ended; the zero time if there was
	// none.
	EvacuationEnded time.Time
}

// reportDelay is how long after the end of a zone's evacuation this process may not yet know
// that an upstream there is cold: the time of a heartbeat of the upstream, a call of the store
// and the network delays.
const reportDelay = 2500 * time.Millisecond

// IsCold reports whether an upstream must be assumed to be cold, where coldStart is how
// long the upstreams of its service are cold after they have started. An upstream in a zone whose
// evacuation just ended may be cold before this process receives a report of it.
func (u Upstream) IsCold(coldStart time.Duration, now time.Time) bool {
	if now.Before(u.ColdUntil) {
		return true
	}
	return !u.EvacuationEnded.IsZero() && now.Before(u.EvacuationEnded.Add(coldStart+reportDelay))
}

// Eligible reports whether an upstream takes new work, now or once its backoff has ended.
func (u Upstream) Eligible() bool { return !u.Leaving && !u.Evacuated }

// TakesWork reports whether an upstream takes new work now.
func (u Upstream) TakesWork(now time.Time) bool { return u.Eligible() && !now.Before(u.BackoffUntil) }

// Upstreams is an immutable snapshot of all upstreams.
type Upstreams struct {
	byService map[string][]Upstream
	byID      map[string]Upstream
	byAddress map[string]Upstream
}

// NewUpstreams returns a snapshot. The upstreams of a service are in the order of
// their IDs.
func NewUpstreams(list []Upstream) *Upstreams {
	u := &Upstreams{byService: make(map[string][]Upstream), byID: make(map[string]Upstream, len(list)), byAddress: make(map[string]Upstream, len(list))}
	for _, upstream := range list {
		u.byService[upstream.Service] = append(u.byService[upstream.Service], upstream)
		u.byID[upstream.ID] = upstream
		u.byAddress[upstream.Address] = upstream
	}
	for _, ofService := range u.byService {
		sort.Slice(ofService, func(i, j int) bool { return ofService[i].ID < ofService[j].ID })
	}
	return u
}

// Of returns the upstreams of a service, leaving ones included. The caller must
// not change the slice.
func (u *Upstreams) Of(service string) []Upstream { return u.byService[service] }

// Versions returns the distinct software versions of the upstreams of a service, sorted.
func (u *Upstreams) Versions(service string) []string {
	var versions []string
	for _, upstream := range u.byService[service] {
		if !slices.Contains(versions, upstream.Version) {
			versions = append(versions, upstream.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Evacuated reports whether a service has upstreams and all of them are in evacuated zones, so
// that its work can't be done until the evacuation of a zone ends.
func (u *Upstreams) Evacuated(service string) bool {
	list := u.byService[service]
	for _, upstream := range list {
		if !upstream.Evacuated {
			return false
		}
	}
	return len(list) > 0
}

// AvailableAt returns when the first upstream of a service takes work: now, unless all eligible
// upstreams are backed off.
func (u *Upstreams) AvailableAt(service string, now time.Time) time.Time {
	return AvailableAt(slices.Values(u.byService[service]), now)
}

// AvailableAt returns when the first of some upstreams takes work: now, unless all eligible
// upstreams are backed off.
func AvailableAt(upstreams iter.Seq[Upstream], now time.Time) time.Time {
	first := now
	for upstream := range upstreams {
		switch {
		case upstream.TakesWork(now):
			return now
		case upstream.Eligible() && (first.Equal(now) || upstream.BackoffUntil.Before(first)):
			first = upstream.BackoffUntil
		}
	}
	return first
}

// Knows reports whether there is an upstream with an ID.
func (u *Upstreams) Knows(id string) bool {
	_, known := u.byID[id]
	return known
}

// Find returns the upstream with an ID, and false if there is none.
func (u *Upstreams) Find(id string) (Upstream, bool) {
	upstream, known := u.byID[id]
	return upstream, known
}

// StillTakesWork reports whether an upstream that was chosen from an earlier snapshot takes new work, and
// has not been replaced by another incarnation or software version.
func (u *Upstreams) StillTakesWork(chosen Upstream, now time.Time) bool {
	current, known := u.byID[chosen.ID]
	return known && current.Incarnation == chosen.Incarnation && current.Version == chosen.Version && current.TakesWork(now)
}

// Each calls visit for each upstream, in no order.
func (u *Upstreams) Each(visit func(Upstream)) {
	for _, upstream := range u.byID {
		visit(upstream)
	}
}

// ZoneOf returns the availability zone of the upstream at an address, empty if there
// is none.
func (u *Upstreams) ZoneOf(address string) string { return u.byAddress[address].Zone }

// At returns the upstream at an address, and false if there is none.
func (u *Upstreams) At(address string) (Upstream, bool) {
	upstream, known := u.byAddress[address]
	return upstream, known
}

// IDOf returns the ID of the upstream at an address, empty if there is none.
func (u *Upstreams) IDOf(address string) string { return u.byAddress[address].ID }
