// Package soak runs gateways as real processes before stand-ins of the users' platform,
// injects faults from outside them in a random order that a seed gives, and checks what
// clients got against what workers ran.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"acaciawinch/standin/harness"
)

// Kind is what a step does.
type Kind string

// The kinds of steps on a gateway, on links, on workers, on the store and by the operator.
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

// kinds are all kinds, and how often each is drawn against the others.
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
	// At is when it begins, from the start of the faults, and For how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target picks a gateway, link or worker; it counts modulo how many there are.
	Target int
	// Way is the direction that a silent link loses.
	Way harness.Direction
	// Choice picks among the variants of a kind.
	Choice int
}

// String tells the step to people.
func (s Step) String() string {
	return fmt.Sprintf("%.2f s: %s %d for %.2f s (way %d, choice %d)", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds(), s.Way, s.Choice)
}

// Length of the faults, and of one.
const (
	faultsFor = 7 * time.Second
	// shortestStep is above a round trip and a call of the stand-ins, 20 to 40 ms.
	shortestStep = 100 * time.Millisecond
	// longestStep is above the 1.2 s after which a silent process is given up, and above
	// the 2.2 s of a store call.
	longestStep = 3 * time.Second
	// seriesOf is how many steps at most follow one another closely.
	seriesOf  = 3
	seriesGap = 150 * time.Millisecond
)

// Plan returns the steps of a seed, in the order of their beginning. The same seed gives
// the same steps.
func Plan(seed uint64, steps int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x5bd1e995))
	var plan []Step
	for len(plan) < steps {
		first := draw(random)
		first.At = between(random, 0, faultsFor)
		for i := range 1 + random.IntN(seriesOf) {
			again := first
			again.At += time.Duration(i) * (seriesGap + between(random, 0, seriesGap))
			plan = append(plan, again)
		}
	}
	plan = plan[:steps]
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// draw returns a step without its time.
func draw(random *rand.Rand) Step {
	total := 0
	for _, one := range kinds {
		total += one.weight
	}
	step := Step{
		For:    between(random, shortestStep, longestStep),
		Target: random.IntN(1 << 16),
		Way:    harness.Direction(random.IntN(2)),
		Choice: random.IntN(1 << 16),
	}
	at := random.IntN(total)
	for _, one := range kinds {
		if at < one.weight {
			step.Kind = one.kind
			return step
		}
		at -= one.weight
	}
	return step
}

// between returns a duration from low up to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
