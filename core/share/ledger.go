package share

import "time"

// Durations and rates of a ledger.
const (
	// Grace is how long a permit outlives its request's deadline, to allow for responses
	// in transit and clock drift.
	Grace = time.Second
	// tombstoneTTL is how long the ledger remembers a released permit, so that a delayed
	// request for it is refused.
	tombstoneTTL = 10 * time.Second
	// minHold and maxHold bound the time for which a refused entry must not request
	// permits of the workspace again; refusalRate is the number of refusals per second
	// that a home aims at for one part.
	minHold     = 250 * time.Millisecond
	maxHold     = 5 * time.Second
	refusalRate = 20
	// sweepInterval is the time between two removals of expired permits and tombstones.
	sweepInterval = 10 * time.Second
)

// PermitID identifies a permit. Entries choose it at random.
type PermitID uint64

// AcquireRequest is a request for a permit.
type AcquireRequest struct {
	Workspace string
	// Part is the index of a part of the workspace's bound, and Bound that part's bound.
	Part  int
	Bound int
	// Permit identifies the permit. It is the same in each retry, which makes the request
	// idempotent.
	Permit PermitID
	// TTL is the time after which the permit expires unless it is released.
	TTL time.Duration
	// Running is set if the request is running already, because another home granted
	// it or it was admitted locally. It is then counted even beyond the bound.
	Running bool
}

// AcquireResponse is the response to an AcquireRequest.
type AcquireResponse struct {
	Granted bool
	// Hold is the time for which the entry must not request again if no permit was
	// granted. It grows with the home's rate of refusals.
	Hold time.Duration
}

// Ledger records the permits that a home granted to requests in flight. It is not safe
// for concurrent use.
type Ledger struct {
	parts      map[partKey]*partLedger
	tombstones map[PermitID]time.Time
	lastSweep  time.Time
}

// partKey identifies one part of a workspace's bound.
type partKey struct {
	workspace string
	part      int
}

// partLedger is the ledger of one part.
type partLedger struct {
	// permits maps the granted permits to their expiry times.
	permits map[PermitID]time.Time
	// refusals counts the refusals since windowStart, and lastRefusals those of the
	// window before. A window lasts at least one second.
	windowStart            time.Time
	refusals, lastRefusals int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{parts: make(map[partKey]*partLedger), tombstones: make(map[PermitID]time.Time)}
}

// Acquire grants a permit if the part's bound allows it. A retry of a request gets the
// same permit. A request that arrives after the release of its permit gets none.
func (l *Ledger) Acquire(now time.Time, request AcquireRequest) AcquireResponse {
	l.sweep(now)
	if _, released := l.tombstones[request.Permit]; released {
		return AcquireResponse{}
	}
	p := l.part(partKey{request.Workspace, request.Part})
	_, known := p.permits[request.Permit]
	if !known && !request.Running && p.full(now, request.Bound) {
		return AcquireResponse{Hold: p.refuse(now)}
	}
	p.permits[request.Permit] = now.Add(request.TTL)
	return AcquireResponse{Granted: true}
}

// part returns the ledger of a part, which it creates if there is none.
func (l *Ledger) part(key partKey) *partLedger {
	p, ok := l.parts[key]
	if !ok {
		p = &partLedger{permits: make(map[PermitID]time.Time)}
		l.parts[key] = p
	}
	return p
}

// full reports whether the permits in use reach bound.
func (p *partLedger) full(now time.Time, bound int) bool {
	if len(p.permits) >= bound {
		p.expire(now)
	}
	return len(p.permits) >= bound
}

// refuse counts a refusal and returns the AcquireResponse.Hold for it.
func (p *partLedger) refuse(now time.Time) time.Duration {
	if age := now.Sub(p.windowStart); age >= time.Second {
		p.lastRefusals = 0
		if age < 2*time.Second {
			p.lastRefusals = p.refusals
		}
		p.windowStart, p.refusals = now, 0
	}
	p.refusals++
	hold := time.Duration(max(p.lastRefusals, p.refusals)) * time.Second / refusalRate
	return min(max(hold, minHold), maxHold)
}

// Release releases a permit. It is idempotent, and it may arrive before the request
// for the permit, which then gets none.
func (l *Ledger) Release(now time.Time, workspace string, part int, permit PermitID) {
	if p, ok := l.parts[partKey{workspace, part}]; ok {
		delete(p.permits, permit)
	}
	l.tombstones[permit] = now.Add(tombstoneTTL)
	l.sweep(now)
}

// Permits returns the number of granted permits, including those that have expired but
// are not removed yet.
func (l *Ledger) Permits() int {
	count := 0
	for _, p := range l.parts {
		count += len(p.permits)
	}
	return count
}

// expire removes the expired permits.
func (p *partLedger) expire(now time.Time) {
	for permit, end := range p.permits {
		if !now.Before(end) {
			delete(p.permits, permit)
		}
	}
}

// sweep removes expired permits and tombstones, at most once in sweepInterval.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for key, p := range l.parts {
		p.expire(now)
		if len(p.permits) == 0 {
			delete(l.parts, key)
		}
	}
	for permit, end := range l.tombstones {
		if !now.Before(end) {
			delete(l.tombstones, permit)
		}
	}
}
