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
	Addr string
	hash uint64
}

// Homes are the entries of one host list that may keep ledgers.
type Homes struct{ list []Home }

// NewHomes returns the entries of a host list that are not leaving.
func NewHomes(hosts []fleet.Host) *Homes {
	h := &Homes{}
	for _, host := range hosts {
		if host.Role == fleet.RoleEntry && !host.Leaving {
			h.list = append(h.list, Home{Name: host.Name, Addr: host.Addr, hash: xxhash.Sum64String(host.Name)})
		}
	}
	return h
}

// Len returns the number of entries.
func (h *Homes) Len() int { return len(h.list) }

// Of returns the home of one part of a workspace's bound, and its deputy, by
// rendezvous hash: another entry that comes or goes moves only what it leads.
// There are fewer than two if there are fewer entries.
func (h *Homes) Of(workspace string, part int) []Home {
	key := xxhash.Sum64String(workspace + "\x00" + strconv.Itoa(part))
	var best []Home
	for _, home := range h.list {
		at := 0
		for at < len(best) && before(best[at], home, key) {
			at++
		}
		if at < homesOfPart {
			best = slices.Insert(best, at, home)
			best = best[:min(len(best), homesOfPart)]
		}
	}
	return best
}

// homesOfPart counts the home and its deputy.
const homesOfPart = 2

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
