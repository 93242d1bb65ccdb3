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

// fakeState implements fleetState with fixed values.
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

// planOf returns a state whose plan assigns the models to upstream u1.
func planOf(version uint64, models ...string) fakeState {
	state := fakeState{version: version}
	for _, model := range models {
		state.plan.Assignments = append(state.plan.Assignments, placement.Assignment{Upstream: "u1", Model: model, Version: "1"})
	}
	return state
}

// startReconciler runs a reconciler for the harness's upstream until the test ends.
func startReconciler(t *testing.T, h *harness) *modelReconciler {
	r := newModelReconciler(h.dispatcher)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return r
}

// order returns an order for version 1 of a model.
func order(fencing uint64, action, model string) upstream.Order {
	return upstream.Order{Fencing: fencing, Action: action, Model: model, Version: "1"}
}

func TestMissingModelsAreLoadedBeforeOthersAreUnloaded(t *testing.T) {
	h := newHarness(t, gate.Options{})
	h.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1"} })
	r := startReconciler(t, h)
	await(t, "the report is received", func() bool { return len(h.reported()) == 1 })
	applyFleet(planOf(4, "new"), h.dispatcher, r)
	await(t, "both orders are accepted", func() bool { return len(h.fake.takenOrders()) == 2 })
	assert.DeepEqual(t, h.fake.takenOrders(), []upstream.Order{order(4, "load", "new"), order(4, "unload", "old")})
}

// reported returns the models that the upstream reports.
func (h *harness) reported() []string {
	h.dispatcher.mu.Lock()
	defer h.dispatcher.mu.Unlock()
	return h.dispatcher.gate.ReportedModels()
}

func TestModelInUseIsUnloadedWhenItsAttemptsHaveEnded(t *testing.T) {
	h := newHarness(t, gate.Options{})
	h.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1", "new@1"} })
	await(t, "the report is received", func() bool { return len(h.reported()) == 2 })
	request := h.request()
	request.Model, request.Version = "old", "1"
	s := h.run(context.Background(), request)
	c := h.call()
	r := newModelReconciler(h.dispatcher)
	applyFleet(planOf(4, "new"), h.dispatcher, r)
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 0)
	refused := h.request()
	refused.Model, refused.Version = "old", "1"
	assert.Assert(t, h.read(h.run(context.Background(), refused)).refused != nil)
	close(c.chunks)
	h.read(s)
	r.step(context.Background())
	assert.DeepEqual(t, h.fake.takenOrders(), []upstream.Order{order(4, "unload", "old")})
}

func TestFailedOrderIsRetried(t *testing.T) {
	h := newHarness(t, gate.Options{})
	h.fake.set(func(f *fakeUpstream) { f.orderErr = []error{errors.New("lost"), errors.New("lost")} })
	r := startReconciler(t, h)
	applyFleet(planOf(4, "new"), h.dispatcher, r)
	await(t, "the order is accepted", func() bool { return len(h.fake.takenOrders()) == 1 })
}

func TestOlderPlanIsNeverApplied(t *testing.T) {
	h := newHarness(t, gate.Options{})
	r := newModelReconciler(h.dispatcher)
	applyFleet(planOf(9, "new"), h.dispatcher, r)
	applyFleet(planOf(8, "old"), h.dispatcher, r)
	r.step(context.Background())
	assert.DeepEqual(t, h.fake.takenOrders(), []upstream.Order{order(9, "load", "new")})
	// A restarted sidecar learns the highest fencing token from its engine.
	h.fake.set(func(f *fakeUpstream) { f.status.LastFencing = 12 })
	h.dispatcher.pollReport(context.Background())
	restarted := newModelReconciler(h.dispatcher)
	applyFleet(planOf(11, "older"), h.dispatcher, restarted)
	restarted.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 1)
}

func TestStaleFencingTokenEndsThePlansOrders(t *testing.T) {
	h := newHarness(t, gate.Options{})
	stale := fault.New(fault.Conflict, "upstream.order", "u1", "stale")
	h.fake.set(func(f *fakeUpstream) { f.orderErr = []error{stale} })
	r := newModelReconciler(h.dispatcher)
	applyFleet(planOf(4, "new"), h.dispatcher, r)
	r.step(context.Background())
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 0)
	applyFleet(planOf(5, "new"), h.dispatcher, r)
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 1)
}

func TestRestartedSideSendsOnlyTheMissingOrders(t *testing.T) {
	h := newHarness(t, gate.Options{})
	h.fake.set(func(f *fakeUpstream) { f.loads = false })
	r := newModelReconciler(h.dispatcher)
	applyFleet(planOf(4, "a", "b"), h.dispatcher, r)
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 2)
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 2, "orders are not repeated at once, because loading takes time")
	h.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"a@1"} })
	h.dispatcher.pollReport(context.Background())
	restarted := newModelReconciler(h.dispatcher)
	applyFleet(planOf(4, "a", "b"), h.dispatcher, restarted)
	restarted.step(context.Background())
	assert.DeepEqual(t, h.fake.takenOrders()[2:], []upstream.Order{order(4, "load", "b")})
}

func TestEngineThatThePlanDoesNotNameKeepsItsModels(t *testing.T) {
	h := newHarness(t, gate.Options{})
	h.fake.set(func(f *fakeUpstream) { f.status.Models = []string{"old@1"} })
	h.dispatcher.pollReport(context.Background())
	r := newModelReconciler(h.dispatcher)
	state := planOf(4, "new")
	state.plan.Assignments[0].Upstream = "u2"
	applyFleet(state, h.dispatcher, r)
	r.step(context.Background())
	assert.Equal(t, len(h.fake.takenOrders()), 0)
}

func TestFleetDrainsTheUpstream(t *testing.T) {
	h := newHarness(t, gate.Options{})
	sources := func(state fakeState) []gate.DrainSource {
		applyFleet(state, h.dispatcher, nil)
		h.dispatcher.mu.Lock()
		defer h.dispatcher.mu.Unlock()
		return h.dispatcher.gate.DrainSources()
	}
	staying := []fleet.Host{{Name: "u0", Leaving: true}, {Name: "u1"}}
	leaving := []fleet.Host{{Name: "u1", Leaving: true}}
	assert.Equal(t, len(sources(fakeState{hosts: staying})), 0)
	assert.Equal(t, len(sources(fakeState{})), 0, "a host that is missing from the list is not drained")
	assert.DeepEqual(t, sources(fakeState{hosts: leaving}), []gate.DrainSource{gate.DrainHostList})
	assert.DeepEqual(t, sources(fakeState{hosts: staying, drained: "u1"}), []gate.DrainSource{gate.DrainOperator})
	assert.Equal(t, len(sources(fakeState{hosts: staying})), 0)
}
