package report

import (
	"fmt"

	"acaciawinch/standin/bench/scene"
)

// The targets.
const (
	steadyTarget    = 0.999
	othersTarget    = 0.99
	faultTarget     = 0.99
	extraLimit      = 0.03
	goodputTarget   = 0.95
	refusalLimitMS  = 50
	targetsExceeded = "met"
	targetsMissed   = "MISSED"
)

// Check is one target set against what was measured.
type Check struct {
	Size     string `json:"size"`
	Case     string `json:"case"`
	Target   string `json:"target"`
	Measured string `json:"measured"`
	Met      bool   `json:"met"`
}

// Checks judges the product's own policy by all targets that the run has cases for.
func (r Run) Checks() []Check {
	var checks []Check
	for _, g := range r.groups() {
		ours, ok := r.find(g.size, g.name, scene.Ours)
		if !ok {
			continue
		}
		checks = append(checks, r.caseChecks(ours)...)
		checks = append(checks, aheadChecks(g, ours)...)
		checks = append(checks, checkOf(ours, "nothing lost, doubled, crossed or falsely not run",
			fmt.Sprintf("%d violations", ours.Violations), ours.Violations == 0))
	}
	return checks
}

// checkOf returns one check of a trial.
func checkOf(t Trial, target, measured string, met bool) Check {
	return Check{Size: t.Size, Case: t.Case, Target: target, Measured: measured, Met: met}
}

// caseChecks judges a trial by its case's own targets.
func (r Run) caseChecks(t Trial) []Check {
	switch t.Case {
	case scene.Steady:
		return []Check{attainmentCheck(t, t.Judged.Attainment, steadyTarget, "attainment")}
	case scene.Burst:
		return []Check{attainmentCheck(t, t.Others.Attainment, othersTarget, "attainment of the other workspaces")}
	case scene.Straggler, scene.FrozenUpstream, scene.FrozenSide:
		extra := t.Generation().Extra
		return []Check{
			attainmentCheck(t, t.Judged.Attainment, faultTarget, "attainment from 2 s on"),
			checkOf(t, "under 3% extra generation passes", percent(extra), extra < extraLimit),
		}
	case scene.Overload:
		return r.overloadChecks(t)
	default:
		return nil
	}
}

// attainmentCheck judges an attainment.
func attainmentCheck(t Trial, measured, target float64, what string) Check {
	return checkOf(t, fmt.Sprintf("%s at least %.1f%%", what, 100*target), percent(measured), measured >= target)
}

// overloadChecks judges goodput against that at capacity, and refusals.
func (r Run) overloadChecks(t Trial) []Check {
	refusal := t.Judged.Refusal.P99
	checks := []Check{checkOf(t, "refusals under 50 ms",
		fmt.Sprintf("p50 %.0f ms, p99 %.0f ms, max %.0f ms of %d", t.Judged.Refusal.P50, refusal, t.Judged.Refusal.Max, t.Judged.Refusal.Count),
		refusal < refusalLimitMS)}
	capacity, ok := r.find(t.Size, scene.Capacity, t.Policy)
	if !ok || capacity.Goodput == 0 {
		return checks
	}
	share := t.Goodput / capacity.Goodput
	return append(checks, checkOf(t, "at least 95% of capacity's goodput",
		fmt.Sprintf("%s (%.1f/s of %.1f/s)", percent(share), t.Goodput, capacity.Goodput), share >= goodputTarget))
}

// merit is what policies are ranked by in a case: the higher value is ahead, and
// of equal ones the lower time.
type merit struct {
	what  string
	value float64
	p95MS float64
}

// meritOf returns the merit of a trial.
func meritOf(t Trial) merit {
	switch t.Case {
	case scene.Burst:
		return merit{"attainment of the other workspaces", t.Others.Attainment, t.Others.Latency.P95}
	case scene.Overload, scene.Capacity:
		return merit{"goodput by capacity", t.Goodput / t.Capacity, t.Judged.Latency.P95}
	default:
		return merit{"attainment", t.Judged.Attainment, t.Judged.Latency.P95}
	}
}

// ahead tells whether m is ahead of other.
func (m merit) ahead(other merit) bool {
	if m.value != other.value {
		return m.value > other.value
	}
	return m.p95MS < other.p95MS
}

// aheadChecks compares a trial with the baselines of its group.
func aheadChecks(g group, ours Trial) []Check {
	mine := meritOf(ours)
	var checks []Check
	for _, other := range g.trials {
		if other.Policy == ours.Policy {
			continue
		}
		theirs := meritOf(other)
		measured := fmt.Sprintf("%s against %s; whole answer p95 %.0f ms against %.0f ms",
			percent(mine.value), percent(theirs.value), mine.p95MS, theirs.p95MS)
		checks = append(checks, checkOf(ours, mine.what+" ahead of "+other.Policy, measured, mine.ahead(theirs)))
	}
	return checks
}

// TargetTable returns the checks as a table.
func (r Run) TargetTable() Table {
	t := Table{Title: "Targets", Header: []string{"size", "case", "target", "measured", ""}}
	for _, c := range r.Checks() {
		verdict := targetsMissed
		if c.Met {
			verdict = targetsExceeded
		}
		t.Rows = append(t.Rows, []string{c.Size, c.Case, c.Target, c.Measured, verdict})
	}
	return t
}
