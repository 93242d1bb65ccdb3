package routing

import (
	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
)

// Source is the fleet state from which a Picker is built.
type Source struct {
	// Zone and Region are those of the entry.
	Zone, Region string
	Hosts        []fleet.Host
	// Drained reports whether operators have drained an upstream.
	Drained     func(upstream string) bool
	Assignments []placement.Assignment
}

// Picker is an immutable snapshot of the upstreams that may get new work.
type Picker struct {
	zone     string
	services map[string]*group
	assigned map[assignmentKey]*group
	byID     map[core.UpstreamID]Upstream
	excluded int
}

// group is a set of upstreams by tier.
type group struct {
	tiers [tierCount][]Upstream
}

// assignmentKey identifies the engines of a service that are assigned a model version.
type assignmentKey struct {
	service string
	model   Model
}

// NewPicker returns the snapshot of source. Upstreams that are leaving or drained are left
// out, so that they get no new work.
func NewPicker(source Source) *Picker {
	p := &Picker{
		zone:     source.Zone,
		services: make(map[string]*group),
		assigned: make(map[assignmentKey]*group),
		byID:     make(map[core.UpstreamID]Upstream),
	}
	for _, host := range source.Hosts {
		p.addHost(source, host)
	}
	for _, assignment := range source.Assignments {
		p.addAssignment(assignment)
	}
	return p
}

// addHost adds host if it is an upstream that may get new work.
func (p *Picker) addHost(source Source, host fleet.Host) {
	if host.Role != fleet.RoleUpstream {
		return
	}
	if host.Leaving || source.Drained(host.Name) {
		p.excluded++
		return
	}
	upstream := Upstream{
		ID:      core.UpstreamID(host.Name),
		Service: host.Service,
		Addr:    host.Addr,
		Zone:    host.Zone,
		Region:  host.Region,
		Tier:    tierOf(source, host),
		hash:    xxhash.Sum64String(host.Name),
	}
	p.byID[upstream.ID] = upstream
	addTo(p.services, host.Service, upstream)
}

// addAssignment adds an upstream to those that are assigned a model version.
func (p *Picker) addAssignment(assignment placement.Assignment) {
	upstream, ok := p.byID[assignment.Upstream]
	if !ok {
		return
	}
	model := Model{Name: assignment.Model, Version: assignment.Version}
	addTo(p.assigned, assignmentKey{service: upstream.Service, model: model}, upstream)
}

// addTo adds upstream to the group of key.
func addTo[K comparable](groups map[K]*group, key K, upstream Upstream) {
	g, ok := groups[key]
	if !ok {
		g = &group{}
		groups[key] = g
	}
	g.tiers[upstream.Tier] = append(g.tiers[upstream.Tier], upstream)
}

// tierOf returns how near host is to the entry.
func tierOf(source Source, host fleet.Host) Tier {
	switch {
	case host.Zone == source.Zone:
		return OwnZone
	case host.Region == source.Region:
		return OwnRegion
	default:
		return OtherRegion
	}
}

// Len returns how many upstreams may get new work.
func (p *Picker) Len() int { return len(p.byID) }

// Excluded returns how many upstreams are left out as leaving or drained.
func (p *Picker) Excluded() int { return p.excluded }

// Upstream returns the upstream with the given ID.
func (p *Picker) Upstream(id core.UpstreamID) (Upstream, bool) {
	upstream, ok := p.byID[id]
	return upstream, ok
}

// Service returns the upstreams of a service, nearest tier first.
func (p *Picker) Service(service string) []Upstream {
	var all []Upstream
	for _, tier := range p.serviceGroup(service).tiers {
		all = append(all, tier...)
	}
	return all
}

// serviceGroup returns all upstreams of a service.
func (p *Picker) serviceGroup(service string) *group {
	if g, ok := p.services[service]; ok {
		return g
	}
	return &group{}
}

// queryGroup returns the upstreams to try first: for an engine stage those to which the
// placement assigns the model, if there are any, else the whole service. The placement is
// desired state and may be ahead of what the engines have loaded, so the reply to a probe
// takes precedence.
func (p *Picker) queryGroup(q Query) *group {
	if q.Engine {
		if g, ok := p.assigned[assignmentKey{service: q.Service, model: q.Model}]; ok {
			return g
		}
	}
	return p.serviceGroup(q.Service)
}
