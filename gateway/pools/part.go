package pools

import (
	"fmt"
	"strings"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Part is a part of a pool's upstreams, with a queue and an owner of its own. A small
// pool has one part; of a large one each has some upstreams, so that no process has to
// queue for all: at the peak planned for, 1,100 upstreams in five pools, one owner of a
// whole pool would get some 1,600 items a second.
type Part struct {
	Service string
	// Index goes from 0 to Count-1.
	Index, Count int
}

// partUpstreams is the most upstreams of a part. One queue for all fills calls better and
// finds more upstreams in the zone of an item's data than two do; at calls of 330 ms 48
// upstreams do some 145 calls a second at full load, which one process can make.
const partUpstreams = 48

// partsOf returns how many parts a pool with a number of upstreams has.
func partsOf(upstreams int) int { return max(1, (upstreams+partUpstreams-1)/partUpstreams) }

// Has tells whether an upstream belongs to the part.
func (p Part) Has(id string) bool { return int(rendezvous.Hash(id)%uint64(max(1, p.Count))) == p.Index }

// of returns the upstreams of the part.
func (p Part) of(upstreams *routes.Upstreams) []routes.Upstream {
	all := upstreams.Of(p.Service)
	if p.Count <= 1 {
		return all
	}
	var own []routes.Upstream
	for _, upstream := range all {
		if p.Has(upstream.ID) {
			own = append(own, upstream)
		}
	}
	return own
}

// key names the part for the choice of its owner. A pool with one part has the name of
// its service.
func (p Part) key() string {
	if p.Count <= 1 {
		return p.Service
	}
	return fmt.Sprintf("%s#%d", p.Service, p.Index)
}

// byPart sorts results by the parts of a pool whose upstreams keep them.
func byPart(upstreams *routes.Upstreams, service string, handles []string) map[Part][]string {
	count := partsOf(len(upstreams.Of(service)))
	sorted := make(map[Part][]string)
	for _, handle := range handles {
		part := Part{Service: service, Count: count}
		if count > 1 {
			address, _, _ := strings.Cut(handle, "/")
			part.Index = int(rendezvous.Hash(upstreams.IDOf(address)) % uint64(count))
		}
		sorted[part] = append(sorted[part], handle)
	}
	return sorted
}
