package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// target returns the assignments that the fleet should come to, however long
// that takes, with the reason for each that is new.
//
// It is stable: an assignment of the plan in force stays as long as its engine
// takes part and its model is wanted there. All that is new follows from the
// input alone, so two proposers with the same input plan the same.
func (f *fleet) target() ([]Assignment, []Decision) {
	var assignments []Assignment
	models := f.models()
	for _, model := range models {
		assignments = append(assignments, f.kept(model)...)
	}
	for _, a := range assignments {
		f.held[a.Upstream]++
	}
	var decisions []Decision
	for _, model := range models {
		added, why := f.added(model, assignments)
		assignments = append(assignments, added...)
		decisions = append(decisions, why...)
	}
	return assignments, decisions
}

// models returns the wanted models in a fixed order.
func (f *fleet) models() []config.Model {
	return slices.SortedFunc(slices.Values(f.input.Models), func(a, b config.Model) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
}

// kept returns the present assignments of a model that stay. If there are more
// than wanted then those go first that are not loaded, then those in the zone
// that has most.
func (f *fleet) kept(model config.Model) []Assignment {
	var kept []Assignment
	for _, a := range f.input.Present.Assignments {
		if f.mayStay(model, a) && !slices.Contains(kept, a) {
			kept = append(kept, a)
		}
	}
	slices.SortFunc(kept, compareAssignments)
	for len(kept) > model.Replicas {
		kept = slices.Delete(kept, f.leastUseful(kept), f.leastUseful(kept)+1)
	}
	return kept
}

// mayStay tells whether a present assignment is one of a model on an engine that
// takes part and has not failed to load it.
func (f *fleet) mayStay(model config.Model, a Assignment) bool {
	engine, ok := f.engines[a.Upstream]
	wanted := a.Model == model.Name && a.Version == model.Version && engine.Service == model.Service
	return ok && wanted && !f.stuck(a)
}

// leastUseful returns the index of the assignment that is missed least.
func (f *fleet) leastUseful(kept []Assignment) int {
	zones := f.perZone(kept)
	worst := 0
	for i, a := range kept {
		least := cmp.Or(
			compareBool(f.loaded(kept[worst]), f.loaded(a)),
			cmp.Compare(zones[f.zoneOf(a)], zones[f.zoneOf(kept[worst])]),
		)
		if least > 0 {
			worst = i
		}
	}
	return worst
}

// perZone counts assignments by zone.
func (f *fleet) perZone(assignments []Assignment) map[string]int {
	zones := make(map[string]int)
	for _, a := range assignments {
		zones[f.zoneOf(a)]++
	}
	return zones
}

// added returns the replicas of a model that are missing in the assignments.
func (f *fleet) added(model config.Model, assignments []Assignment) ([]Assignment, []Decision) {
	of := ModelVersion{Model: model.Name, Version: model.Version}
	present := slices.DeleteFunc(slices.Clone(assignments), func(a Assignment) bool {
		return a.Holds() != of || f.engines[a.Upstream].Service != model.Service
	})
	var added []Assignment
	var decisions []Decision
	for len(present)+len(added) < model.Replicas {
		replicas := slices.Concat(present, added)
		ranked := f.rank(model, replicas)
		if len(ranked) == 0 {
			short := Assignment{Model: model.Name, Version: model.Version}
			detail := fmt.Sprintf("%d of %d replicas placed, no engine of %s has room", len(replicas), model.Replicas, model.Service)
			decisions = append(decisions, Decision{Action: ActionShort, Assignment: short, Reason: detail})
			break
		}
		chosen := Assignment{Upstream: ranked[0], Model: model.Name, Version: model.Version}
		f.held[chosen.Upstream]++
		added = append(added, chosen)
		decisions = append(decisions, Decision{
			Action:       f.actionFor(chosen),
			Assignment:   chosen,
			Reason:       f.reason(chosen, replicas),
			Alternatives: ranked[1:],
		})
	}
	return added, decisions
}

// rank returns the engines that can take another replica of a model, the best
// first: the zone with the fewest replicas, so that a lost zone costs least; an
// engine that holds it already, since that costs no load; the engine with the
// least to hold; then a hash, so that all proposers agree and models spread.
func (f *fleet) rank(model config.Model, replicas []Assignment) []core.UpstreamID {
	zones := f.perZone(replicas)
	taken := make(map[core.UpstreamID]bool)
	for _, a := range replicas {
		taken[a.Upstream] = true
	}
	candidate := func(e Engine) Assignment {
		return Assignment{Upstream: e.Upstream, Model: model.Name, Version: model.Version}
	}
	fit := slices.DeleteFunc(slices.Clone(f.input.Engines), func(e Engine) bool {
		wrong := e.Service != model.Service || !e.Known || taken[e.Upstream]
		return wrong || f.full(e.Upstream) || f.stuck(candidate(e))
	})
	slices.SortFunc(fit, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			compareBool(f.loaded(candidate(b)), f.loaded(candidate(a))),
			cmp.Compare(f.held[a.Upstream], f.held[b.Upstream]),
			cmp.Compare(weight(candidate(b)), weight(candidate(a))),
			cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	names := make([]core.UpstreamID, len(fit))
	for i, engine := range fit {
		names[i] = engine.Upstream
	}
	return names
}

// actionFor returns whether a new assignment needs a load.
func (f *fleet) actionFor(chosen Assignment) Action {
	if f.loaded(chosen) {
		return ActionAssign
	}
	return ActionLoad
}

// reason says why an engine was chosen.
func (f *fleet) reason(chosen Assignment, replicas []Assignment) string {
	zone := f.zoneOf(chosen)
	return fmt.Sprintf("zone %s has %d replicas, the engine is assigned %d others",
		zone, f.perZone(replicas)[zone], f.held[chosen.Upstream]-1)
}

// weight is the rendezvous hash of an assignment.
func weight(a Assignment) uint64 {
	return xxhash.Sum64String(a.Model + "\x00" + a.Version + "\x00" + string(a.Upstream))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
