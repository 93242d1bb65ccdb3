// Package sim simulates the bounds of workspaces at the letter's size, with a
// balancer that spreads connections unevenly, and a fixed seed. It shows how often
// ways to share a bound refuse a workspace that keeps within it, how far one that
// passes it is let beyond, and what that costs in messages.
package sim

import (
	"time"

	"acaciawinch/core/fleet"
)

// Case is one way to share bounds.
type Case struct {
	Name string
	// Calm leaves out the workspace that floods.
	Calm bool
	// Cut separates one region from the three others between faultFrom and faultTo.
	Cut bool
	// Restart starts one home of the flooding workspace anew at faultFrom.
	Restart bool
	make    func(*simulation) way
}

// Figures are what a case comes to.
type Figures struct {
	// WrongQuiet and WrongBusy are the shares of requests that were refused though
	// fewer than the bound were in flight, of workspaces with the smallest bound and
	// with larger ones. The flooding workspace is left out.
	WrongQuiet, WrongBusy float64
	// Over is the most that was in flight of any workspace, over its bound, and
	// OverFlood that of the workspace that floods.
	Over, OverFlood float64
	// OverTime is the share of the arrivals at which their workspace had more than its
	// bound in flight.
	OverTime float64
	// UsedFlood is how much of its bound the flooding workspace had in flight in the
	// mean, sampled at its arrivals.
	UsedFlood float64
	// Calls and Bytes are per second and entry, in the mean: the calls that an entry
	// makes, and the bytes of these and of those that it answers.
	Calls, Bytes float64
	// BusiestHome is the bytes a second of the home that answers most, and OneHome the
	// calls a second of the workspace that has most, which one home would answer
	// alone.
	BusiestHome, OneHome float64
	// WaitP50 and WaitP99 are how long permits were waited for.
	WaitP50, WaitP99 time.Duration
}

// Even splits each bound evenly, with at least one for each entry.
func Even() Case { return Case{Name: "even split", make: newEven} }

// Exchange moves unused shares through a bank to where more is wanted.
// No entry's share counts as less than least.
func Exchange(name string, every time.Duration, least int) Case {
	return Case{Name: name, make: func(s *simulation) way { return newExchange(s, every, least) }}
}

// Homes asks the home of each part of a bound.
func Homes() Case { return Case{Name: "homes", make: newHomes} }

// Cases returns the ways that docs/design/limits.md compares.
func Cases() []Case {
	calm := Homes()
	calm.Name, calm.Calm = "homes, no flood", true
	cut := Homes()
	cut.Name, cut.Cut = "homes, a region cut off", true
	restart := Homes()
	restart.Name, restart.Restart = "homes, one started anew", true
	return []Case{
		Even(),
		Exchange("exchange every 5 s", 5*time.Second, 0),
		Exchange("exchange every 1 s", time.Second, 0),
		Exchange("exchange every 1 s, at least 1 each", time.Second, 1),
		Homes(),
		calm,
		cut,
		restart,
	}
}

// way is how entries share bounds. It calls admit or refuse once for each request.
type way interface {
	arrive(r *request)
	ended(r *request)
	// tick is called every tickEvery.
	tick()
}

// even is the even split.
type even struct {
	s     *simulation
	inUse map[place]int
}

// place is one workspace at one entry.
type place struct{ workspace, entry int }

func newEven(s *simulation) way { return &even{s: s, inUse: make(map[place]int)} }

func (e *even) arrive(r *request) {
	bound := e.s.bounds[r.workspace]
	part := bound / Entries
	if r.entry < bound%Entries {
		part++
	}
	at := place{r.workspace, r.entry}
	if e.inUse[at] >= max(part, 1) {
		e.s.refuse(r)
		return
	}
	e.inUse[at]++
	e.s.admit(r)
}

func (e *even) ended(r *request) { e.inUse[place{r.workspace, r.entry}]-- }

func (e *even) tick() {}

// hostList returns the entries.
func hostList() []fleet.Host {
	hosts := make([]fleet.Host, Entries)
	for i := range hosts {
		hosts[i] = fleet.Host{Name: nameOf(i), Role: fleet.RoleEntry, Region: nameOf(i % regions)}
	}
	return hosts
}
