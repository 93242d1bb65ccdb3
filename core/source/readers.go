package source

import (
	"slices"
	"sort"
	"time"

	"acaciawinch/core/rendezvous"
)

// readers returns the members of a zone that read the store: the first in the zone's order,
// without those that can't be reached. One whose word is old stays a reader: where the store
// is away, another one would only ask it too.
func (s *Selector) readers(zone string, now time.Duration) []Member {
	order := s.zones[zone]
	wanted := s.wanted(len(order))
	first := make([]Member, 0, wanted)
	for _, m := range order {
		if len(first) == wanted {
			break
		}
		if !s.rests[m.Incarnation].isGone(now) {
			first = append(first, m)
		}
	}
	return first
}

// wanted returns how many of a zone's members are to read the store. Those that can't be
// reached count too: the number does not depend on what a single process met with.
func (s *Selector) wanted(members int) int {
	return 1 + max(0, members-1)/(s.settings.FollowersPerReader+1)
}

// sources returns the readers of a zone that may be followed.
func (s *Selector) sources(zone string, now time.Duration) []Member {
	var list []Member
	for _, m := range s.readers(zone, now) {
		if m != s.self && !s.rests[m.Incarnation].covers(now) {
			list = append(list, m)
		}
	}
	return list
}

// covers tells whether a rest lasts still.
func (r rest) covers(now time.Duration) bool { return now < r.until }

// isGone tells whether a member can't be reached, as far as is known.
func (r rest) isGone(now time.Duration) bool { return r.lost && r.covers(now) }

// byZone returns the members of each zone in the order in which they are to read the store:
// by the rate of their link, then by rendezvous score for the zone's name.
func byZone(members []Member) map[string][]Member {
	zones := make(map[string][]Member)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for zone, list := range zones {
		key := rendezvous.Hash(zone)
		sort.Slice(list, func(i, j int) bool { return before(key, list[i], list[j]) })
	}
	return zones
}

// before tells whether a is to read before b.
func before(key uint64, a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return rendezvous.Score(key, rendezvous.Hash(a.Name)) > rendezvous.Score(key, rendezvous.Hash(b.Name))
}

// contains tells whether a member is in a list.
func contains(list []Member, m Member) bool { return slices.Contains(list, m) }
