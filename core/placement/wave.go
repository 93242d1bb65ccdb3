package placement

import (
	"slices"
)

// Propose returns the next plan, what changes with it and why, and whether it
// differs from the plan in force.
//
// The plan in force goes towards the target in waves: it never names more loads
// that are not finished than the rules allow, so that the weight store's rate is
// not passed, and what is to be dropped stays until its replacement serves.
//
// A proposer whose configuration is older than that of the plan in force changes
// nothing: it would undo what a better informed one decided.
func Propose(in Input) (Plan, []Decision, bool) {
	if in.Revision < in.Present.Revision {
		return in.Present, nil, false
	}
	target, decisions := newFleet(in).target()
	w := newWave(in, target)
	w.keep()
	w.load()
	w.retain()
	decisions = w.explain(decisions)
	slices.SortFunc(w.next, compareAssignments)
	changed := !sameAssignments(w.next, in.Present.Assignments)
	plan := Plan{
		Sequence:    in.Present.Sequence + 1,
		Revision:    in.Revision,
		Proposer:    in.Proposer,
		Assignments: w.next,
	}
	return plan, decisions, changed
}

// wave is one step from the plan in force towards the target.
type wave struct {
	*fleet
	target []Assignment
	next   []Assignment
	// loads counts the assignments of next that are not loaded.
	loads    int
	deferred []Assignment
}

// newWave returns an empty step.
func newWave(in Input, target []Assignment) *wave {
	return &wave{fleet: newFleet(in), target: target}
}

// add puts an assignment into the next plan.
func (w *wave) add(a Assignment) {
	w.next = append(w.next, a)
	w.held[a.Upstream]++
	if !w.loaded(a) {
		w.loads++
	}
}

// keep takes over what is in force and in the target.
func (w *wave) keep() {
	for _, a := range w.target {
		if slices.Contains(w.input.Present.Assignments, a) {
			w.add(a)
		}
	}
}

// unfinished counts what is in force, not loaded, and no longer wanted. Its
// engine may go on loading until it hears of the next plan.
func (w *wave) unfinished() int {
	count := 0
	for _, a := range w.input.Present.Assignments {
		_, takesPart := w.engines[a.Upstream]
		if takesPart && !slices.Contains(w.target, a) && !w.loaded(a) {
			count++
		}
	}
	return count
}

// load adds what the target has beyond the plan in force, as far as the bound on
// loads allows. What is loaded already costs nothing.
func (w *wave) load() {
	w.loads += w.unfinished()
	for _, a := range w.target {
		if slices.Contains(w.next, a) {
			continue
		}
		if !w.loaded(a) && w.loads >= w.input.Rules.MaxLoads {
			w.deferred = append(w.deferred, a)
			continue
		}
		w.add(a)
	}
}

// retain takes over what is in force and serves, but is not in the target, as
// long as the target's replicas of the model don't all serve and the engine has
// room beside them. It counts as loaded and needs no load.
func (w *wave) retain() {
	for _, a := range w.input.Present.Assignments {
		if slices.Contains(w.next, a) || !w.loaded(a) {
			continue
		}
		if w.replaced(a) || w.full(a.Upstream) {
			continue
		}
		w.add(a)
	}
}

// replaced tells whether the target's replicas of a model all serve, in whatever
// version. A model that the target lacks has none to wait for.
func (w *wave) replaced(a Assignment) bool {
	for _, want := range w.target {
		if want.Model == a.Model && !w.loaded(want) {
			return false
		}
	}
	return true
}

// explain returns the decisions that take part in this step: loads that are in
// it, loads that wait, and drops.
func (w *wave) explain(planned []Decision) []Decision {
	var decisions []Decision
	for _, d := range planned {
		if d.Action == ActionLoad && slices.Contains(w.deferred, d.Assignment) {
			d.Action = ActionDefer
			d.Reason += "; the bound on loads at once is reached"
		}
		decisions = append(decisions, d)
	}
	for _, a := range w.input.Present.Assignments {
		if !slices.Contains(w.next, a) {
			decisions = append(decisions, Decision{Action: ActionDrop, Assignment: a, Reason: w.dropReason(a)})
		}
	}
	return decisions
}

// dropReason says why an assignment is not in the next plan.
func (w *wave) dropReason(a Assignment) string {
	_, takesPart := w.engines[a.Upstream]
	switch {
	case !takesPart:
		return "the engine is leaving, drained or gone"
	case w.stuck(a):
		return "the load took too long"
	case w.replaced(a):
		return "its replacements serve, or it is not wanted"
	case !w.loaded(a):
		return "it is not loaded and not wanted here"
	default:
		return "the engine's place is needed"
	}
}
