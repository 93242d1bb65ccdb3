package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Fault is the fault that is injected into the upstreams at a case's time At.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// Slow makes one engine SlowFactor times slower.
	Slow Fault = "slow"
	// FreezeUpstream stops one engine with SIGSTOP.
	FreezeUpstream Fault = "freeze_upstream"
	// FreezeSide stops the sidecar of one engine with SIGSTOP.
	FreezeSide Fault = "freeze_side"
	// KillZone kills all upstreams of one zone and their sidecars at the same time.
	KillZone Fault = "kill_rack"
)

// SlowFactor is the factor by which Slow lengthens the times of an engine.
const SlowFactor = 10

// Case is one profile of load and faults over time.
type Case struct {
	Name string
	// Title describes the case in tables and plots.
	Title    string
	Duration time.Duration
	// Load is the offered load as a fraction of the engines' capacity.
	Load float64
	// Burst multiplies the load of the large workspace from At on; 0 means no burst.
	Burst float64
	Fault Fault
	// At is when the burst or the fault begins.
	At time.Duration
	// JudgedFrom is the time from which requests are judged: earlier ones are not counted.
	JudgedFrom time.Duration
}

// Loads, as fractions of the engines' capacity, and times of the cases.
const (
	steadyLoad     = 0.6
	fullLoad       = 1.0
	overLoad       = 1.5
	burstFactor    = 10
	warmup         = 2 * time.Second
	faultAt        = 3 * time.Second
	recoveryTime   = 2 * time.Second
	steadyDuration = 18 * time.Second
	faultDuration  = 11 * time.Second
	loadDuration   = 12 * time.Second
)

// Names of the cases that targets refer to.
const (
	Steady         = "steady"
	Burst          = "burst"
	Straggler      = "straggler"
	FrozenUpstream = "frozen-upstream"
	FrozenSide     = "frozen-side"
	KilledZone     = "rack"
	Capacity       = "capacity"
	Overload       = "overload"
)

// Cases returns all cases in the order in which they are run and reported.
func Cases() []Case {
	return []Case{
		{Name: Steady, Title: "steady load", Duration: steadyDuration, Load: steadyLoad, JudgedFrom: warmup},
		{Name: Burst, Title: "one large workspace at 10 times its share", Duration: loadDuration, Load: steadyLoad,
			Burst: burstFactor, At: faultAt, JudgedFrom: faultAt},
		faultCase(Straggler, "one engine 10 times slow", Slow),
		faultCase(FrozenUpstream, "one engine frozen", FreezeUpstream),
		faultCase(FrozenSide, "the side of one engine frozen", FreezeSide),
		faultCase(KilledZone, "all upstreams of one zone killed", KillZone),
		{Name: Capacity, Title: "load at capacity", Duration: loadDuration, Load: fullLoad, JudgedFrom: warmup},
		{Name: Overload, Title: "overload of 1.5 times capacity", Duration: loadDuration, Load: overLoad, JudgedFrom: warmup},
	}
}

// faultCase returns a case of steady load with a fault, judged from 2 s after the
// fault.
func faultCase(name, title string, fault Fault) Case {
	return Case{
		Name:       name,
		Title:      title,
		Duration:   faultDuration,
		Load:       steadyLoad,
		Fault:      fault,
		At:         faultAt,
		JudgedFrom: faultAt + recoveryTime,
	}
}

// Policy is one configuration of routing, queueing and hedging that is compared.
type Policy struct {
	Name  string
	Title string
	// Entry and Side are settings tables in TOML, for the entries and the sidecars.
	Entry string
	Side  string
}

// Ours is the name of the product's own policy.
const Ours = "probe2"

// Policies returns the product's own policy and the baselines.
func Policies() []Policy {
	return []Policy{
		{
			Name:  Ours,
			Title: "ours: two choices by probes, fair queue, hedges",
			Entry: "[routing]\npolicy = \"probe2\"\n",
		},
		{
			Name:  "random",
			Title: "random choice, fair queue, hedges",
			Entry: "[routing]\npolicy = \"random\"\n",
		},
		{
			Name:  "round_robin",
			Title: "round robin, no hedges, unbounded FIFO queue",
			Entry: "[routing]\npolicy = \"round_robin\"\nhedge_percent = 0.0\n",
			Side:  "[queue]\ndiscipline = \"fifo\"\nmax_queued = 100000\n",
		},
	}
}

// selectable is a type whose values Select chooses by name.
type selectable interface {
	Size | Case | Policy
}

// Select returns the elements of all whose names are in the comma-separated list,
// in the order of all; an empty list selects all. An unknown name is an error.
func Select[T selectable](all []T, list string, name func(T) string) ([]T, error) {
	if list == "" {
		return all, nil
	}
	wanted := map[string]bool{}
	for _, n := range strings.Split(list, ",") {
		wanted[strings.TrimSpace(n)] = true
	}
	var chosen []T
	for _, item := range all {
		if wanted[name(item)] {
			chosen = append(chosen, item)
			delete(wanted, name(item))
		}
	}
	for n := range wanted {
		return nil, fmt.Errorf("unknown name %q", n)
	}
	return chosen, nil
}

// Scaled returns the case with another duration; zero keeps the duration. The time
// before JudgedFrom never shrinks, so that a short run still includes the fault.
func (c Case) Scaled(duration time.Duration) Case {
	if duration > 0 {
		c.Duration = max(duration, c.JudgedFrom+time.Second)
	}
	return c
}
