package pools

import (
	"fmt"

	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
)

// Part is a part of a pool's upstreams, with its own queue and owner. A small pool has one
// part. A large one is divided so that no process queues for all of it: at the peak planned
// for, 1,100 upstreams in five pools, one owner of a whole pool would get some 1,600 items a
// second.
type Part struct {
	Service string
	// Index is in the range 0 to Count-1.
	Index, Count int
}

// maxUpstreamsPerPart is the number of upstreams up to which a pool stays one part; a larger pool
// is divided so that a part has that many upstreams or fewer on average. A larger part fills calls
// better and has more upstreams in the zone of an item's data. With calls of 330 ms, 48
// upstreams make some 145 calls a second at full load, which one process can handle.
const maxUpstreamsPerPart = 48

// partsOf returns the number of parts of a pool.
func partsOf(upstreams int) int { return max(1, (upstreams+maxUpstreamsPerPart-1)/maxUpstreamsPerPart) }

// Has reports whether an upstream belongs to the part.
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

// key returns the key by which the part's owner is chosen: the name of the service if the pool
// has one part.
func (p Part) key() string {
	if p.Count <= 1 {
		return p.Service
	}
	return fmt.Sprintf("%s#%d", p.Service, p.Index)
}

// byPart groups handles by the parts whose upstreams keep their results.
func byPart(upstreams *routes.Upstreams, service string, handles []string) map[Part][]string {
	count := partsOf(len(upstreams.Of(service)))
	grouped := make(map[Part][]string)
	for _, handle := range handles {
		part := Part{Service: service, Count: count}
		if count > 1 {
			address := addressOf(handle)
			part.Index = int(rendezvous.Hash(upstreams.IDOf(address)) % uint64(count))
		}
		grouped[part] = append(grouped[part], handle)
	}
	return grouped
}
