package share

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/fleet"
)

// Size of the parts into which a bound is divided, so that no home has to answer
// for all requests of a busy workspace.
const (
	// partSize is the least bound of one part while there is more than one.
	partSize = 8
	maxParts = 16
)

// Parts returns into how many parts a bound is divided.
func Parts(bound int) int { return min(max(bound/partSize, 1), maxParts) }

// PartBound returns the bound of one part; all parts add up to bound.
func PartBound(bound, part int) int {
	parts := Parts(bound)
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

// Homes are the entries of one host list that may keep ledgers.
type Homes struct {
	list   []Home
	region string
}

// NewHomes returns the entries of a host list that are not leaving, as they are
// seen from a region.
func NewHomes(hosts []fleet.Host, region string) *Homes {
	h := &Homes{region: region}
	for _, host := range hosts {
		if host.Role == fleet.RoleEntry && !host.Leaving {
			h.list = append(h.list, Home{Name: host.Name, Addr: host.Addr, Region: host.Region, hash: xxhash.Sum64String(host.Name)})
		}
	}
	return h
}

// Len returns the number of entries.
func (h *Homes) Len() int { return len(h.list) }

// Of returns who may count one part of a workspace's bound, in the order in which
// they are asked: its home by rendezvous hash, the home's deputy, and for a region
// that is cut off the first of the own region. Another entry that comes or goes
// moves only what it leads.
func (h *Homes) Of(workspace string, part int) []Home {
	key := xxhash.Sum64String(workspace + "\x00" + strconv.Itoa(part))
	best := first(h.list, homesOfPart, func(a, b Home) bool { return before(a, b, key) })
	near := first(h.list, 1, func(a, b Home) bool {
		nearA, nearB := a.Region == h.region, b.Region == h.region
		return nearA && !nearB || nearA == nearB && before(a, b, key)
	})
	if len(near) > 0 && near[0].Region == h.region && !slices.Contains(best, near[0]) {
		best = append(best, near[0])
	}
	return best
}

// homesOfPart counts the home and its deputy.
const homesOfPart = 2

// first returns the first n homes in an order.
func first(homes []Home, n int, less func(a, b Home) bool) []Home {
	var best []Home
	for _, home := range homes {
		at := 0
		for at < len(best) && less(best[at], home) {
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
