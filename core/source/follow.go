package source

import (
	"time"

	"acaciawinch/core/rendezvous"
)

// follow keeps the followed member or chooses another one.
func (s *Selector) follow(now time.Duration) {
	if s.current.Name != "" && s.keepsCurrent(now) {
		return
	}
	probed := s.current.probe
	s.current = source{}
	if best := s.chooseReader(now); best.Name != "" {
		s.current = source{Member: best, chosenAt: now}
		return
	}
	if other := s.highestScore(s.candidates(now)); other.Name != "" && !probed {
		s.current = source{Member: other, chosenAt: now, probe: true}
		return
	}
	s.current = source{Member: s.nextAvailable(), chosenAt: now}
}

// keepsCurrent reports whether the followed member stays the source, and backs it off if it is left
// because of its reports. A member that is not fresh is left after a while, a member of another
// zone as soon as a reader of this zone is available.
func (s *Selector) keepsCurrent(now time.Duration) bool {
	switch {
	case s.currentFresh(now):
		return s.isNearest(now)
	case s.current.reported && s.current.probe:
		s.backOff(staleBackoff, false, now)
		s.current.probe = true // the next choice is a reader, not another probe
		return false
	case s.current.failing && s.switchesLeft > 0 && len(s.otherReaders(now)) > 0:
		s.switchesLeft--
		s.backOff(staleBackoff, false, now)
		return false
	case s.current.reported && now >= max(s.switchAt, s.current.chosenAt+staleGrace):
		s.leaveStale(now)
		s.switchAt = now + s.switchInterval
		s.switchInterval = min(2*s.switchInterval, maxSwitchInterval)
		return false
	default:
		return s.isNearest(now)
	}
}

// isNearest reports whether the followed member is a reader of this zone, or no reader of this zone
// is available.
func (s *Selector) isNearest(now time.Duration) bool {
	return contains(s.readers(s.self.Zone, now), s.current.Member) || len(s.availableReaders(s.self.Zone, now)) == 0
}

// leaveStale backs off the followed member, whose updates are stale.
func (s *Selector) leaveStale(now time.Duration) {
	if now-s.current.reportedAt > silentAfter {
		s.backOff(lostBackoff, true, now)
		return
	}
	s.backOff(staleBackoff, false, now)
}

// chooseReader returns the reader to follow: of this zone's readers, or else of all, the one with
// the highest score for this process, which spreads followers evenly. Its name is empty if all
// readers are backed off.
func (s *Selector) chooseReader(now time.Duration) Member {
	if best := s.highestScore(s.availableReaders(s.self.Zone, now)); best.Name != "" {
		return best
	}
	return s.highestScore(s.otherReaders(now))
}

// otherReaders returns the available readers of all zones except the followed one.
func (s *Selector) otherReaders(now time.Duration) []Member {
	var others []Member
	for zone := range s.zones {
		for _, m := range s.availableReaders(zone, now) {
			if m != s.current.Member {
				others = append(others, m)
			}
		}
	}
	return others
}

// nextAvailable returns the reader whose backoff for being stale ends first, or else any member
// with such a backoff. A process follows it while no member is fresher: a reader learns first that
// the store is available again, and members that have ended since are detected by the processes
// that try them.
func (s *Selector) nextAvailable() Member {
	var readers []Member
	for _, order := range s.zones {
		readers = append(readers, order[:min(len(order), s.readerCount(len(order)))]...)
	}
	if best := s.earliestBackoff(readers); best.Name != "" {
		return best
	}
	return s.earliestBackoff(s.members)
}

// earliestBackoff returns the member whose backoff ends first, leaving out those that could not be
// reached. Its name is empty if there is none.
func (s *Selector) earliestBackoff(members []Member) Member {
	var best Member
	var until time.Duration
	for _, m := range members {
		b := s.backoffs[m.Incarnation]
		if m == s.self || b.lost {
			continue
		}
		if best.Name == "" || b.until < until || b.until == until && m.Name < best.Name {
			best, until = m, b.until
		}
	}
	return best
}

// candidates returns the members that are not backed off. When the store rejects all readers, some
// of the other members query it themselves and are fresh: one of the candidates is probed from time
// to time, and left at its first report if it is not fresh.
func (s *Selector) candidates(now time.Duration) []Member {
	var list []Member
	for _, m := range s.members {
		if !s.backoffs[m.Incarnation].active(now) {
			list = append(list, m)
		}
	}
	return list
}

// highestScore returns the member with the highest score for this process. Its name is empty if
// there are no members.
func (s *Selector) highestScore(members []Member) Member {
	own := rendezvous.Hash(s.self.Name)
	var best Member
	var top uint64
	for _, m := range members {
		if score := rendezvous.Score(own, rendezvous.Hash(m.Name)); best.Name == "" || score > top {
			best, top = m, score
		}
	}
	return best
}
