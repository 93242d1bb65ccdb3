package source

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// follow keeps the followed member or chooses another one.
func (s *Selector) follow(now time.Duration) {
	if s.current.Name != "" && s.keeps(now) {
		return
	}
	probed := s.current.probe
	s.current = source{}
	if best := s.reader(now); best.Name != "" {
		s.current = source{Member: best, since: now}
		return
	}
	if other := s.highest(s.anyone(now)); other.Name != "" && !probed {
		s.current = source{Member: other, since: now, probe: true}
		return
	}
	s.current = source{Member: s.soonest(), since: now}
}

// keeps tells whether the followed member stays, and passes over one that does not for its
// word. One whose word is not fresh is left for another after a while; one of another zone,
// as soon as there is one in this zone.
func (s *Selector) keeps(now time.Duration) bool {
	switch {
	case s.currentGood(now):
		return s.nearest(now)
	case s.current.heard && s.current.probe:
		s.passOver(staleRest, false, now)
		s.current.probe = true // the next one is a reader, not another try
		return false
	case s.current.failing && s.quick > 0 && len(s.otherReaders(now)) > 0:
		s.quick--
		s.passOver(staleRest, false, now)
		return false
	case s.current.heard && now >= max(s.switchAt, s.current.since+staleGrace):
		s.leaveStale(now)
		s.switchAt = now + s.switchPause
		s.switchPause = min(2*s.switchPause, longestSwitch)
		return false
	default:
		return s.nearest(now)
	}
}

// nearest tells whether no reader of this zone is to be followed rather.
func (s *Selector) nearest(now time.Duration) bool {
	return contains(s.readers(s.self.Zone, now), s.current.Member) || len(s.sources(s.self.Zone, now)) == 0
}

// leaveStale passes over the followed member, whose word is old.
func (s *Selector) leaveStale(now time.Duration) {
	if now-s.current.heardAt > quietAfter {
		s.passOver(lostRest, true, now)
		return
	}
	s.passOver(staleRest, false, now)
}

// reader returns the reader to follow: of those of this zone, or else of the others, the one
// with the highest score for this process, which spreads followers evenly. Without a name
// there is none that isn't passed over.
func (s *Selector) reader(now time.Duration) Member {
	if best := s.highest(s.sources(s.self.Zone, now)); best.Name != "" {
		return best
	}
	return s.highest(s.otherReaders(now))
}

// otherReaders returns the readers that may be followed beside the followed one.
func (s *Selector) otherReaders(now time.Duration) []Member {
	var others []Member
	for zone := range s.zones {
		for _, m := range s.sources(zone, now) {
			if m != s.current.Member {
				others = append(others, m)
			}
		}
	}
	return others
}

// soonest returns the reader that was passed over for its old word and whose rest ends
// first, or else any such member. That is where a process waits while nobody knows more: a
// reader hears first that the store is back, and one that has died since is found out by who
// tries it.
func (s *Selector) soonest() Member {
	var readers []Member
	for _, order := range s.zones {
		readers = append(readers, order[:min(len(order), s.wanted(len(order)))]...)
	}
	if best := s.firstRested(readers); best.Name != "" {
		return best
	}
	return s.firstRested(s.members)
}

// firstRested returns the member whose rest ends first of those that are not lost; without a
// name if there is none.
func (s *Selector) firstRested(members []Member) Member {
	var best Member
	var until time.Duration
	for _, m := range members {
		r := s.rests[m.Incarnation]
		if m == s.self || r.lost {
			continue
		}
		if best.Name == "" || r.until < until || r.until == until && m.Name < best.Name {
			best, until = m, r.until
		}
	}
	return best
}

// anyone returns the members that are not passed over. Where the store turns all readers
// away, some of the others ask it themselves and know more: one is tried now and then, and
// left at its first word if it does not.
func (s *Selector) anyone(now time.Duration) []Member {
	var list []Member
	for _, m := range s.members {
		if !s.rests[m.Incarnation].covers(now) {
			list = append(list, m)
		}
	}
	return list
}

// highest returns the member with the highest score for this process; without a name if
// there is none.
func (s *Selector) highest(members []Member) Member {
	own := rendezvous.Hash(s.self.Name)
	var best Member
	var highest uint64
	for _, m := range members {
		if score := rendezvous.Score(own, rendezvous.Hash(m.Name)); best.Name == "" || score > highest {
			best, highest = m, score
		}
	}
	return best
}
