package place

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/wire/wirepb"
)

// Facts is what a plan is made from: the state of the fleet at one moment, as received by
// the feed.
type Facts struct {
	Revision core.Revision
	Models   []config.Model
	Hosts    []fleet.Host
	// Drained reports whether operators have drained an upstream.
	Drained func(upstream string) bool
}

// engine is the state of one engine that the proposer keeps between rounds.
type engine struct {
	host   fleet.Host
	loaded []placement.ModelVersion
	// probedAt is the time of the last probe; responded is set once the engine's sidecar has
	// responded to a probe.
	probedAt  time.Duration
	responded bool
	// silent is set while the engine's sidecar does not respond to probes; silentSince is
	// the time of the first failed probe after the last response.
	silent      bool
	silentSince time.Duration
	// silenceLogged is set once it was logged that the engine was silent for too long.
	silenceLogged bool
}

// holds reports whether the engine had loaded the model of an assignment when it last
// responded.
func (e *engine) holds(a placement.Assignment) bool { return slices.Contains(e.loaded, a.Assigned()) }

// engines is the state of all engines. It must be used by one goroutine only. Times are
// those of the process's monotonic clock.
type engines struct {
	settings Settings
	byID     map[core.UpstreamID]*engine
	// unfinishedSince holds, for each assignment whose model is not loaded yet, since when it
	// has been in force.
	unfinishedSince map[placement.Assignment]time.Duration
	// stuckUntil holds, for each assignment whose load got stuck, until when it is not tried
	// again.
	stuckUntil map[placement.Assignment]time.Duration
}

// newEngines returns the state without any engine.
func newEngines(settings Settings) *engines {
	return &engines{
		settings:        settings,
		byID:            make(map[core.UpstreamID]*engine),
		unfinishedSince: make(map[placement.Assignment]time.Duration),
		stuckUntil:      make(map[placement.Assignment]time.Duration),
	}
}

// update sets the engines from the host list: the upstreams of services that have models,
// except those that are leaving or drained.
func (e *engines) update(facts Facts) {
	services := make(map[string]bool)
	for _, model := range facts.Models {
		services[model.Service] = true
	}
	present := make(map[core.UpstreamID]bool)
	for _, host := range facts.Hosts {
		isEngine := host.Role == fleet.RoleUpstream && services[host.Service]
		if !isEngine || host.Leaving || facts.Drained(host.Name) {
			continue
		}
		id := core.UpstreamID(host.Name)
		present[id] = true
		if e.byID[id] == nil || e.byID[id].host.Addr != host.Addr {
			e.byID[id] = &engine{}
		}
		e.byID[id].host = host
	}
	for id := range e.byID {
		if !present[id] {
			delete(e.byID, id)
		}
	}
}

// toProbe returns the engines to probe in this round, at most ProbesPerRound: first those
// with unfinished loads and those that are silent or have never responded, then the
// others in the order of their last probe. In a small fleet these are all engines.
func (e *engines) toProbe(plan placement.Plan) []fleet.Host {
	urgent := make(map[core.UpstreamID]bool)
	for _, a := range plan.Assignments {
		if state := e.byID[a.Upstream]; state != nil && !state.holds(a) {
			urgent[a.Upstream] = true
		}
	}
	ids := make([]core.UpstreamID, 0, len(e.byID))
	for id, state := range e.byID {
		ids = append(ids, id)
		urgent[id] = urgent[id] || state.silent || !state.responded
	}
	slices.SortFunc(ids, func(a, b core.UpstreamID) int {
		if urgent[a] != urgent[b] {
			if urgent[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(e.byID[a].probedAt, e.byID[b].probedAt), cmp.Compare(a, b))
	})
	hosts := make([]fleet.Host, 0, len(ids))
	for _, id := range ids[:min(len(ids), e.settings.ProbesPerRound)] {
		hosts = append(hosts, e.byID[id].host)
	}
	return hosts
}

// recordReply records the reply to a probe; nil means that there was none. The loaded
// models are replaced as a whole, because a restarted sidecar may have none.
func (e *engines) recordReply(now time.Duration, upstream core.UpstreamID, reply *wirepb.ProbeReply) {
	state := e.byID[upstream]
	state.probedAt = now
	if reply == nil {
		if !state.silent {
			state.silent = true
			state.silentSince = now
		}
		return
	}
	state.silent = false
	state.silenceLogged = false
	state.responded = true
	state.loaded = nil
	for _, model := range reply.GetLoad().GetModels() {
		state.loaded = append(state.loaded, placement.ModelVersion{Model: model.GetModel(), Version: model.GetVersion()})
	}
}

// stuckRetryFactor is for how long an assignment whose load got stuck is not tried again,
// in multiples of LoadMS.
const stuckRetryFactor = 2

// recordLoads records since when the plan's loads have been unfinished, and returns the
// assignments whose loads have just exceeded LoadMS: they got stuck.
func (e *engines) recordLoads(now time.Duration, plan placement.Plan) []placement.Assignment {
	unfinishedSince := make(map[placement.Assignment]time.Duration)
	loadTimeout := milliseconds(e.settings.LoadMS)
	var stuck []placement.Assignment
	for _, a := range plan.Assignments {
		state := e.byID[a.Upstream]
		if state == nil || state.holds(a) {
			continue
		}
		since, ok := e.unfinishedSince[a]
		if !ok {
			since = now
		}
		unfinishedSince[a] = since
		if now-since > loadTimeout {
			e.stuckUntil[a] = now + stuckRetryFactor*loadTimeout
			stuck = append(stuck, a)
		}
	}
	e.unfinishedSince = unfinishedSince
	return stuck
}

// input returns the input from which the plan is computed.
func (e *engines) input(now time.Duration, facts Facts, proposer string) placement.Input {
	in := placement.Input{
		Revision: facts.Revision,
		Models:   facts.Models,
		Proposer: proposer,
		Rules: placement.Rules{
			MaxLoads:        e.settings.MaxLoads,
			ModelsPerEngine: e.settings.ModelsPerEngine,
		},
	}
	for id, state := range e.byID {
		if e.silentTooLong(now, state) {
			continue
		}
		in.Engines = append(in.Engines, placement.Engine{
			Upstream: id,
			Service:  state.host.Service,
			Zone:     state.host.Zone,
			Loaded:   state.loaded,
			Known:    state.responded && !state.silent,
		})
	}
	slices.SortFunc(in.Engines, func(a, b placement.Engine) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for a, until := range e.stuckUntil {
		if now > until {
			delete(e.stuckUntil, a)
			continue
		}
		in.Stuck = append(in.Stuck, a)
	}
	return in
}

// silentTooLong reports whether an engine has been silent for longer than the grace period.
func (e *engines) silentTooLong(now time.Duration, state *engine) bool {
	return state.silent && now-state.silentSince > milliseconds(e.settings.GraceMS)
}
