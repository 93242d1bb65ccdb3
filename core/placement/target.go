package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// target returns the assignments that the fleet should reach over any number of waves,
// and a decision for each new assignment.
//
// The target is stable: an assignment of the current plan stays as long as its engine
// takes part and its model is wanted there. New assignments depend on the input alone,
// so two proposers with the same input derive the same plan.
func (f *fleet) target() ([]Assignment, []Decision) {
	var assignments []Assignment
	models := f.models()
	for _, model := range models {
		assignments = append(assignments, f.keptAssignments(model)...)
	}
	for _, a := range assignments {
		f.assigned[a.Upstream]++
	}
	var decisions []Decision
	for _, model := range models {
		added, reasons := f.missingAssignments(model, assignments)
		assignments = append(assignments, added...)
		decisions = append(decisions, reasons...)
	}
	return assignments, decisions
}

// models returns the wanted models in a deterministic order.
func (f *fleet) models() []config.Model {
	return slices.SortedFunc(slices.Values(f.input.Models), func(a, b config.Model) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
}

// keptAssignments returns the current assignments of a model that stay. If there are more
// than wanted, those that are not loaded are removed first, then those in the zone with
// the most replicas.
func (f *fleet) keptAssignments(model config.Model) []Assignment {
	var kept []Assignment
	for _, a := range f.input.Current.Assignments {
		if f.canKeep(model, a) && !slices.Contains(kept, a) {
			kept = append(kept, a)
		}
	}
	slices.SortFunc(kept, compareAssignments)
	for len(kept) > model.Replicas {
		kept = slices.Delete(kept, f.leastUseful(kept), f.leastUseful(kept)+1)
	}
	return kept
}

// canKeep reports whether a current assignment is for the model, and its engine takes part
// and is not stuck loading the model.
func (f *fleet) canKeep(model config.Model, a Assignment) bool {
	engine, ok := f.engines[a.Upstream]
	wanted := a.Model == model.Name && a.Version == model.Version && engine.Service == model.Service
	return ok && wanted && !f.stuck(a)
}

// leastUseful returns the index of the assignment of kept that is to be removed first.
func (f *fleet) leastUseful(kept []Assignment) int {
	zones := f.countByZone(kept)
	worst := 0
	for i, a := range kept {
		order := cmp.Or(
			compareBool(f.loaded(kept[worst]), f.loaded(a)),
			cmp.Compare(zones[f.zoneOf(a)], zones[f.zoneOf(kept[worst])]),
		)
		if order > 0 {
			worst = i
		}
	}
	return worst
}

// countByZone counts assignments by zone.
func (f *fleet) countByZone(assignments []Assignment) map[string]int {
	zones := make(map[string]int)
	for _, a := range assignments {
		zones[f.zoneOf(a)]++
	}
	return zones
}

// missingAssignments returns assignments for the replicas of a model that the given
// assignments lack, and a decision for each. If no engine has capacity for a replica, a
// decision with ActionShort says so.
func (f *fleet) missingAssignments(model config.Model, assignments []Assignment) ([]Assignment, []Decision) {
	wanted := ModelVersion{Model: model.Name, Version: model.Version}
	existing := slices.DeleteFunc(slices.Clone(assignments), func(a Assignment) bool {
		return a.Assigned() != wanted || f.engines[a.Upstream].Service != model.Service
	})
	var added []Assignment
	var decisions []Decision
	for len(existing)+len(added) < model.Replicas {
		replicas := slices.Concat(existing, added)
		ranked := f.rank(model, replicas)
		if len(ranked) == 0 {
			short := Assignment{Model: model.Name, Version: model.Version}
			reason := fmt.Sprintf("%d of %d replicas placed, no engine of %s has room", len(replicas), model.Replicas, model.Service)
			decisions = append(decisions, Decision{Action: ActionShort, Assignment: short, Reason: reason})
			break
		}
		chosen := Assignment{Upstream: ranked[0], Model: model.Name, Version: model.Version}
		f.assigned[chosen.Upstream]++
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

// rank returns the engines that can take another replica of a model, best first. The
// criteria are: the zone with the fewest replicas, to limit the impact of a zone failure;
// the model already loaded, which needs no load; the fewest assignments; then a hash, so
// that all proposers agree and models spread over engines.
func (f *fleet) rank(model config.Model, replicas []Assignment) []core.UpstreamID {
	zones := f.countByZone(replicas)
	taken := make(map[core.UpstreamID]bool)
	for _, a := range replicas {
		taken[a.Upstream] = true
	}
	candidate := func(e Engine) Assignment {
		return Assignment{Upstream: e.Upstream, Model: model.Name, Version: model.Version}
	}
	candidates := slices.DeleteFunc(slices.Clone(f.input.Engines), func(e Engine) bool {
		unsuitable := e.Service != model.Service || !e.Known || taken[e.Upstream]
		return unsuitable || f.full(e.Upstream) || f.stuck(candidate(e))
	})
	slices.SortFunc(candidates, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			compareBool(f.loaded(candidate(b)), f.loaded(candidate(a))),
			cmp.Compare(f.assigned[a.Upstream], f.assigned[b.Upstream]),
			cmp.Compare(hashScore(candidate(b)), hashScore(candidate(a))),
			cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	names := make([]core.UpstreamID, len(candidates))
	for i, engine := range candidates {
		names[i] = engine.Upstream
	}
	return names
}

// actionFor returns ActionAssign if the assigned model is loaded already, else ActionLoad.
func (f *fleet) actionFor(chosen Assignment) Action {
	if f.loaded(chosen) {
		return ActionAssign
	}
	return ActionLoad
}

// reason returns the reason for choosing an engine.
func (f *fleet) reason(chosen Assignment, replicas []Assignment) string {
	zone := f.zoneOf(chosen)
	return fmt.Sprintf("zone %s has %d replicas, the engine is assigned %d others",
		zone, f.countByZone(replicas)[zone], f.assigned[chosen.Upstream]-1)
}

// hashScore returns the rendezvous hashing score of an assignment.
func hashScore(a Assignment) uint64 {
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
