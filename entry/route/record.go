package route

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// alternatives converts the upstreams that were considered and not chosen.
func alternatives(others []routing.Candidate) []Alternative {
	list := make([]Alternative, len(others))
	for i, other := range others {
		list[i] = Alternative{
			Upstream: other.Result.Upstream.ID,
			Zone:     other.Result.Upstream.Zone,
			Expected: other.Expected,
			Reason:   other.Reason,
		}
	}
	return list
}

// logChosen logs and counts a choice.
func (r *Router) logChosen(need Need, decision routing.Decision, choice Choice) {
	r.metrics.choices[decision.Chosen.Result.Upstream.Tier].Inc(1)
	if decision.Spilled {
		r.metrics.spills.Inc(1)
	}
	r.opts.Logger.Event(event.RouteChosen, observe.Fields{
		"request":      need.Request,
		"stage":        need.Stage,
		"service":      need.Service,
		"upstream":     choice.Upstream,
		"zone":         choice.Zone,
		"expected_us":  choice.Expected.Microseconds(),
		"policy":       r.policy.Name(),
		"reason":       choice.Reason,
		"alternatives": choice.Alternatives,
	})
}

// logRefused logs and counts a refusal.
func (r *Router) logRefused(need Need, decision routing.Decision) {
	r.metrics.refusals.Inc(1)
	r.opts.Logger.Event(event.RouteRefused, observe.Fields{
		"request":        need.Request,
		"stage":          need.Stage,
		"service":        need.Service,
		"retry_after_ms": decision.RetryAfter.Milliseconds(),
		"reason":         decision.Reason,
		"alternatives":   alternatives(decision.Others),
	})
}

// logSuspected logs that an upstream is avoided for a time, and updates the gauge of
// suspected upstreams.
func (r *Router) logSuspected(upstream core.UpstreamID, suspicion routing.Suspicion, suspects int) {
	r.metrics.suspects.Update(float64(suspects))
	r.opts.Logger.Warn(event.UpstreamSuspected, observe.Fields{
		"upstream":  upstream,
		"cause":     suspicion.Cause,
		"strikes":   suspicion.Strikes,
		"avoid_for": suspicion.Length.Round(time.Millisecond).String(),
	})
}

// logRecovered logs that the suspicion of an upstream ended, and updates the gauge of
// suspected upstreams.
func (r *Router) logRecovered(upstream core.UpstreamID, suspects int) {
	r.metrics.suspects.Update(float64(suspects))
	r.opts.Logger.Event(event.UpstreamRecovered, observe.Fields{"upstream": upstream})
}
