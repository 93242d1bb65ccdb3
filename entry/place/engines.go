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

// Facts is what the feed knows of the fleet at one moment.
type Facts struct {
	Revision core.Revision
	Models   []config.Model
	Hosts    []fleet.Host
	// Drained tells whether operators have taken an upstream out.
	Drained func(upstream string) bool
}

// engine is what the proposer remembers of one engine between rounds.
type engine struct {
	host   fleet.Host
	loaded []placement.ModelVersion
	// askedAt is the last question; answered is set once a side has answered.
	askedAt  time.Duration
	answered bool
	// silentSince is the first unanswered question after the last answer.
	silent      bool
	silentSince time.Duration
	// givenUpLogged is set once the log says that the silence was too long.
	givenUpLogged bool
}

// holds tells whether the engine held what an assignment names when it last
// answered.
func (e *engine) holds(a placement.Assignment) bool { return slices.Contains(e.loaded, a.Holds()) }

// engines is the proposer's picture of all engines. It is for one goroutine; the
// clock is the process's own.
type engines struct {
	settings Settings
	known    map[core.UpstreamID]*engine
	// waiting is since when a load has been in force without being finished.
	waiting map[placement.Assignment]time.Duration
	// stuck is until when an assignment is not tried again.
	stuck map[placement.Assignment]time.Duration
}

// newEngines returns an empty picture.
func newEngines(settings Settings) *engines {
	return &engines{
		settings: settings,
		known:    make(map[core.UpstreamID]*engine),
		waiting:  make(map[placement.Assignment]time.Duration),
		stuck:    make(map[placement.Assignment]time.Duration),
	}
}

// update takes the engines over from the host list: upstreams of a service that
// has models, unless they are leaving or drained.
func (e *engines) update(facts Facts) {
	services := make(map[string]bool)
	for _, model := range facts.Models {
		services[model.Service] = true
	}
	present := make(map[core.UpstreamID]bool)
	for _, host := range facts.Hosts {
		takesPart := host.Role == fleet.RoleUpstream && services[host.Service]
		if !takesPart || host.Leaving || facts.Drained(host.Name) {
			continue
		}
		id := core.UpstreamID(host.Name)
		present[id] = true
		if e.known[id] == nil || e.known[id].host.Addr != host.Addr {
			e.known[id] = &engine{}
		}
		e.known[id].host = host
	}
	for id := range e.known {
		if !present[id] {
			delete(e.known, id)
		}
	}
}

// toAsk returns the engines to ask in this round, at most the bound: first those
// with loads in force that are not finished and those that are silent or were
// never asked, then those asked longest ago. In a small fleet that is all.
func (e *engines) toAsk(plan placement.Plan) []fleet.Host {
	urgent := make(map[core.UpstreamID]bool)
	for _, a := range plan.Assignments {
		if known := e.known[a.Upstream]; known != nil && !known.holds(a) {
			urgent[a.Upstream] = true
		}
	}
	ids := make([]core.UpstreamID, 0, len(e.known))
	for id, known := range e.known {
		ids = append(ids, id)
		urgent[id] = urgent[id] || known.silent || !known.answered
	}
	slices.SortFunc(ids, func(a, b core.UpstreamID) int {
		if urgent[a] != urgent[b] {
			if urgent[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(e.known[a].askedAt, e.known[b].askedAt), cmp.Compare(a, b))
	})
	hosts := make([]fleet.Host, 0, len(ids))
	for _, id := range ids[:min(len(ids), e.settings.ProbesPerRound)] {
		hosts = append(hosts, e.known[id].host)
	}
	return hosts
}

// note takes one side's answer over; a nil reply means that there was none. A
// side that was restarted may hold nothing: its answer replaces all.
func (e *engines) note(now time.Duration, upstream core.UpstreamID, reply *wirepb.ProbeReply) {
	known := e.known[upstream]
	known.askedAt = now
	if reply == nil {
		if !known.silent {
			known.silent = true
			known.silentSince = now
		}
		return
	}
	known.silent = false
	known.givenUpLogged = false
	known.answered = true
	known.loaded = nil
	for _, model := range reply.GetLoad().GetModels() {
		known.loaded = append(known.loaded, placement.ModelVersion{Model: model.GetModel(), Version: model.GetVersion()})
	}
}

// stuckRounds is for how many load times an assignment that got stuck is not
// tried again.
const stuckRounds = 2

// watchLoads notes how long loads have been in force, and returns those that
// became stuck just now.
func (e *engines) watchLoads(now time.Duration, plan placement.Plan) []placement.Assignment {
	waiting := make(map[placement.Assignment]time.Duration)
	limit := milliseconds(e.settings.LoadMS)
	var stuck []placement.Assignment
	for _, a := range plan.Assignments {
		known := e.known[a.Upstream]
		if known == nil || known.holds(a) {
			continue
		}
		since, ok := e.waiting[a]
		if !ok {
			since = now
		}
		waiting[a] = since
		if now-since > limit {
			e.stuck[a] = now + stuckRounds*limit
			stuck = append(stuck, a)
		}
	}
	e.waiting = waiting
	return stuck
}

// input returns what a plan follows from.
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
	for id, known := range e.known {
		if e.givenUp(now, known) {
			continue
		}
		in.Engines = append(in.Engines, placement.Engine{
			Upstream: id,
			Service:  known.host.Service,
			Zone:     known.host.Zone,
			Loaded:   known.loaded,
			Known:    known.answered && !known.silent,
		})
	}
	slices.SortFunc(in.Engines, func(a, b placement.Engine) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for a, until := range e.stuck {
		if now > until {
			delete(e.stuck, a)
			continue
		}
		in.Stuck = append(in.Stuck, a)
	}
	return in
}

// givenUp tells whether an engine has been silent for the whole grace.
func (e *engines) givenUp(now time.Duration, known *engine) bool {
	return known.silent && now-known.silentSince > milliseconds(e.settings.GraceMS)
}
