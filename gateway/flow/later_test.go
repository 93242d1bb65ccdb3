package flow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/core/stages"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/view"
)

// newChainOf returns a run through a chain of a stage on each of some pools.
func newChainOf(late bool, services ...*routes.Service) *stageRun {
	route, items := &routes.Route{}, []int{}
	for i, service := range services {
		stage := routes.Stage{Service: service.Name}
		if i > 0 {
			stage.After = []int{i - 1}
		}
		route.Stages, items = append(route.Stages, stage), append(items, 1)
	}
	table := routes.NewTable(1, routes.Limits{}, nil, services, nil)
	ctx := context.Background()
	dispatcher := pools.NewDispatcher(ctx, nil, view.Member{}, pools.NewOwner(ctx, nil, nil, nil, nil), nil, nil)
	server := &Server{Options: Options{LateWork: late, Dispatcher: dispatcher}}
	return &stageRun{request: &request{Server: server, route: route, table: table}, progress: stages.New(route.Stages, items)}
}

// poolNamed returns a service whose calls take 200 ms and 100 ms for the items of a full call.
func poolNamed(name string) *routes.Service {
	return &routes.Service{Name: name, Pool: &routes.Pool{Batch: 10, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond}}
}

// TestLateTaskLeavesTheTimeOfItsChain guards against late tasks that are done at the first pool and then have
// too little time at the next ones, and against those that are refused for four times a backlog that will be gone.
func TestLateTaskLeavesTheTimeOfItsChain(t *testing.T) {
	run := newChainOf(true, poolNamed("a"), poolNamed("b"), poolNamed("c"))
	assert.Equal(t, run.lateTail(0), 900*time.Millisecond, "one and a half calls of 300 ms at each of two pools")
	assert.Equal(t, run.lateTail(2), time.Duration(0))
}

// TestTaskCarriesTheLaterPoolsOfItsChain guards against an owner that does not know which pools must not be full.
func TestTaskCarriesTheLaterPoolsOfItsChain(t *testing.T) {
	run := newChainOf(true, poolNamed("a"), poolNamed("b"), poolNamed("b"), poolNamed("c"))
	var services []string
	for _, later := range run.later(0) {
		services = append(services, later.Service)
		assert.Equal(t, later.Shortest, 210*time.Millisecond)
		assert.Equal(t, later.Wait, time.Duration(0), "unknown")
	}
	assert.DeepEqual(t, services, []string{"b", "c"})
	assert.Equal(t, len(run.later(3)), 0)
}
