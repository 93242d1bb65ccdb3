package source

import (
	"slices"
	"sort"
	"time"

	"acaciawinch/core/rendezvous"
)

// readers returns the members of a zone that read the store: the first by rendezvous score
// for the zone's name, without those that are passed over.
func (s *Selector) readers(zone string, now time.Duration) []Member {
	key := rendezvous.Hash(zone)
	var first []Member
	consider := func(m Member) {
		if m.Zone != zone {
			return
		}
		first = insert(first, m, key, s.settings.Readers)
	}
	consider(s.self)
	for _, m := range s.members {
		if !s.rests[m.Incarnation].covers(now) {
			consider(m)
		}
	}
	return first
}

// covers tells whether a rest lasts still.
func (r rest) covers(now time.Duration) bool { return now < r.until }

// insert puts a member into a list of at most a number, ordered by score for a key.
func insert(list []Member, m Member, key uint64, most int) []Member {
	score := rendezvous.Score(key, rendezvous.Hash(m.Name))
	at := sort.Search(len(list), func(i int) bool {
		return rendezvous.Score(key, rendezvous.Hash(list[i].Name)) < score
	})
	list = slices.Insert(list, at, m)
	return list[:min(len(list), most)]
}

// otherZones returns the zones of the other members, in order.
func (s *Selector) otherZones() []string {
	var zones []string
	for _, m := range s.members {
		if m.Zone != s.self.Zone && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

// contains tells whether a member is in a list.
func contains(list []Member, m Member) bool { return slices.Contains(list, m) }
