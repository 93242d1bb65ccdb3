package side

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/gate"
	"acaciawinch/core/placement"
	"acaciawinch/platform/upstream"
)

// fakeState is a state of the fleet.
type fakeState struct {
	hosts   []fleet.Host
	drained string
	plan    placement.Plan
	version uint64
}

// Hosts implements fleetState.
func (s fakeState) Hosts() []fleet.Host { return s.hosts }

// Drained implements fleetState.
func (s fakeState) Drained(name string) bool { return s.drained == name }

// Placement implements fleetState.
func (s fakeState) Placement() (placement.Plan, uint64) { return s.plan, s.version }

// planOf returns a state whose plan gives models to upstream u1.
func planOf(version uint64, models ...string) fakeState {
	state := fakeState{version: version}
	for _, model := range models {
		state.plan.Assignments = append(state.plan.Assignments, placement.Assignment{Upstream: "u1", Model: model, Version: "1"})
	}
	return state
}

// startOrders runs orders for the rig's upstream until the test ends.
func startOrders(t *testing.T, r *rig) *orders {
	o := newOrders(r.keeper)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = o.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return o
}

// order returns an order about version 1 of a model.
func order(fencing uint64, action, model string) upstream.Order {
	return upstream.Order{Fencing: fencing, Action: action, Model: model, Version: "1"}
}

func TestPlacementIsLoadedBeforeTheRestIsUnloaded(t *testing.T) {
	r := newRig(t, gate.Options{})
	r.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1"} })
	o := startOrders(t, r)
	await(t, "the report came", func() bool { return len(r.reported()) == 1 })
	applyFleet(planOf(4, "new"), r.keeper, o)
	await(t, "both orders are given", func() bool { return len(r.fake.given()) == 2 })
	assert.DeepEqual(t, r.fake.given(), []upstream.Order{order(4, "load", "new"), order(4, "unload", "old")})
}

// reported returns the models that the upstream reports.
func (r *rig) reported() []string {
	r.keeper.mu.Lock()
	defer r.keeper.mu.Unlock()
	return r.keeper.gate.Reported()
}

func TestModelInUseIsUnloadedWhenItsWorkHasEnded(t *testing.T) {
	r := newRig(t, gate.Options{})
	r.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1", "new@1"} })
	await(t, "the report came", func() bool { return len(r.reported()) == 2 })
	request := r.request()
	request.Model, request.Version = "old", "1"
	s := r.run(context.Background(), request)
	c := r.call()
	o := newOrders(r.keeper)
	applyFleet(planOf(4, "new"), r.keeper, o)
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 0)
	refused := r.request()
	refused.Model, refused.Version = "old", "1"
	assert.Assert(t, r.read(r.run(context.Background(), refused)).refused != nil)
	close(c.chunks)
	r.read(s)
	o.step(context.Background())
	assert.DeepEqual(t, r.fake.given(), []upstream.Order{order(4, "unload", "old")})
}

func TestOrderThatFailsIsTriedAgain(t *testing.T) {
	r := newRig(t, gate.Options{})
	r.fake.set(func(f *fakeUpstream) { f.orderErr = []error{errors.New("lost"), errors.New("lost")} })
	o := startOrders(t, r)
	applyFleet(planOf(4, "new"), r.keeper, o)
	await(t, "the order is given", func() bool { return len(r.fake.given()) == 1 })
}

func TestOlderPlanIsNeverApplied(t *testing.T) {
	r := newRig(t, gate.Options{})
	o := newOrders(r.keeper)
	applyFleet(planOf(9, "new"), r.keeper, o)
	applyFleet(planOf(8, "old"), r.keeper, o)
	o.step(context.Background())
	assert.DeepEqual(t, r.fake.given(), []upstream.Order{order(9, "load", "new")})
	// A side that was restarted learns the number from its engine.
	r.fake.set(func(f *fakeUpstream) { f.status.LastFencing = 12 })
	r.keeper.readReport(context.Background())
	restarted := newOrders(r.keeper)
	applyFleet(planOf(11, "older"), r.keeper, restarted)
	restarted.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 1)
}

func TestEnginesRefusalOfAnOldNumberEndsThePlansOrders(t *testing.T) {
	r := newRig(t, gate.Options{})
	stale := fault.New(fault.Conflict, "upstream.order", "u1", "stale")
	r.fake.set(func(f *fakeUpstream) { f.orderErr = []error{stale} })
	o := newOrders(r.keeper)
	applyFleet(planOf(4, "new"), r.keeper, o)
	o.step(context.Background())
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 0)
	applyFleet(planOf(5, "new"), r.keeper, o)
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 1)
}

func TestRestartedSideGoesOnWhereTheLastOneStopped(t *testing.T) {
	r := newRig(t, gate.Options{})
	r.fake.set(func(f *fakeUpstream) { f.loads = false })
	o := newOrders(r.keeper)
	applyFleet(planOf(4, "a", "b"), r.keeper, o)
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 2)
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 2, "loading takes time; orders are not repeated at once")
	r.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"a@1"} })
	r.keeper.readReport(context.Background())
	restarted := newOrders(r.keeper)
	applyFleet(planOf(4, "a", "b"), r.keeper, restarted)
	restarted.step(context.Background())
	assert.DeepEqual(t, r.fake.given()[2:], []upstream.Order{order(4, "load", "b")})
}

func TestEngineThatThePlanDoesNotNameKeepsItsModels(t *testing.T) {
	r := newRig(t, gate.Options{})
	r.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1"} })
	r.keeper.readReport(context.Background())
	o := newOrders(r.keeper)
	state := planOf(4, "new")
	state.plan.Assignments[0].Upstream = "u2"
	applyFleet(state, r.keeper, o)
	o.step(context.Background())
	assert.Equal(t, len(r.fake.given()), 0)
}

func TestFleetDrainsTheUpstream(t *testing.T) {
	r := newRig(t, gate.Options{})
	sources := func(state fakeState) []gate.DrainSource {
		applyFleet(state, r.keeper, nil)
		r.keeper.mu.Lock()
		defer r.keeper.mu.Unlock()
		return r.keeper.gate.DrainSources()
	}
	there := []fleet.Host{{Name: "u0", Leaving: true}, {Name: "u1"}}
	gone := []fleet.Host{{Name: "u1", Leaving: true}}
	assert.Equal(t, len(sources(fakeState{hosts: there})), 0)
	assert.Equal(t, len(sources(fakeState{})), 0, "a list that lacks the host says nothing")
	assert.DeepEqual(t, sources(fakeState{hosts: gone}), []gate.DrainSource{gate.DrainHostList})
	assert.DeepEqual(t, sources(fakeState{hosts: there, drained: "u1"}), []gate.DrainSource{gate.DrainOperator})
	assert.Equal(t, len(sources(fakeState{hosts: there})), 0)
}
