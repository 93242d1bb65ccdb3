package report

import (
	"fmt"
	"slices"
	"strings"
)

// Spread holds the measurements of how long accepted changes of the configuration
// take to be in force in a large fleet, and of the fleet while nothing changes.
type Spread struct {
	Entries    int `json:"entries"`
	Sides      int `json:"sides"`
	Workspaces int `json:"workspaces"`
	// IdleReads and IdleWrites are the calls to the object API per second while
	// nothing changes; Watches is the number of open watches there.
	IdleReads  float64   `json:"rest_reads_per_second"`
	IdleWrites float64   `json:"rest_writes_per_second"`
	Watches    int       `json:"watches"`
	IdleEntry  IdleUsage `json:"rest_entry"`
	IdleSide   IdleUsage `json:"rest_side"`
	// Idle is the share of the machine's processor time that was idle while the idle
	// fleet was measured.
	Idle       float64     `json:"idle_share"`
	Conditions []Condition `json:"conditions"`
}

// IdleUsage is the mean resource usage of one process of a role while nothing
// changes.
type IdleUsage struct {
	CoreShare float64 `json:"core_share"`
	// FleetBytes is the traffic with other processes of the fleet per second, in
	// both directions.
	FleetBytes      float64 `json:"fleet_bytes_per_second"`
	ResidentBytes   float64 `json:"resident_bytes"`
	LargestResident float64 `json:"largest_resident_bytes"`
}

// Condition holds the times and costs of the changes made under one condition.
type Condition struct {
	Name          string  `json:"name"`
	TargetSeconds float64 `json:"target_seconds"`
	// Seconds are the times from the write of the head until every process had the
	// change; SecondsFromStart count from the start of the operator's command.
	Seconds          []float64 `json:"seconds"`
	SecondsFromStart []float64 `json:"seconds_from_start"`
	// Missing names a process that did not receive a change before the timeout.
	Missing         string  `json:"missing,omitempty"`
	ReadsPerChange  float64 `json:"reads_per_change"`
	WritesPerChange float64 `json:"writes_per_change"`
	CallsPerSecond  float64 `json:"calls_per_second"`
}

// Met reports whether every change was in force everywhere within the target.
func (c Condition) Met() bool {
	return c.Missing == "" && len(c.Seconds) > 0 && slices.Max(c.Seconds) <= c.TargetSeconds
}

// Times formats Seconds as text.
func (c Condition) Times() string {
	var texts []string
	for _, s := range c.Seconds {
		texts = append(texts, fmt.Sprintf("%.2f s", s))
	}
	if c.Missing != "" {
		texts = append(texts, "never: "+c.Missing)
	}
	return strings.Join(texts, ", ")
}

// Tables returns the measurements as tables.
func (s Spread) Tables() []Table {
	const megabyte = 1 << 20
	idle := Table{
		Title:  fmt.Sprintf("%d entries and %d sides at rest, %d workspaces", s.Entries, s.Sides, s.Workspaces),
		Header: []string{"role", "core", "fleet B/s", "MB", "largest MB", "store reads/s", "store writes/s", "watches", "machine idle"},
		Rows: [][]string{
			{"entry", percent(s.IdleEntry.CoreShare), ms(s.IdleEntry.FleetBytes), decimal(s.IdleEntry.ResidentBytes / megabyte),
				decimal(s.IdleEntry.LargestResident / megabyte), decimal(s.IdleReads), decimal(s.IdleWrites), fmt.Sprint(s.Watches), percent(s.Idle)},
			{"side", percent(s.IdleSide.CoreShare), ms(s.IdleSide.FleetBytes), decimal(s.IdleSide.ResidentBytes / megabyte),
				decimal(s.IdleSide.LargestResident / megabyte), "", "", "", ""},
		},
	}
	changes := Table{
		Title: "until an accepted change is in force in every process",
		Header: []string{"condition", "seconds, each change", "longest from the command's start", "target s", "",
			"store reads per change", "writes per change", "calls/s meanwhile"},
	}
	for _, c := range s.Conditions {
		longest := 0.0
		if len(c.SecondsFromStart) > 0 {
			longest = slices.Max(c.SecondsFromStart)
		}
		verdict := verdictMissed
		if c.Met() {
			verdict = verdictMet
		}
		changes.Rows = append(changes.Rows, []string{c.Name, c.Times(), decimal(longest), decimal(c.TargetSeconds), verdict,
			decimal(c.ReadsPerChange), decimal(c.WritesPerChange), decimal(c.CallsPerSecond)})
	}
	return []Table{idle, changes}
}
