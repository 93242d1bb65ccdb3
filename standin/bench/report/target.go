package report

import (
	"fmt"

	"acaciawinch/standin/bench/scenario"
)

// The targets, and the verdicts on them as the tables show them.
const (
	steadyTarget   = 0.999
	othersTarget   = 0.99
	faultTarget    = 0.99
	extraLimit     = 0.03
	goodputTarget  = 0.95
	refusalLimitMS = 50
	verdictMet     = "met"
	verdictMissed  = "MISSED"
)

// Check is the comparison of one target with the measured value.
type Check struct {
	Size     string `json:"size"`
	Case     string `json:"case"`
	Target   string `json:"target"`
	Measured string `json:"measured"`
	Met      bool   `json:"met"`
}

// Checks compares the product's own policy with all targets that the run has cases
// for.
func (r Run) Checks() []Check {
	var checks []Check
	for _, g := range r.groups() {
		ours, ok := r.find(g.size, g.name, scenario.Ours)
		if !ok {
			continue
		}
		checks = append(checks, r.caseChecks(ours)...)
		checks = append(checks, baselineChecks(g, ours)...)
		checks = append(checks, checkOf(ours, "nothing lost, doubled, crossed or falsely not run",
			fmt.Sprintf("%d violations", ours.Violations), ours.Violations == 0))
	}
	return checks
}

// checkOf returns one check of a trial.
func checkOf(t Trial, target, measured string, met bool) Check {
	return Check{Size: t.Size, Case: t.Case, Target: target, Measured: measured, Met: met}
}

// caseChecks checks a trial against the targets of its case.
func (r Run) caseChecks(t Trial) []Check {
	switch t.Case {
	case scenario.Steady:
		return []Check{attainmentCheck(t, t.Judged.Attainment, steadyTarget, "attainment")}
	case scenario.Burst:
		return []Check{attainmentCheck(t, t.Others.Attainment, othersTarget, "attainment of the other workspaces")}
	case scenario.Straggler, scenario.FrozenUpstream, scenario.FrozenSide:
		extra := t.Generation().Extra
		return []Check{
			attainmentCheck(t, t.Judged.Attainment, faultTarget, "attainment from 2 s on"),
			checkOf(t, "under 3% extra generation passes", percent(extra), extra < extraLimit),
		}
	case scenario.Overload:
		return r.overloadChecks(t)
	default:
		return nil
	}
}

// attainmentCheck checks a measured attainment against its target.
func attainmentCheck(t Trial, measured, target float64, label string) Check {
	return checkOf(t, fmt.Sprintf("%s at least %.1f%%", label, 100*target), percent(measured), measured >= target)
}

// overloadChecks checks the time of refusals, and the goodput against that of the
// trial at capacity.
func (r Run) overloadChecks(t Trial) []Check {
	refusal := t.Judged.Refusal.P99
	checks := []Check{checkOf(t, "refusals under 50 ms",
		fmt.Sprintf("p50 %.0f ms, p99 %.0f ms, max %.0f ms of %d", t.Judged.Refusal.P50, refusal, t.Judged.Refusal.Max, t.Judged.Refusal.Count),
		refusal < refusalLimitMS)}
	capacity, ok := r.find(t.Size, scenario.Capacity, t.Policy)
	if !ok || capacity.Goodput == 0 {
		return checks
	}
	share := t.Goodput / capacity.Goodput
	return append(checks, checkOf(t, "at least 95% of capacity's goodput",
		fmt.Sprintf("%s (%.1f/s of %.1f/s)", percent(share), t.Goodput, capacity.Goodput), share >= goodputTarget))
}

// score ranks the policies in a case: the higher value is ahead, and of equal
// values the lower 95th percentile of the latency.
type score struct {
	label string
	value float64
	p95MS float64
}

// scoreOf returns the score of a trial.
func scoreOf(t Trial) score {
	switch t.Case {
	case scenario.Burst:
		return score{"attainment of the other workspaces", t.Others.Attainment, t.Others.Latency.P95}
	case scenario.Overload, scenario.Capacity:
		return score{"goodput by capacity", t.Goodput / t.Capacity, t.Judged.Latency.P95}
	default:
		return score{"attainment", t.Judged.Attainment, t.Judged.Latency.P95}
	}
}

// ahead reports whether s ranks before other.
func (s score) ahead(other score) bool {
	if s.value != other.value {
		return s.value > other.value
	}
	return s.p95MS < other.p95MS
}

// baselineChecks checks that a trial is ahead of each baseline policy of its group.
func baselineChecks(g group, ours Trial) []Check {
	mine := scoreOf(ours)
	var checks []Check
	for _, other := range g.trials {
		if other.Policy == ours.Policy {
			continue
		}
		theirs := scoreOf(other)
		measured := fmt.Sprintf("%s against %s; whole answer p95 %.0f ms against %.0f ms",
			percent(mine.value), percent(theirs.value), mine.p95MS, theirs.p95MS)
		checks = append(checks, checkOf(ours, mine.label+" ahead of "+other.Policy, measured, mine.ahead(theirs)))
	}
	return checks
}

// TargetTable returns the checks as a table.
func (r Run) TargetTable() Table {
	t := Table{Title: "Targets", Header: []string{"size", "case", "target", "measured", ""}}
	for _, c := range r.Checks() {
		verdict := verdictMissed
		if c.Met {
			verdict = verdictMet
		}
		t.Rows = append(t.Rows, []string{c.Size, c.Case, c.Target, c.Measured, verdict})
	}
	return t
}
