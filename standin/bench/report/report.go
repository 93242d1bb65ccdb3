// Package report holds the bench's results, judges them by their targets and
// writes them as tables and as a page.
package report

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/standin/bench/account"
	"acaciawinch/standin/bench/scene"
	"acaciawinch/standin/load"
)

// Run is everything that one run of the bench measured.
type Run struct {
	Began   time.Time `json:"began"`
	Command string    `json:"command"`
	Cores   int       `json:"cores"`
	Trials  []Trial   `json:"trials"`
}

// Trial is one case of one size under one policy.
type Trial struct {
	Size   string `json:"size"`
	Case   string `json:"case"`
	Title  string `json:"title"`
	Policy string `json:"policy"`
	// Version is the commit that was measured, and Began when.
	Version string    `json:"version"`
	Began   time.Time `json:"began"`
	// Capacity is the worked-out capacity in requests per second; Offered is what
	// was offered in the judged time.
	Capacity float64 `json:"capacity_per_second"`
	Offered  float64 `json:"offered_per_second"`
	// JudgedFrom is from when on requests are judged, in seconds.
	JudgedFrom float64 `json:"judged_from_seconds"`
	// Judged reports on the requests due in the judged time, and Workspaces on
	// those of each workspace. Others are those of all but the large workspace.
	Judged     load.Report            `json:"judged"`
	Others     load.Report            `json:"others"`
	Workspaces map[string]load.Report `json:"workspaces"`
	// Goodput is the answers in time, by the second in which they were complete,
	// over the judged time.
	Goodput float64 `json:"goodput_per_second"`
	// Stages is the cost by service over the whole trial.
	Stages []account.Stage `json:"stages"`
	// Engine names the service of the engines among the stages.
	Engine string `json:"engine"`
	Nodes  Nodes  `json:"nodes"`
	// Violations counts what must never happen: lost, doubled, crossed or stray
	// work, or a false "not run".
	Violations int      `json:"violations"`
	Findings   []string `json:"findings,omitempty"`
	Series     []Second `json:"series"`
	// Runs is how often the trial ran until the machine was idle enough.
	Runs int `json:"runs"`
	// Problems counts the refusals and failures by what callers were told.
	Problems map[string]int `json:"problems,omitempty"`
	// kept is set if the trial is of an earlier run.
	kept bool
}

// Second is what became of the requests due within one second of a trial.
type Second struct {
	Offered  int `json:"offered"`
	Attained int `json:"attained"`
}

// Nodes is what the processes spent over the load.
type Nodes struct {
	// IdleShare is the part of the machine's processors that stayed idle.
	IdleShare float64 `json:"idle_share"`
	// TrialCores is how many processors all processes of the trial used on
	// average, the stand-ins and the load generator included.
	TrialCores float64 `json:"trial_cores"`
	Entry      Role    `json:"entry"`
	Side       Role    `json:"side"`
}

// Role is the mean spending of one process of a role.
type Role struct {
	// CoreShare is processor time by wall time: 0.01 is one percent of a core.
	CoreShare     float64 `json:"core_share"`
	ResidentBytes float64 `json:"resident_bytes"`
	// FleetBytes is the traffic with other processes of the fleet per second, in
	// both directions, the requests' own data included; ProbeBytes is the part
	// that probes are.
	FleetBytes float64 `json:"fleet_bytes_per_second"`
	ProbeBytes float64 `json:"probe_bytes_per_second"`
	// Counters are the processes' own counters, summed over them.
	Counters map[string]float64 `json:"counters,omitempty"`
}

// Keep adds the trials of an earlier run for the cases that this run did not run.
// All policies of a case stay of one run.
func (r *Run) Keep(earlier Run) {
	for _, t := range earlier.Trials {
		again := slices.ContainsFunc(r.Trials, func(own Trial) bool {
			return own.Size == t.Size && own.Case == t.Case && !own.kept
		})
		if !again {
			t.kept = true
			r.Trials = append(r.Trials, t)
		}
	}
	slices.SortStableFunc(r.Trials, func(a, b Trial) int {
		return cmp.Or(-cmp.Compare(a.Size, b.Size), cmp.Compare(caseIndex(a.Case), caseIndex(b.Case)))
	})
}

// caseIndex returns the place of a case in the order of all.
func caseIndex(name string) int {
	return slices.IndexFunc(scene.Cases(), func(c scene.Case) bool { return c.Name == name })
}

// Generation returns the cost of the engines' stage.
func (t Trial) Generation() account.Stage {
	for _, stage := range t.Stages {
		if stage.Service == t.Engine {
			return stage
		}
	}
	return account.Stage{}
}
