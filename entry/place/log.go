package place

import (
	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// maxAlternatives bounds the alternative engines that one log line lists.
const maxAlternatives = 5

// logWritten logs and counts a plan that took effect, and logs each of its decisions.
func (p *Proposer) logWritten(plan placement.Plan, version uint64, decisions []placement.Decision) {
	p.metrics.plans.Inc(1)
	loads := 0
	for _, d := range decisions {
		if d.Action == placement.ActionLoad {
			loads++
		}
	}
	reason := "changed"
	if p.lease.NeedsPlan() {
		reason = "first plan of a new holder"
	}
	p.options.Log.Event(event.PlacementWritten, observe.Fields{
		"sequence":    plan.Sequence,
		"version":     version,
		"revision":    plan.Revision,
		"assignments": len(plan.Assignments),
		"loads":       loads,
		"reason":      reason,
	})
	for _, d := range decisions {
		p.logDecision(plan.Sequence, d)
	}
}

// logDecision logs one decision.
func (p *Proposer) logDecision(sequence uint64, d placement.Decision) {
	if d.Action == placement.ActionShort {
		p.logShortage(d)
		return
	}
	p.options.Log.Event(event.PlacementDecided, observe.Fields{
		"sequence":     sequence,
		"action":       d.Action,
		"upstream":     d.Assignment.Upstream,
		"model":        d.Assignment.Model,
		"version":      d.Assignment.Version,
		"reason":       d.Reason,
		"alternatives": d.Alternatives[:min(len(d.Alternatives), maxAlternatives)],
	})
}

// logShortage logs a shortage, a wanted replica of a model that no engine has room for,
// if it is new or its reason has changed.
func (p *Proposer) logShortage(d placement.Decision) {
	if p.loggedShortages[d.Assignment] == d.Reason {
		return
	}
	p.loggedShortages[d.Assignment] = d.Reason
	p.options.Log.Warn(event.PlacementShort, observe.Fields{
		"model": d.Assignment.Model, "version": d.Assignment.Version, "reason": d.Reason,
	})
}

// logNotWritten logs and counts a plan that was not written.
func (p *Proposer) logNotWritten(plan placement.Plan, err error) {
	p.metrics.notWritten.Inc(1)
	p.options.Log.Warn(event.PlacementNotWritten, observe.Fields{"sequence": plan.Sequence, "error": err.Error()})
}

// logSilent logs, once, each engine that has been silent for longer than the grace period.
func (p *Proposer) logSilent(hosts []fleet.Host) {
	now := p.now()
	for _, host := range hosts {
		state := p.engines.byID[core.UpstreamID(host.Name)]
		if state.silenceLogged || !p.engines.silentTooLong(now, state) {
			continue
		}
		state.silenceLogged = true
		p.options.Log.Warn(event.PlacementEngineSilent, observe.Fields{
			"upstream": host.Name, "addr": host.Addr, "silent_ms": (now - state.silentSince).Milliseconds(),
		})
	}
}

// logStuck logs the assignments whose loads got stuck in this round.
func (p *Proposer) logStuck(stuck []placement.Assignment) {
	for _, a := range stuck {
		p.options.Log.Warn(event.PlacementLoadStuck, observe.Fields{
			"upstream": a.Upstream, "model": a.Model, "version": a.Version, "waited_ms": p.options.Settings.LoadMS,
		})
	}
}
