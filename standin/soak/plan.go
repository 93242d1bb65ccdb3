// Package soak runs gateways as real processes against stand-ins of the platform, injects
// faults from the outside in a random order that a seed determines, and checks what clients
// received against what workers ran.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"acaciawinch/standin/harness"
)

// Kind is the kind of a step.
type Kind string

// The kinds of steps on gateways, links, workers and the store, and by the operator.
const (
	KillGateway   Kind = "kill gateway"
	FreezeGateway Kind = "freeze gateway"
	StopGateway   Kind = "stop gateway"

	BreakLink   Kind = "break link"
	CutLink     Kind = "cut link"
	SilenceLink Kind = "silence link"
	DelayLink   Kind = "delay link"

	FaultyWorker  Kind = "faulty worker"
	ForgetWorker  Kind = "forget worker"
	DrainWorker   Kind = "drain worker"
	RefuseStore   Kind = "refuse at store"
	SilenceStore  Kind = "silence store"
	LoseWrites    Kind = "lose writes at store"
	ForgetHistory Kind = "forget history of store"

	ChangeConfiguration Kind = "change configuration"
	RevokeKey           Kind = "revoke key"
)

// kinds are the kinds of steps that Plan draws from, each with its weight in the draw.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{KillGateway, 3}, {FreezeGateway, 3}, {StopGateway, 3},
	{BreakLink, 4}, {CutLink, 2}, {SilenceLink, 4}, {DelayLink, 2},
	{FaultyWorker, 4}, {ForgetWorker, 2}, {DrainWorker, 2},
	{RefuseStore, 1}, {SilenceStore, 1}, {LoseWrites, 1}, {ForgetHistory, 1},
	{ChangeConfiguration, 2}, {RevokeKey, 1},
}

// Step is one fault or change.
type Step struct {
	// At is when the step starts, counted from the start of the run's faults; For is how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target selects a gateway, link or worker, modulo their number.
	Target int
	// Direction is the direction in which a silent link loses data.
	Direction harness.Direction
	// Choice selects a variant of the kind.
	Choice int
}

// String describes the step for people.
func (s Step) String() string {
	return fmt.Sprintf("%.2f s: %s %d for %.2f s (way %d, choice %d)", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds(), s.Direction, s.Choice)
}

// Timing of the steps.
const (
	faultsFor = 7 * time.Second
	// shortestStep is above a round trip and a call of the stand-ins, 20 to 40 ms.
	shortestStep = 100 * time.Millisecond
	// longestStep is above the 1.2 s after which a silent process is declared dead, and above
	// the 2.2 s of a store call.
	longestStep = 3 * time.Second
	// maxSeries is the maximum number of steps of one series; seriesGap is the shortest time between
	// the starts of two of them.
	maxSeries = 3
	seriesGap = 150 * time.Millisecond
)

// Plan returns the steps of a seed in the order of their start. The same seed gives the same
// steps.
func Plan(seed uint64, steps int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x5bd1e995))
	var plan []Step
	for len(plan) < steps {
		first := draw(random)
		first.At = between(random, 0, faultsFor)
		for i := range 1 + random.IntN(maxSeries) {
			repeated := first
			repeated.At += time.Duration(i) * (seriesGap + between(random, 0, seriesGap))
			plan = append(plan, repeated)
		}
	}
	plan = plan[:steps]
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// draw returns a random step without a start time.
func draw(random *rand.Rand) Step {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	step := Step{
		For:       between(random, shortestStep, longestStep),
		Target:    random.IntN(1 << 16),
		Direction: harness.Direction(random.IntN(2)),
		Choice:    random.IntN(1 << 16),
	}
	at := random.IntN(total)
	for _, k := range kinds {
		if at < k.weight {
			step.Kind = k.kind
			return step
		}
		at -= k.weight
	}
	return step
}

// between returns a random duration of at least low and less than high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
