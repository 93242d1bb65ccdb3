package pool

import (
	"time"

	"acaciawinch/core/routes"
)

// roomState is what is known of the room of an upstream that this pool's own calls do not show. A new owner
// of a pool knows no results of its predecessor: without it, its first calls are as large as for empty
// upstreams and most of their items find no room (TestANewOwnerLeavesRoomForTheResultsOfTheLast).
type roomState struct {
	// unaccounted is the size of the stored results that a report showed and that are not known; it counts
	// until the upstream has dropped them by itself.
	unaccounted      int64
	unaccountedUntil time.Time
	// reportDue is when calls no longer wait for a report on the room.
	reportDue time.Time
}

// Store records that an upstream stores results, of the given total size, of calls that this pool did not
// make. Those that a report showed before are no longer unaccounted. Free ends it.
func (p *Pool) Store(upstream routes.Upstream, bytes int64) {
	if s := p.stateOf(upstream); s != nil {
		s.usedBytes += bytes
		s.room.unaccounted = max(0, s.room.unaccounted-bytes)
	}
}

// AwaitReport keeps calls back until an upstream has reported its room, or until due.
func (p *Pool) AwaitReport(upstream routes.Upstream, due time.Time) {
	if s := p.stateOf(upstream); s != nil {
		s.room.reportDue = due
	}
}

// EndReport lets calls go without the report of an upstream.
func (p *Pool) EndReport(upstream routes.Upstream) { p.AwaitReport(upstream, time.Time{}) }

// ReportRoom records how many bytes of results an upstream can still store. What it can store less than is
// known counts as used until the given time or the next report. It returns the sizes of the known and of
// the unaccounted results, and false if the upstream is gone. Results of running calls count as known: the
// upstream may have stored them already.
func (p *Pool) ReportRoom(upstream routes.Upstream, free int64, until time.Time) (known, unaccounted int64, found bool) {
	s := p.stateOf(upstream)
	if s == nil {
		return 0, 0, false
	}
	s.room = roomState{unaccounted: max(0, p.settings.RoomBytes-free-s.usedBytes), unaccountedUntil: until}
	return s.usedBytes, s.room.unaccounted, true
}

// unaccountedAt returns the size of the reported results that are not known.
func (r roomState) unaccountedAt(now time.Time) int64 {
	if now.Before(r.unaccountedUntil) {
		return r.unaccounted
	}
	return 0
}

// awaitsReports reports whether calls wait for the report of an upstream that takes work. All wait for the last
// one: the first upstream to report would otherwise get the first calls, whichever is preferred.
func (p *Pool) awaitsReports(now time.Time) bool {
	for _, s := range p.upstreams {
		if now.Before(s.room.reportDue) && s.upstream.TakesWork(now) {
			return true
		}
	}
	return false
}
