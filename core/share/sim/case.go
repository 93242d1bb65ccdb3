// Package sim simulates the enforcement of workspaces' bounds at the size of the target
// deployment, with a load balancer that spreads connections unevenly, and a fixed seed.
// It compares strategies for sharing a bound between entries: how often a strategy
// refuses requests of a workspace that stays within its bound, how far a workspace can
// exceed its bound, and what the strategy costs in messages.
package sim

import (
	"time"

	"acaciawinch/core/fleet"
)

// Case is one simulated scenario: a strategy for sharing bounds and the faults.
type Case struct {
	Name string
	// NoFlood leaves out the flooding workspace.
	NoFlood bool
	// Partition isolates one region from the three others between faultStart and
	// faultEnd.
	Partition bool
	// Restart restarts one home of the flooding workspace at faultStart.
	Restart     bool
	newStrategy func(*simulation) strategy
}

// Results are the metrics measured in the simulation of a case.
type Results struct {
	// WrongQuiet and WrongBusy are the ratios of requests that were refused although
	// fewer requests than the bound were in flight: WrongQuiet for workspaces with the
	// smallest bound, WrongBusy for those with larger bounds. The flooding workspace is
	// not included.
	WrongQuiet, WrongBusy float64
	// Over is the highest ratio of requests in flight to the bound of any workspace, and
	// OverFlood that of the flooding workspace.
	Over, OverFlood float64
	// OverTime is the ratio of arrivals at which the workspace had more requests in
	// flight than its bound.
	OverTime float64
	// UsedFlood is the mean ratio of requests in flight to the bound of the flooding
	// workspace, sampled at its arrivals.
	UsedFlood float64
	// Calls is the mean number of calls that an entry makes per second. Bytes is the
	// mean number of bytes per second and entry of the calls that it makes and serves.
	Calls, Bytes float64
	// BusiestHome is the bytes per second of the calls served by the busiest home.
	// OneHome is the calls per second of the busiest workspace, which a single home
	// would have to serve if bounds were not divided into parts.
	BusiestHome, OneHome float64
	// WaitP50 and WaitP99 are percentiles of the time until a permit was acquired.
	WaitP50, WaitP99 time.Duration
}

// EvenSplit splits each bound evenly over the entries, with at least one for each.
func EvenSplit() Case { return Case{Name: "even split", newStrategy: newEvenSplit} }

// Exchange moves unused shares of a bound periodically through a bank to the entries
// that need more. An entry admits at least minShare requests whatever its share.
func Exchange(name string, period time.Duration, minShare int) Case {
	return Case{Name: name, newStrategy: func(s *simulation) strategy { return newExchange(s, period, minShare) }}
}

// Homes acquires permits from the home of each part of a bound.
func Homes() Case { return Case{Name: "homes", newStrategy: newHomes} }

// Cases returns the cases that docs/design/limits.md compares.
func Cases() []Case {
	noFlood := Homes()
	noFlood.Name, noFlood.NoFlood = "homes, no flood", true
	partition := Homes()
	partition.Name, partition.Partition = "homes, a region cut off", true
	restart := Homes()
	restart.Name, restart.Restart = "homes, one started anew", true
	return []Case{
		EvenSplit(),
		Exchange("exchange every 5 s", 5*time.Second, 0),
		Exchange("exchange every 1 s", time.Second, 0),
		Exchange("exchange every 1 s, at least 1 each", time.Second, 1),
		Homes(),
		noFlood,
		partition,
		restart,
	}
}

// strategy is a way in which entries share bounds. For each request it calls
// simulation.admit or simulation.refuse once.
type strategy interface {
	arrive(r *request)
	ended(r *request)
	// tick is called once in tickInterval.
	tick()
}

// evenSplit is the strategy of EvenSplit.
type evenSplit struct {
	s     *simulation
	inUse map[usageKey]int
}

// usageKey identifies one workspace on one entry.
type usageKey struct{ workspace, entry int }

func newEvenSplit(s *simulation) strategy { return &evenSplit{s: s, inUse: make(map[usageKey]int)} }

func (e *evenSplit) arrive(r *request) {
	bound := e.s.bounds[r.workspace]
	limit := bound / Entries
	if r.entry < bound%Entries {
		limit++
	}
	key := usageKey{r.workspace, r.entry}
	if e.inUse[key] >= max(limit, 1) {
		e.s.refuse(r)
		return
	}
	e.inUse[key]++
	e.s.admit(r)
}

func (e *evenSplit) ended(r *request) { e.inUse[usageKey{r.workspace, r.entry}]-- }

func (e *evenSplit) tick() {}

// hostList returns the host list of all entries.
func hostList() []fleet.Host {
	hosts := make([]fleet.Host, Entries)
	for i := range hosts {
		hosts[i] = fleet.Host{Name: nameOf(i), Role: fleet.RoleEntry, Region: nameOf(i % regions)}
	}
	return hosts
}
