// Package deployment describes which processes a trial runs: zones, entries,
// services with their workers, and stage pools. It holds the two deployments of
// the project's users.
package deployment

import (
	"fmt"
	"slices"

	"acaciawinch/core/config"
)

// Group is the workers of one service or stage pool.
type Group struct {
	Service string
	Kind    config.StageKind
	Workers int
	// Capacity is how many calls one worker runs at once.
	Capacity int
	// ServiceMS is the time of one call of a pool or service, in milliseconds.
	ServiceMS float64
	// TokenMS and FirstMS are an engine's times of one step of a batch of one and
	// of one uncached prompt, in milliseconds.
	TokenMS float64
	FirstMS float64
	// BatchSlope is the part of TokenMS that each further batch member adds.
	BatchSlope float64
	// Spread is the part of ServiceMS and FirstMS that varies from call to call.
	Spread float64
	// Shared lets all sides of the group stand before one worker process, for trials
	// of many processes without load.
	Shared bool
	// IgnoreFencing makes the engines obey orders with old fencing numbers.
	IgnoreFencing bool
	// Models are loaded from the start, as "model@version".
	Models []string
}

// Deployment is what runs.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	// Regions are the regions of the zones, if they are not all in Region.
	Regions []string
	// Entries is how many entry processes run.
	Entries int
	Groups  []Group
}

// Upstream is one worker with its place.
type Upstream struct {
	Name  string
	Zone  string
	Group Group
}

// Entry is one entry with its place.
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

// Upstreams returns the workers of all groups. Each group is spread over the
// zones in turn.
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

// EntryList returns the entries, spread over the zones in turn.
func (d Deployment) EntryList() []Entry {
	all := make([]Entry, d.Entries)
	for i := range all {
		all[i] = Entry{Name: fmt.Sprintf("entry-%d", i+1), Zone: d.Zones[i%len(d.Zones)]}
	}
	return all
}
