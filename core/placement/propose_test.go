package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/placement"
)

// testFleet is a set of simulated engines. Tests control when their loads finish.
type testFleet struct {
	in      placement.Input
	loading map[placement.Assignment]bool
}

// newTestFleet returns engines spread over zones, with nothing loaded.
func newTestFleet(engines, zones int, rules placement.Rules) *testFleet {
	b := &testFleet{loading: make(map[placement.Assignment]bool)}
	b.in = placement.Input{Revision: 1, Rules: rules, Proposer: "e"}
	for i := range engines {
		b.in.Engines = append(b.in.Engines, placement.Engine{
			Upstream: core.UpstreamID(fmt.Sprintf("llm-%d", i)),
			Service:  "llm",
			Zone:     fmt.Sprintf("zone-%d", i%zones),
			Known:    true,
		})
	}
	return b
}

// want sets the wanted replicas of one model version.
func (b *testFleet) want(model, version string, replicas int) {
	b.in.Models = slices.DeleteFunc(b.in.Models, func(m config.Model) bool { return m.Name == model && m.Version == version })
	if replicas > 0 {
		b.in.Models = append(b.in.Models, config.Model{Name: model, Version: version, Service: "llm", Replicas: replicas})
	}
}

// round plans once and passes the plan to the engines.
func (b *testFleet) round() ([]placement.Decision, bool) {
	plan, decisions, changed := placement.Propose(b.in)
	if changed {
		b.in.Current = plan
	}
	b.loading = make(map[placement.Assignment]bool)
	for i := range b.in.Engines {
		b.receivePlan(&b.in.Engines[i])
	}
	return decisions, changed
}

// receivePlan makes an engine unload the model versions that are not assigned to it and
// start to load the others.
func (b *testFleet) receivePlan(e *placement.Engine) {
	var loaded []placement.ModelVersion
	for _, a := range b.in.Current.Assignments {
		switch {
		case a.Upstream != e.Upstream:
		case slices.Contains(e.Loaded, a.Assigned()):
			loaded = append(loaded, a.Assigned())
		default:
			b.loading[a] = true
		}
	}
	e.Loaded = loaded
}

// finish finishes the loads for which pick returns true.
func (b *testFleet) finish(pick func(placement.Assignment) bool) {
	for i := range b.in.Engines {
		e := &b.in.Engines[i]
		for a := range b.loading {
			if a.Upstream == e.Upstream && pick(a) {
				e.Loaded = append(e.Loaded, a.Assigned())
			}
		}
	}
}

// settle plans and finishes all loads until the plan is stable and everything is loaded.
func (b *testFleet) settle(t interface{ Fatal(...any) }) {
	for range 200 {
		_, changed := b.round()
		if !changed && len(b.loading) == 0 {
			return
		}
		b.finish(func(placement.Assignment) bool { return true })
	}
	t.Fatal("the plan does not become stable")
}

// serving counts the engines that have a model version loaded.
func (b *testFleet) serving(model, version string) int {
	count := 0
	for _, e := range b.in.Engines {
		if slices.Contains(e.Loaded, placement.ModelVersion{Model: model, Version: version}) {
			count++
		}
	}
	return count
}

func TestReplicasSpreadOverZones(t *testing.T) {
	b := newTestFleet(9, 3, placement.Rules{MaxLoads: 2, ModelsPerEngine: 1})
	b.want("m", "1", 6)
	b.settle(t)
	zones := make(map[string]int)
	for _, e := range b.in.Engines {
		zones[e.Zone] += len(e.Loaded)
	}
	assert.DeepEqual(t, zones, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2})
}

func TestLossOfAnEngineMovesOnlyItsReplicas(t *testing.T) {
	b := newTestFleet(6, 3, placement.Rules{MaxLoads: 2, ModelsPerEngine: 1})
	b.want("m", "1", 4)
	b.settle(t)
	before := b.in.Current.Assignments
	gone := before[0].Upstream
	b.in.Engines = slices.DeleteFunc(b.in.Engines, func(e placement.Engine) bool { return e.Upstream == gone })
	b.settle(t)
	stayed := 0
	for _, a := range b.in.Current.Assignments {
		if slices.Contains(before, a) {
			stayed++
		}
	}
	assert.Equal(t, stayed, 3)
	assert.Equal(t, b.serving("m", "1"), 4)
}

