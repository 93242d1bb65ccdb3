package placement

import (
	"slices"
)

// Propose returns the next plan, its changes with their reasons, and whether it differs
// from the current plan.
//
// The plan moves towards the target in waves: it never has more unfinished loads than the
// rules allow, so that the weight store's rate limit is not exceeded, and an assignment
// that is to be dropped stays until its replacements serve.
//
// A proposer whose configuration is older than that of the current plan changes nothing,
// because it would undo decisions based on the newer configuration.
func Propose(in Input) (Plan, []Decision, bool) {
	if in.Revision < in.Current.Revision {
		return in.Current, nil, false
	}
	target, decisions := newFleet(in).target()
	w := newWave(in, target)
	w.keepTargeted()
	w.addMissing()
	w.keepUntilReplaced()
	decisions = w.explain(decisions)
	slices.SortFunc(w.next, compareAssignments)
	changed := !sameAssignments(w.next, in.Current.Assignments)
	plan := Plan{
		Sequence:    in.Current.Sequence + 1,
		Revision:    in.Revision,
		Proposer:    in.Proposer,
		Assignments: w.next,
	}
	return plan, decisions, changed
}

// wave is one step from the current plan towards the target. An assignment serves if its
// engine has the model version loaded.
type wave struct {
	*fleet
	// target holds the assignments to reach eventually, and next those of the next plan.
	target []Assignment
	next   []Assignment
	// loads counts the unfinished loads: the assignments of next that are not loaded, and
	// the abandoned loads.
	loads int
	// deferred holds the assignments of the target whose loads must wait for a later wave.
	deferred []Assignment
}

// newWave returns a wave without assignments.
func newWave(in Input, target []Assignment) *wave {
	return &wave{fleet: newFleet(in), target: target}
}

// add adds an assignment to the next plan.
func (w *wave) add(a Assignment) {
	w.next = append(w.next, a)
	w.assigned[a.Upstream]++
	if !w.loaded(a) {
		w.loads++
	}
}

// keepTargeted adds the assignments that are in the current plan and in the target.
func (w *wave) keepTargeted() {
	for _, a := range w.target {
		if slices.Contains(w.input.Current.Assignments, a) {
			w.add(a)
		}
	}
}

// abandonedLoads counts the assignments in the current plan that are not loaded and no
// longer in the target. Their engines may continue to load until they receive the next
// plan.
func (w *wave) abandonedLoads() int {
	count := 0
	for _, a := range w.input.Current.Assignments {
		_, takesPart := w.engines[a.Upstream]
		if takesPart && !slices.Contains(w.target, a) && !w.loaded(a) {
			count++
		}
	}
	return count
}

// addMissing adds the assignments that are in the target but not in the current plan, as far as
// the limit on concurrent loads allows. Those that are loaded already don't count towards
// the limit.
func (w *wave) addMissing() {
	w.loads += w.abandonedLoads()
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

// keepUntilReplaced adds the assignments that are in the current plan and serve but are
// not in the target, as long as not all of the target's replicas of the model serve and
// the engine has capacity left. They need no load.
func (w *wave) keepUntilReplaced() {
	for _, a := range w.input.Current.Assignments {
		if slices.Contains(w.next, a) || !w.loaded(a) {
			continue
		}
		if w.targetServes(a) || w.full(a.Upstream) {
			continue
		}
		w.add(a)
	}
}

// targetServes reports whether all of the target's replicas of the assignment's model
// serve, in whichever version. It is true for a model without replicas in the target.
func (w *wave) targetServes(a Assignment) bool {
	for _, want := range w.target {
		if want.Model == a.Model && !w.loaded(want) {
			return false
		}
	}
	return true
}

// explain returns the decisions of this wave: the planned ones, in which deferred loads
// are marked as such, and a drop for each assignment that the next plan lacks.
func (w *wave) explain(planned []Decision) []Decision {
	var decisions []Decision
	for _, d := range planned {
		if d.Action == ActionLoad && slices.Contains(w.deferred, d.Assignment) {
			d.Action = ActionDefer
			d.Reason += "; the limit on concurrent loads is reached"
		}
		decisions = append(decisions, d)
	}
	for _, a := range w.input.Current.Assignments {
		if !slices.Contains(w.next, a) {
			decisions = append(decisions, Decision{Action: ActionDrop, Assignment: a, Reason: w.dropReason(a)})
		}
	}
	return decisions
}

// dropReason returns the reason why an assignment is not in the next plan.
func (w *wave) dropReason(a Assignment) string {
	_, takesPart := w.engines[a.Upstream]
	switch {
	case !takesPart:
		return "the engine is leaving, drained or gone"
	case w.stuck(a):
		return "the load took too long"
	case w.targetServes(a):
		return "its replacements serve, or the model is not wanted"
	case !w.loaded(a):
		return "it is not loaded and not wanted here"
	default:
		return "the engine's capacity is needed"
	}
}
