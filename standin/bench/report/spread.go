package report

import (
	"fmt"
	"slices"
	"strings"
)

// Spread is how accepted changes came into force in a large fleet.
type Spread struct {
	Entries    int `json:"entries"`
	Sides      int `json:"sides"`
	Workspaces int `json:"workspaces"`
	// RestReads and RestWrites are the calls of the object API per second while
	// nothing changes; Watches is how many watches wait there.
	RestReads  float64 `json:"rest_reads_per_second"`
	RestWrites float64 `json:"rest_writes_per_second"`
	Watches    int     `json:"watches"`
	RestEntry  Rest    `json:"rest_entry"`
	RestSide   Rest    `json:"rest_side"`
	// Idle is the part of the machine's processors that was idle meanwhile.
	Idle       float64     `json:"idle_share"`
	Conditions []Condition `json:"conditions"`
}

// Rest is what one process spends while nothing happens.
type Rest struct {
	CoreShare float64 `json:"core_share"`
	// FleetBytes is the traffic with other processes of the fleet per second, in
	// both directions.
	FleetBytes      float64 `json:"fleet_bytes_per_second"`
	ResidentBytes   float64 `json:"resident_bytes"`
	LargestResident float64 `json:"largest_resident_bytes"`
}

// Condition is the changes that were made under one condition.
type Condition struct {
	Name          string  `json:"name"`
	TargetSeconds float64 `json:"target_seconds"`
	// Seconds are the times from when the head was written until every process had
	// the change; SecondsFromStart count from the start of the operator's command.
	Seconds          []float64 `json:"seconds"`
	SecondsFromStart []float64 `json:"seconds_from_start"`
	// Missing names a process that did not come to have a change in time.
	Missing         string  `json:"missing,omitempty"`
	ReadsPerChange  float64 `json:"reads_per_change"`
	WritesPerChange float64 `json:"writes_per_change"`
	CallsPerSecond  float64 `json:"calls_per_second"`
}

// Met tells whether every change was in force within the target.
func (c Condition) Met() bool {
	return c.Missing == "" && len(c.Seconds) > 0 && slices.Max(c.Seconds) <= c.TargetSeconds
}

// Times returns the times as text.
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

// Tables returns the measurement as tables.
func (s Spread) Tables() []Table {
	const megabyte = 1 << 20
	rest := Table{
		Title:  fmt.Sprintf("%d entries and %d sides at rest, %d workspaces", s.Entries, s.Sides, s.Workspaces),
		Header: []string{"role", "core", "fleet B/s", "MB", "largest MB", "store reads/s", "store writes/s", "watches", "machine idle"},
		Rows: [][]string{
			{"entry", percent(s.RestEntry.CoreShare), ms(s.RestEntry.FleetBytes), number(s.RestEntry.ResidentBytes / megabyte),
				number(s.RestEntry.LargestResident / megabyte), number(s.RestReads), number(s.RestWrites), fmt.Sprint(s.Watches), percent(s.Idle)},
			{"side", percent(s.RestSide.CoreShare), ms(s.RestSide.FleetBytes), number(s.RestSide.ResidentBytes / megabyte),
				number(s.RestSide.LargestResident / megabyte), "", "", "", ""},
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
		verdict := targetsMissed
		if c.Met() {
			verdict = targetsExceeded
		}
		changes.Rows = append(changes.Rows, []string{c.Name, c.Times(), number(longest), number(c.TargetSeconds), verdict,
			number(c.ReadsPerChange), number(c.WritesPerChange), number(c.CallsPerSecond)})
	}
	return []Table{rest, changes}
}
