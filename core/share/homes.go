package share

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/fleet"
	"acaciawinch/core/rendezvous"
)

// A bound is divided into parts so that no single home has to serve all requests of a
// busy workspace, and so that each region has a part of its own if the bound allows it.
const (
	// partSize is the smallest bound of a part if there are more parts than regions, and
	// maxParts the largest number of parts.
	partSize = 8
	maxParts = 16
)

// Parts returns the number of parts into which a bound is divided.
func (h *Homes) Parts(bound int) int {
	parts := max(bound/partSize, min(bound, len(h.regions)), 1)
	return min(parts, maxParts)
}

// PartBound returns the bound of one part. The bounds of all parts add up to bound.
func (h *Homes) PartBound(bound, part int) int {
	parts := h.Parts(bound)
	if part < bound%parts {
		return bound/parts + 1
	}
	return bound / parts
}

// Home is an entry that may keep ledgers.
type Home struct {
	Name string
	// Addr is the IP:port of its drpc listener.
	Addr   string
	Region string
	hash   uint64
}

// Homes are the entries of one host list that may keep ledgers. The order in which
// parts are tried depends on the region of the entry that requests permits.
type Homes struct {
	ownRegion string
	regions   []string
	// byRegion lists the entries of each region, in the order of regions.
	byRegion [][]Home
	count    int
}

// NewHomes returns the entries of a host list that are not leaving, for an entry in
// the region ownRegion.
func NewHomes(hosts []fleet.Host, ownRegion string) *Homes {
	h := &Homes{ownRegion: ownRegion}
	for _, host := range hosts {
		if host.Role != fleet.RoleEntry || host.Leaving {
			continue
		}
		region, known := slices.BinarySearch(h.regions, host.Region)
		if !known {
			h.regions = slices.Insert(h.regions, region, host.Region)
			h.byRegion = slices.Insert(h.byRegion, region, []Home(nil))
		}
		home := Home{Name: host.Name, Addr: host.Addr, Region: host.Region, hash: xxhash.Sum64String(host.Name)}
		h.byRegion[region] = append(h.byRegion[region], home)
		h.count++
	}
	return h
}

// Len returns the number of entries.
func (h *Homes) Len() int { return h.count }

// Of returns the candidates for the home of one part of a workspace's bound, in the
// order in which they are queried: the part's home, by rendezvous hashing over the
// entries of the part's region; the home's backup in that region; then the
// highest-ranked entry of each other region. All entries use the same order, so during
// a network partition those that reach each other agree on the home. An entry that
// joins or leaves moves only the parts whose home it is.
func (h *Homes) Of(workspace string, part int) []Home {
	if h.count == 0 {
		return nil
	}
	key := xxhash.Sum64String(workspace + "\x00" + strconv.Itoa(part))
	region := h.regionOf(workspace, part)
	candidates := top(h.byRegion[region], candidatesInPartRegion, key)
	for i := 1; i < len(h.regions); i++ {
		candidates = append(candidates, top(h.byRegion[(region+i)%len(h.regions)], 1, key)...)
	}
	return candidates
}

// regionOf returns the index of a part's region. Consecutive parts are in consecutive
// regions; the region of a workspace's first part follows from a hash of its name.
func (h *Homes) regionOf(workspace string, part int) int {
	return int((xxhash.Sum64String(workspace) + uint64(part)) % uint64(len(h.regions)))
}

// order returns the parts of a workspace's bound in the order in which they are tried:
// those of the own region first, then the others, each group starting at a random part.
func (h *Homes) order(workspace string, bound int, random uint64) []int {
	parts := h.Parts(bound)
	var local, remote []int
	for i := range parts {
		part := int((random + uint64(i)) % uint64(parts))
		if h.count > 0 && h.regions[h.regionOf(workspace, part)] == h.ownRegion {
			local = append(local, part)
		} else {
			remote = append(remote, part)
		}
	}
	return append(local, remote...)
}

// candidatesInPartRegion counts the home and its backup in the part's region.
const candidatesInPartRegion = 2

// top returns the n homes with the highest rendezvous scores for key, best first.
func top(homes []Home, n int, key uint64) []Home {
	var best []Home
	for _, home := range homes {
		rank := 0
		for rank < len(best) && ranksBefore(best[rank], home, key) {
			rank++
		}
		if rank < n {
			best = slices.Insert(best, rank, home)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// ranksBefore reports whether a ranks before b for key.
func ranksBefore(a, b Home, key uint64) bool {
	scoreA, scoreB := rendezvous.Score(key, a.hash), rendezvous.Score(key, b.hash)
	return scoreA > scoreB || scoreA == scoreB && a.Name < b.Name
}
