package source

import (
	"slices"
	"sort"
	"time"

	"acaciawinch/core/rendezvous"
)

// readers returns the members of a zone that read the store: the first ones in the zone's order,
// without those that can't be reached. A member with a stale update stays a reader: while the store
// is unavailable, replacing it would only make another member query the store.
func (s *Selector) readers(zone string, now time.Duration) []Member {
	order := s.zones[zone]
	count := s.readerCount(len(order))
	selected := make([]Member, 0, count)
	for _, m := range order {
		if len(selected) == count {
			break
		}
		if !s.backoffs[m.Incarnation].unreachable(now) {
			selected = append(selected, m)
		}
	}
	return selected
}

// readerCount returns how many of a zone's members are to read the store. Unreachable members count
// too, so that the number does not depend on the failures that a single process saw.
func (s *Selector) readerCount(members int) int {
	return 1 + max(0, members-1)/(s.settings.FollowersPerReader+1)
}

// availableReaders returns the readers of a zone that may be followed.
func (s *Selector) availableReaders(zone string, now time.Duration) []Member {
	var list []Member
	for _, m := range s.readers(zone, now) {
		if m != s.self && !s.backoffs[m.Incarnation].active(now) {
			list = append(list, m)
		}
	}
	return list
}

// active reports whether the backoff lasts at the time now.
func (b backoff) active(now time.Duration) bool { return now < b.until }

// unreachable reports whether the member is backed off because it could not be reached.
func (b backoff) unreachable(now time.Duration) bool { return b.lost && b.active(now) }

// byZone returns the members of each zone in the order in which they are to read the store: by the
// rate of their link, then by rendezvous score for the zone's name.
func byZone(members []Member) map[string][]Member {
	zones := make(map[string][]Member)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for zone, list := range zones {
		key := rendezvous.Hash(zone)
		sort.Slice(list, func(i, j int) bool { return precedes(key, list[i], list[j]) })
	}
	return zones
}

// precedes reports whether a comes before b in the order of the readers.
func precedes(key uint64, a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return rendezvous.Score(key, rendezvous.Hash(a.Name)) > rendezvous.Score(key, rendezvous.Hash(b.Name))
}

// contains reports whether a member is in a list.
func contains(list []Member, m Member) bool { return slices.Contains(list, m) }
