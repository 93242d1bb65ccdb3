package routes

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// Upstream is one running back end as discovery last told of it.
type Upstream struct {
	// ID names the upstream; it is sent along so that whoever has the address later does
	// not run the request.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Region is that of its zone, empty if it isn't known.
	Region string
	Slots  int
	// Leaving upstreams get no new work.
	Leaving bool
	// PausedUntil is until when the upstream, which turned a request away, wants nothing from
	// this process; the zero time if it did not ask for that.
	PausedUntil time.Time
	// Evacuated upstreams get no new work either: their availability zone is to be emptied.
	Evacuated bool
	// Born tells two starts under one ID apart: the later one has the higher number. It
	// is the Unix millisecond of the start, 0 if that isn't known.
	Born int64
	// Cold is how much longer the upstream said it is cold after its start: it takes few
	// requests a second then.
	Cold time.Duration
	// ColdUntil is when it is warm by that, by this process's clock.
	ColdUntil time.Time
	// TakenBack is when the last evacuation of its zone ended; the zero time if there was none.
	TakenBack time.Time
}

// wordDelay is how long after a zone's evacuation its upstreams may be cold without this
// process having heard of it: a heartbeat of theirs, a call of the store and the ways.
const wordDelay = 2500 * time.Millisecond

// IsCold tells whether an upstream must be taken for cold, given how long those of its
// service are after a start. In a zone that was just taken back it may have become cold
// unheard.
func (u Upstream) IsCold(start time.Duration, now time.Time) bool {
	if now.Before(u.ColdUntil) {
		return true
	}
	return !u.TakenBack.IsZero() && now.Before(u.TakenBack.Add(start+wordDelay))
}

// Stays tells whether an upstream gets new work at some time.
func (u Upstream) Stays() bool { return !u.Leaving && !u.Evacuated }

// TakesWork tells whether an upstream may get new work now.
func (u Upstream) TakesWork(now time.Time) bool { return u.Stays() && !now.Before(u.PausedUntil) }

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

// Evacuated tells whether all upstreams of a service are in zones that are to be emptied, so
// that its work can be done nowhere until one is taken back.
func (u *Upstreams) Evacuated(service string) bool {
	list := u.byService[service]
	for _, upstream := range list {
		if !upstream.Evacuated {
			return false
		}
	}
	return len(list) > 0
}

// Opens returns when the first upstream of a service takes work, which is now unless all that
// stay have asked for a pause.
func (u *Upstreams) Opens(service string, now time.Time) time.Time {
	return Opens(slices.Values(u.byService[service]), now)
}

// Opens returns when the first of some upstreams takes work, which is now unless all that stay have
// asked for a pause.
func Opens(upstreams iter.Seq[Upstream], now time.Time) time.Time {
	first := now
	for upstream := range upstreams {
		switch {
		case upstream.TakesWork(now):
			return now
		case upstream.Stays() && (first.Equal(now) || upstream.PausedUntil.Before(first)):
			first = upstream.PausedUntil
		}
	}
	return first
}

// Knows tells whether there is an upstream with an ID.
func (u *Upstreams) Knows(id string) bool {
	_, known := u.byID[id]
	return known
}

// Find returns the upstream with an ID, and false if there is none.
func (u *Upstreams) Find(id string) (Upstream, bool) {
	upstream, known := u.byID[id]
	return upstream, known
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

// IDOf returns the ID of the upstream at an address, empty if there is none.
func (u *Upstreams) IDOf(address string) string { return u.byAddress[address].ID }
