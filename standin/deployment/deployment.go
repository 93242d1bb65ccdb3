// Package deployment describes the processes of a trial: zones, entries (the
// gateway processes that serve callers), services with their workers, and stage
// pools. It also defines the deployments of the project's two users.
package deployment

import (
	"fmt"
	"slices"

	"acaciawinch/core/config"
)

// Group describes the workers of one service or stage pool.
type Group struct {
	Service string
	Kind    config.StageKind
	Workers int
	// Capacity is the number of calls that one worker runs concurrently.
	Capacity int
	// ServiceMS is the duration of one call to a pool or service, in milliseconds.
	ServiceMS float64
	// TokenMS is the time an engine takes for one decoding step with a batch of one,
	// and FirstMS the time it takes for an uncached prompt, in milliseconds.
	TokenMS float64
	FirstMS float64
	// BatchSlope is the fraction of TokenMS that each further batch member adds to a
	// step.
	BatchSlope float64
	// Spread is the fraction of ServiceMS and FirstMS that varies between calls.
	Spread float64
	// Shared makes all sidecars of the group use one worker process, for trials with
	// many processes and no load.
	Shared bool
	// IgnoreFencing makes the engines obey orders with stale fencing tokens.
	IgnoreFencing bool
	// Models lists the models that are loaded at startup, as "model@version".
	Models []string
}

// Deployment describes all processes of a trial and their zones.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	// Regions holds the region of each zone by index; zones beyond its length are in
	// Region.
	Regions []string
	// Entries is the number of entry processes.
	Entries int
	Groups  []Group
}

// Upstream is one worker and its zone.
type Upstream struct {
	Name  string
	Zone  string
	Group Group
}

// Entry is one entry process and its zone.
type Entry struct {
	Name string
	Zone string
}

// RegionOf returns the region of a zone.
func (d Deployment) RegionOf(zone string) string {
	if i := slices.Index(d.Zones, zone); i >= 0 && i < len(d.Regions) {
		return d.Regions[i]
	}
	return d.Region
}

// Upstreams returns the workers of all groups. The workers of each group are
// assigned to the zones round robin.
func (d Deployment) Upstreams() []Upstream {
	var all []Upstream
	for _, group := range d.Groups {
		for i := range group.Workers {
			all = append(all, Upstream{
				Name:  fmt.Sprintf("%s-%d", group.Service, i+1),
				Zone:  d.Zones[i%len(d.Zones)],
				Group: group,
			})
		}
	}
	return all
}

// EntryList returns the entries, assigned to the zones round robin.
func (d Deployment) EntryList() []Entry {
	all := make([]Entry, d.Entries)
	for i := range all {
		all[i] = Entry{Name: fmt.Sprintf("entry-%d", i+1), Zone: d.Zones[i%len(d.Zones)]}
	}
	return all
}
