// Package report holds the results of the bench, checks them against their targets
// and writes them as tables and as a Markdown page.
package report

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/standin/bench/account"
	"acaciawinch/standin/bench/scenario"
	"acaciawinch/standin/load"
)

// Run holds all results of one run of the bench.
type Run struct {
	Began   time.Time `json:"began"`
	Command string    `json:"command"`
	Cores   int       `json:"cores"`
	Trials  []Trial   `json:"trials"`
}

// Trial holds the results of one case of one size under one policy.
type Trial struct {
	Size   string `json:"size"`
	Case   string `json:"case"`
	Title  string `json:"title"`
	Policy string `json:"policy"`
	// Version is the commit that was measured, and Began the start of the trial.
	Version string    `json:"version"`
	Began   time.Time `json:"began"`
	// Capacity is the computed capacity in requests per second; Offered is the rate
	// that was offered in the judged time.
	Capacity float64 `json:"capacity_per_second"`
	Offered  float64 `json:"offered_per_second"`
	// JudgedFrom is the start of the judged time, in seconds from the start of the
	// load.
	JudgedFrom float64 `json:"judged_from_seconds"`
	// Judged covers the requests due in the judged time, Workspaces those of each
	// workspace, and Others those of all workspaces except the large one.
	Judged     load.Report            `json:"judged"`
	Others     load.Report            `json:"others"`
	Workspaces map[string]load.Report `json:"workspaces"`
	// Goodput is the rate of responses in time over the judged time, counted by the
	// second in which they were complete.
	Goodput float64 `json:"goodput_per_second"`
	// Stages is the cost by service over the whole trial.
	Stages []account.Stage `json:"stages"`
	// Engine is the name of the engines' service in Stages.
	Engine string `json:"engine"`
	Nodes  Nodes  `json:"nodes"`
	// Violations counts broken guarantees: work that was lost, doubled or stray,
	// responses with another request's output (crossed), or a false "not run".
	Violations int      `json:"violations"`
	Findings   []string `json:"findings,omitempty"`
	Series     []Second `json:"series"`
	// Runs is how many times the trial ran until the machine was idle enough.
	Runs int `json:"runs"`
	// Problems counts the refusals, failures and late responses by the text that
	// describes them.
	Problems map[string]int `json:"problems,omitempty"`
	// fromEarlier is set if the trial was measured by an earlier run.
	fromEarlier bool
}

// Second counts the requests due within one second of a trial.
type Second struct {
	Offered  int `json:"offered"`
	Attained int `json:"attained"`
}

// Nodes is the resource usage of the processes while load was offered.
type Nodes struct {
	// IdleShare is the share of the machine's processor time that was idle.
	IdleShare float64 `json:"idle_share"`
	// TrialCores is the mean number of processors that all processes of the trial
	// used, including the stand-ins and the load generator.
	TrialCores float64 `json:"trial_cores"`
	Entry      Role    `json:"entry"`
	Side       Role    `json:"side"`
}

// Role is the mean resource usage of one process of a role.
type Role struct {
	// CoreShare is processor time divided by wall time: 0.01 is one percent of a
	// core.
	CoreShare     float64 `json:"core_share"`
	ResidentBytes float64 `json:"resident_bytes"`
	// FleetBytes is the traffic with other processes of the fleet per second, in
	// both directions and including request data; ProbeBytes is the part of it
	// that is probes.
	FleetBytes float64 `json:"fleet_bytes_per_second"`
	ProbeBytes float64 `json:"probe_bytes_per_second"`
	// Counters are the increases of the metrics that the processes publish, summed
	// over the processes.
	Counters map[string]float64 `json:"counters,omitempty"`
}

// Merge adds the trials of an earlier run for the cases that this run did not
// measure. The trials of a case under all policies always come from the same run.
func (r *Run) Merge(earlier Run) {
	for _, t := range earlier.Trials {
		rerun := slices.ContainsFunc(r.Trials, func(own Trial) bool {
			return own.Size == t.Size && own.Case == t.Case && !own.fromEarlier
		})
		if !rerun {
			t.fromEarlier = true
			r.Trials = append(r.Trials, t)
		}
	}
	slices.SortStableFunc(r.Trials, func(a, b Trial) int {
		return cmp.Or(-cmp.Compare(a.Size, b.Size), cmp.Compare(caseIndex(a.Case), caseIndex(b.Case)))
	})
}

// caseIndex returns the index of a case in scenario.Cases.
func caseIndex(name string) int {
	return slices.IndexFunc(scenario.Cases(), func(c scenario.Case) bool { return c.Name == name })
}

// Generation returns the cost of the engines' service.
func (t Trial) Generation() account.Stage {
	for _, stage := range t.Stages {
		if stage.Service == t.Engine {
			return stage
		}
	}
	return account.Stage{}
}