func TestReturnOfAZoneMovesNothing(t *testing.T) {
	b := newTestFleet(6, 3, placement.Rules{MaxLoads: 2, ModelsPerEngine: 1})
	b.want("m", "1", 4)
	b.settle(t)
	all := b.in.Engines
	b.in.Engines = slices.DeleteFunc(slices.Clone(all), func(e placement.Engine) bool { return e.Zone == "zone-0" })
	b.settle(t)
	before := b.in.Current.Assignments
	for _, e := range all {
		if e.Zone == "zone-0" {
			b.in.Engines = append(b.in.Engines, e)
		}
	}
	b.settle(t)
	assert.DeepEqual(t, b.in.Current.Assignments, before)
}

func TestNewVersionComesInWavesWhileTheOldServes(t *testing.T) {
	b := newTestFleet(4, 2, placement.Rules{MaxLoads: 1, ModelsPerEngine: 1})
	b.want("m", "1", 4)
	b.settle(t)
	b.want("m", "1", 0)
	b.want("m", "2", 4)
	b.in.Revision = 2
	for wave := 1; wave <= 4; wave++ {
		b.round()
		assert.Equal(t, b.serving("m", "1"), 4-wave)
		b.finish(func(placement.Assignment) bool { return true })
		assert.Equal(t, b.serving("m", "2"), wave)
	}
	b.settle(t)
	assert.Equal(t, b.serving("m", "2"), 4)
}

func TestShortageStuckLoadAndOlderProposer(t *testing.T) {
	b := newTestFleet(2, 2, placement.Rules{MaxLoads: 4, ModelsPerEngine: 1})
	b.want("m", "1", 3)
	decisions, changed := b.round()
	assert.Assert(t, changed)
	assert.Equal(t, decisions[len(decisions)-1].Action, placement.ActionShort)
	stuck := b.in.Current.Assignments[0]
	b.in.Stuck = []placement.Assignment{stuck}
	b.round()
	assert.Assert(t, !slices.Contains(b.in.Current.Assignments, stuck))
	b.in.Stuck = nil
	b.in.Current.Revision = 2
	_, changed = b.round()
	assert.Assert(t, !changed, "a proposer with an older configuration must not plan")
}

// TestWaves runs random changes of the wanted replicas, removals of engines and finished
// loads. It checks that concurrent loads never exceed the limit, that no engine is
// assigned more model versions than allowed, that a settled plan does not change, and
// that the wanted replicas eventually serve.
func TestWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := placement.Rules{MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads"), ModelsPerEngine: rapid.IntRange(1, 2).Draw(t, "per engine")}
		b := newTestFleet(rapid.IntRange(2, 8).Draw(t, "engines"), 3, rules)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step(t, b)
			b.round()
			checkBounds(t, b)
		}
		b.settle(t)
		checkServing(t, b)
		before := b.in.Current.Assignments
		_, changed := b.round()
		if changed || !slices.Equal(before, b.in.Current.Assignments) {
			t.Fatal("the plan changed after it had settled")
		}
	})
}

// step randomly changes the wanted replicas, removes an engine, or finishes some loads.
func step(t *rapid.T, b *testFleet) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0:
		b.want(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), rapid.IntRange(0, 4).Draw(t, "replicas"))
		b.in.Revision++
	case 1:
		if len(b.in.Engines) > 2 {
			at := rapid.IntRange(0, len(b.in.Engines)-1).Draw(t, "gone")
			b.in.Engines = slices.Delete(slices.Clone(b.in.Engines), at, at+1)
		}
	default:
		b.finish(func(placement.Assignment) bool { return rapid.Bool().Draw(t, "loaded") })
	}
}

// checkBounds fails if the current plan exceeds a limit.
func checkBounds(t *rapid.T, b *testFleet) {
	if len(b.loading) > b.in.Rules.MaxLoads {
		t.Fatalf("%d concurrent loads, limit %d", len(b.loading), b.in.Rules.MaxLoads)
	}
	assigned := make(map[core.UpstreamID]int)
	for _, a := range b.in.Current.Assignments {
		assigned[a.Upstream]++
		if assigned[a.Upstream] > b.in.Rules.ModelsPerEngine {
			t.Fatalf("%s has %d assignments, more than allowed", a.Upstream, assigned[a.Upstream])
		}
	}
}

// checkServing fails if a settled fleet lacks replicas for which it has capacity.
func checkServing(t *rapid.T, b *testFleet) {
	capacity := len(b.in.Engines) * b.in.Rules.ModelsPerEngine
	wanted, serving := 0, 0
	for _, m := range b.in.Models {
		wanted += min(m.Replicas, len(b.in.Engines))
		serving += b.serving(m.Name, m.Version)
	}
	if serving < min(wanted, capacity) && b.in.Rules.ModelsPerEngine == 1 {
		t.Fatalf("%d replicas serve, %d wanted, capacity for %d", serving, wanted, capacity)
	}
}
