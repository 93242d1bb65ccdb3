package pool

import (
	"slices"
	"strings"
	"time"

	"acaciawinch/core/routes"
)

// SetLimits replaces the limits that upstreams have named, in calls a second by the ID of the upstream. An
// upstream with a limit gets calls only with a Permit.
func (p *Pool) SetLimits(perSecond map[string]float64) {
	for id, s := range p.upstreams {
		s.limit, s.limited = perSecond[id]
	}
}

// Permit allows one call to an upstream until a time.
func (p *Pool) Permit(upstream routes.Upstream, until time.Time) {
	if s := p.stateOf(upstream); s != nil {
		s.permitUntil = until
	}
}

// isPermitted reports whether an upstream may get a call now as far as its limit is concerned.
func (s *upstreamState) isPermitted(now time.Time) bool {
	return !s.limited || now.Before(s.permitUntil)
}

// restTime is the time without a call after which an upstream with a limit gets the next one although others
// are free: only its response can say that the limit has ended.
const restTime = 5 * time.Second

// PermitNeed describes the permits that calls could use.
type PermitNeed struct {
	// Upstreams could take a call if they had a permit, in the order of their IDs.
	Upstreams []routes.Upstream
	// Rank and Value are those of the first waiting task.
	Rank  int
	Value float64
}

// NeedsPermit returns the permits that calls could use now: those for waiting items and, while the pool makes
// calls, those for upstreams that have had none for restTime.
func (p *Pool) NeedsPermit(now time.Time) PermitNeed {
	var need PermitNeed
	for _, s := range p.upstreams {
		if s.limited && !s.isPermitted(now) && s.upstream.TakesWork(now) && !now.Before(s.avoidUntil) && s.calls < max(1, p.settings.Slots) && (p.waiting > 0 || p.rests(s, now)) {
			need.Upstreams = append(need.Upstreams, s.upstream)
		}
	}
	if len(need.Upstreams) == 0 || p.waiting == 0 {
		return need
	}
	p.sort(now)
	slices.SortFunc(need.Upstreams, func(a, b routes.Upstream) int { return strings.Compare(a.ID, b.ID) })
	need.Rank, need.Value = p.queue[0].Rank, p.queue[0].Value
	return need
}

// rests reports whether an upstream has had no call for restTime although the pool makes calls.
func (p *Pool) rests(s *upstreamState, now time.Time) bool {
	return now.Sub(s.lastCall) >= restTime && now.Sub(p.lastCall) < restTime
}

// capacity returns how many upstreams without a limit, working all the time, would do what the
// upstreams can do. A full call takes the given time.
func (p *Pool) capacity(fullCall time.Duration) float64 {
	total := 0.0
	for _, s := range p.upstreams {
		switch {
		case !s.upstream.Eligible():
		case s.limited:
			total += min(1, s.limit*fullCall.Seconds())
		default:
			total++
		}
	}
	return total
}

// allLimited reports whether all upstreams that take work have limits.
func (p *Pool) allLimited() bool {
	limited := false
	for _, s := range p.upstreams {
		if s.upstream.Eligible() && !s.limited {
			return false
		}
		limited = limited || s.upstream.Eligible()
	}
	return limited
}

// endsTooLate reports whether a task is expected to end after its deadline with a number of items ahead of it.
// With limits, no upstream becomes free sooner than expected.
func (p *Pool) endsTooLate(t *Task, ahead int, now time.Time) bool {
	return now.Add(p.waitBehind(ahead)).After(t.Deadline)
}
