package route

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// alternatives returns what a Choice tells of those not taken.
func alternatives(others []routing.Weighed) []Alternative {
	list := make([]Alternative, len(others))
	for i, other := range others {
		list[i] = Alternative{
			Upstream: other.Answer.Upstream.ID,
			Zone:     other.Answer.Upstream.Zone,
			Expected: other.Expected,
			Reason:   other.Reason,
		}
	}
	return list
}

// chosen logs and counts a choice.
func (r *Router) chosen(need Need, decision routing.Decision, choice Choice) {
	r.metrics.choices[decision.Chosen.Answer.Upstream.Tier].Inc(1)
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

// refused logs and counts a refusal.
func (r *Router) refused(need Need, decision routing.Decision) {
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

// suspected logs that an upstream is avoided from now on.
func (r *Router) suspected(upstream core.UpstreamID, suspicion routing.Suspicion, suspects int) {
	r.metrics.suspects.Update(float64(suspects))
	r.opts.Logger.Warn(event.UpstreamSuspected, observe.Fields{
		"upstream":  upstream,
		"cause":     suspicion.Cause,
		"strikes":   suspicion.Strikes,
		"avoid_for": suspicion.Length.Round(time.Millisecond).String(),
	})
}

// recovered logs that a suspicion ended.
func (r *Router) recovered(upstream core.UpstreamID, suspects int) {
	r.metrics.suspects.Update(float64(suspects))
	r.opts.Logger.Event(event.UpstreamRecovered, observe.Fields{"upstream": upstream})
}
