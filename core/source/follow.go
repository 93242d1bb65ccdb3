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
	s.current = source{Member: s.best(now), since: now}
}

// keeps tells whether the followed member stays. One whose word is not fresh is left for
// another after a while; one of another zone, as soon as there is one in this zone.
func (s *Selector) keeps(now time.Duration) bool {
	if s.current.heard && !s.currentGood(now) && now >= max(s.switchAt, s.current.since+staleGrace) {
		s.leaveStale(now)
		s.switchAt = now + s.switchPause
		s.switchPause = min(2*s.switchPause, longestSwitch)
		return false
	}
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

// best returns the member to follow: of the readers of this zone, or else of the others, or
// else of all, the one with the highest score for this process, which spreads followers
// evenly.
func (s *Selector) best(now time.Duration) Member {
	if best := s.highest(s.sources(s.self.Zone, now)); best.Name != "" {
		return best
	}
	var others []Member
	for _, zone := range s.otherZones() {
		others = append(others, s.sources(zone, now)...)
	}
	if best := s.highest(others); best.Name != "" {
		return best
	}
	if best := s.highest(s.anyone(now)); best.Name != "" {
		return best
	}
	return s.soonest()
}

// soonest returns the member that was passed over for its old word and whose rest ends
// first: it may have died since, and only who tries finds that out.
func (s *Selector) soonest() Member {
	var best Member
	var until time.Duration
	for _, m := range s.members {
		r := s.rests[m.Incarnation]
		if !r.lost && (best.Name == "" || r.until < until) {
			best, until = m, r.until
		}
	}
	return best
}

// anyone returns the members that are not passed over. Where the store turns all readers
// away, some of the others ask it themselves and know more.
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
