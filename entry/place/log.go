package place

import (
	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// maxAlternatives bounds the engines that one log line names.
const maxAlternatives = 5

// logWritten writes a line for the plan and one for each of its decisions.
func (p *Proposer) logWritten(plan placement.Plan, version uint64, decisions []placement.Decision) {
	p.metrics.plans.Inc(1)
	loads := 0
	for _, d := range decisions {
		if d.Action == placement.ActionLoad {
			loads++
		}
	}
	reason := "changed"
	if p.lease.Fresh() {
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

// logDecision writes the line of one decision.
func (p *Proposer) logDecision(sequence uint64, d placement.Decision) {
	if d.Action == placement.ActionShort {
		p.logShort(d)
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

// logShort writes the line of a shortage that is new or has changed.
func (p *Proposer) logShort(d placement.Decision) {
	if p.short[d.Assignment] == d.Reason {
		return
	}
	p.short[d.Assignment] = d.Reason
	p.options.Log.Warn(event.PlacementShort, observe.Fields{
		"model": d.Assignment.Model, "version": d.Assignment.Version, "reason": d.Reason,
	})
}

// logNotWritten writes the line of a plan that did not take effect.
func (p *Proposer) logNotWritten(plan placement.Plan, err error) {
	p.metrics.late.Inc(1)
	p.options.Log.Warn(event.PlacementNotWritten, observe.Fields{"sequence": plan.Sequence, "error": err.Error()})
}

// logSilent writes a line for each engine that was given up in this round.
func (p *Proposer) logSilent(hosts []fleet.Host) {
	now := p.now()
	for _, host := range hosts {
		known := p.engines.known[core.UpstreamID(host.Name)]
		if known.givenUpLogged || !p.engines.givenUp(now, known) {
			continue
		}
		known.givenUpLogged = true
		p.options.Log.Warn(event.PlacementEngineSilent, observe.Fields{
			"upstream": host.Name, "addr": host.Addr, "silent_ms": (now - known.silentSince).Milliseconds(),
		})
	}
}

// logStuck writes a line for each load that was given up in this round.
func (p *Proposer) logStuck(stuck []placement.Assignment) {
	for _, a := range stuck {
		p.options.Log.Warn(event.PlacementLoadStuck, observe.Fields{
			"upstream": a.Upstream, "model": a.Model, "version": a.Version, "waited_ms": p.options.Settings.LoadMS,
		})
	}
}
