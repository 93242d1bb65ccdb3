package share

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/fleet"
)

// Size of the parts into which a bound is divided, so that no home has to answer
// for all requests of a busy workspace, and each region has a part of its own if
// the bound allows it.
const (
	// partSize is the least bound of one part while there are more than regions.
	partSize = 8
	maxParts = 16
)

// Parts returns into how many parts a bound is divided.
func (h *Homes) Parts(bound int) int {
	parts := max(bound/partSize, min(bound, len(h.regions)), 1)
	return min(parts, maxParts)
}

// PartBound returns the bound of one part; all parts add up to bound.
func (h *Homes) PartBound(bound, part int) int {
	parts := h.Parts(bound)
	if part < bound%parts {
		return bound/parts + 1
	}
	return bound / parts
}

// Home is an entry that may keep a ledger.
type Home struct {
	Name string
	// Addr is the IP:port of its drpc listener.
	Addr   string
	Region string
	hash   uint64
}

// Homes are the entries of one host list that may keep ledgers, as they are seen
// from a region.
type Homes struct {
	own     string
	regions []string
	// byRegion are the entries of each of regions.
	byRegion [][]Home
	count    int
}

// NewHomes returns the entries of a host list that are not leaving, as they are
// seen from a region.
func NewHomes(hosts []fleet.Host, own string) *Homes {
	h := &Homes{own: own}
	for _, host := range hosts {
		if host.Role != fleet.RoleEntry || host.Leaving {
			continue
		}
		at, known := slices.BinarySearch(h.regions, host.Region)
		if !known {
			h.regions = slices.Insert(h.regions, at, host.Region)
			h.byRegion = slices.Insert(h.byRegion, at, []Home(nil))
		}
		home := Home{Name: host.Name, Addr: host.Addr, Region: host.Region, hash: xxhash.Sum64String(host.Name)}
		h.byRegion[at] = append(h.byRegion[at], home)
		h.count++
	}
	return h
}

// Len returns the number of entries.
func (h *Homes) Len() int { return h.count }

// Of returns who may count one part of a workspace's bound, in the order in which
// they are asked: its home by rendezvous hash over the entries of the part's region,
// the home's deputy there, and then the first of each other region, in an order that
// all entries share: so those that reach each other agree when regions are cut off.
// Another entry that comes or goes moves only what it leads.
func (h *Homes) Of(workspace string, part int) []Home {
	if h.count == 0 {
		return nil
	}
	key := xxhash.Sum64String(workspace + "\x00" + strconv.Itoa(part))
	at := h.regionOf(workspace, part)
	best := first(h.byRegion[at], homesOfPart, key)
	for i := 1; i < len(h.regions); i++ {
		best = append(best, first(h.byRegion[(at+i)%len(h.regions)], 1, key)...)
	}
	return best
}

// regionOf returns the region of a part: each workspace begins with another one.
func (h *Homes) regionOf(workspace string, part int) int {
	return int((xxhash.Sum64String(workspace) + uint64(part)) % uint64(len(h.regions)))
}

// order returns the parts of a workspace's bound as they are asked: those of the own
// region first, then the others, each from a random one on.
func (h *Homes) order(workspace string, bound int, random uint64) []int {
	parts := h.Parts(bound)
	var near, far []int
	for i := range parts {
		part := int((random + uint64(i)) % uint64(parts))
		if h.count > 0 && h.regions[h.regionOf(workspace, part)] == h.own {
			near = append(near, part)
		} else {
			far = append(far, part)
		}
	}
	return append(near, far...)
}

// homesOfPart counts the home and its deputy in the part's region.
const homesOfPart = 2

// first returns the first n homes by their score for key.
func first(homes []Home, n int, key uint64) []Home {
	var best []Home
	for _, home := range homes {
		at := 0
		for at < len(best) && before(best[at], home, key) {
			at++
		}
		if at < n {
			best = slices.Insert(best, at, home)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// before tells whether a goes before b for key.
func before(a, b Home, key uint64) bool {
	scoreA, scoreB := mix(key^a.hash), mix(key^b.hash)
	return scoreA > scoreB || scoreA == scoreB && a.Name < b.Name
}

// mix spreads the bits of x evenly (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
