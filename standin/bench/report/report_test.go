package report

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/bench/account"
	"acaciawinch/standin/bench/scenario"
	"acaciawinch/standin/load"
)

// trialOf returns a trial with the given attainment and a matching goodput.
func trialOf(name, policy string, attainment float64) Trial {
	t := Trial{Size: "s", Case: name, Policy: policy, Capacity: 100, Engine: "llm"}
	t.Judged.Attainment = attainment
	t.Others.Attainment = attainment
	t.Goodput = 100 * attainment
	return t
}

// met reports for each target of the run whether it was met.
func met(r Run) map[string]bool {
	verdicts := map[string]bool{}
	for _, c := range r.Checks() {
		verdicts[c.Case+": "+c.Target] = c.Met
	}
	return verdicts
}

func TestTargetChecks(t *testing.T) {
	straggler := trialOf(scenario.Straggler, scenario.Ours, 0.995)
	straggler.Stages = []account.Stage{{Service: "llm", Extra: 0.03}}
	overload := trialOf(scenario.Overload, scenario.Ours, 0.94)
	overload.Judged.Refusal = load.Quantiles{Count: 9, P99: 49}
	broken := trialOf(scenario.Burst, scenario.Ours, 0.985)
	broken.Violations = 1
	got := met(Run{Trials: []Trial{
		trialOf(scenario.Steady, scenario.Ours, 0.9991), trialOf(scenario.Steady, "random", 1),
		straggler, trialOf(scenario.Straggler, "random", 0.99),
		trialOf(scenario.Capacity, scenario.Ours, 1),
		overload,
		broken,
	}})
	noViolations := "nothing lost, doubled, crossed or falsely not run"
	assert.DeepEqual(t, got, map[string]bool{
		"steady: attainment at least 99.9%":                        true,
		"steady: attainment ahead of random":                       false,
		"steady: " + noViolations:                                  true,
		"straggler: attainment from 2 s on at least 99.0%":         true,
		"straggler: under 3% extra generation passes":              false,
		"straggler: attainment ahead of random":                    true,
		"straggler: " + noViolations:                               true,
		"capacity: " + noViolations:                                true,
		"overload: refusals under 50 ms":                           true,
		"overload: at least 95% of capacity's goodput":             false,
		"overload: " + noViolations:                                true,
		"burst: attainment of the other workspaces at least 99.0%": false,
		"burst: " + noViolations:                                   false,
	})
}

func TestEqualAttainmentsAreRankedByLatency(t *testing.T) {
	for p95, want := range map[float64]bool{99: true, 100: false, 101: false} {
		ours, other := trialOf(scenario.Steady, scenario.Ours, 1), trialOf(scenario.Steady, "random", 1)
		ours.Judged.Latency.P95, other.Judged.Latency.P95 = p95, 100
		got := met(Run{Trials: []Trial{ours, other}})
		assert.Equal(t, got["steady: attainment ahead of random"], want)
	}
}

func TestRerunCasesReplaceAllEarlierTrials(t *testing.T) {
	run := Run{Trials: []Trial{trialOf(scenario.KilledZone, scenario.Ours, 1)}}
	run.Merge(Run{Trials: []Trial{
		trialOf(scenario.KilledZone, scenario.Ours, 0.5), trialOf(scenario.KilledZone, "random", 0.5),
		trialOf(scenario.Steady, scenario.Ours, 0.5), trialOf(scenario.Steady, "random", 0.5),
	}})
	assert.Equal(t, len(run.Trials), 3)
	assert.Equal(t, run.Trials[0].Case, scenario.Steady)
	assert.Equal(t, run.Trials[1].Policy, "random")
	assert.Equal(t, run.Trials[2].Judged.Attainment, 1.0)
}

func TestTablesHaveARowForEachPolicy(t *testing.T) {
	run := Run{Trials: []Trial{trialOf(scenario.KilledZone, scenario.Ours, 1), trialOf(scenario.KilledZone, "random", 0.5)}}
	tables := run.Tables()
	assert.Equal(t, len(tables), 6)
	var text, page strings.Builder
	for _, table := range tables {
		for _, row := range table.Rows {
			assert.Equal(t, len(row), len(table.Header), table.Title)
		}
		assert.NilError(t, table.WriteText(&text))
		assert.NilError(t, table.WriteMarkdown(&page))
	}
	assert.Equal(t, len(tables[1].Rows), 2)
	assert.Assert(t, strings.Contains(text.String(), "50.00%"))
	assert.Assert(t, strings.Contains(page.String(), "| random | 0.00 | 0 | 50.00% |"), page.String())
}
