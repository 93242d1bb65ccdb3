package flow

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/pools"
)

// chainTable returns a configuration with a pool whose calls take 300 ms with one item.
func chainTable() *routes.Table {
	pool := &routes.Pool{Slots: 1, Batch: 10, CallTime: 290 * time.Millisecond, ItemTime: 10 * time.Millisecond}
	return routes.NewTable(1, routes.Limits{}, nil, []*routes.Service{{Name: "enc", Pool: pool}}, nil)
}

// TestNoRequestIsRefusedAtAdmissionIfPlacesAreOff guards against a decision that load.return_places does
// not switch off.
func TestNoRequestIsRefusedAtAdmissionIfPlacesAreOff(t *testing.T) {
	rq := &request{Server: &Server{}, table: chainTable(), route: &routes.Route{Stages: []routes.Stage{{Service: "enc"}}}}
	rq.hdr.Items = []int{1}
	rq.startBy = time.Now().Add(-time.Second)
	assert.NilError(t, rq.refusedAtAdmission())
}

// TestTheChainOfARequestIsItsLongestPath guards against clients that are told to return too late for a
// chain, or too early because stages that run together were added up.
func TestTheChainOfARequestIsItsLongestPath(t *testing.T) {
	rq := &request{table: chainTable(), route: &routes.Route{Stages: []routes.Stage{{Service: "enc"}, {Service: "enc"}, {Service: "enc", After: []int{0, 1}}, {Service: "enc", After: []int{2}}}}}
	rq.hdr.Items = []int{1, 3, 2, 0}
	assert.Equal(t, rq.shortestChain(), 600*time.Millisecond)
}

// TestALateStageCarriesTheForecastOfItsOwner guards against clients that are told to return at a time that
// their gateway made up although the owner of the pool named one.
func TestALateStageCarriesTheForecastOfItsOwner(t *testing.T) {
	update := stageUpdate{stage: 1, owner: "g2", result: pools.Result{Failure: pools.Late, RetryAfter: time.Second, LateRefused: true}}
	err := stageError(update)
	var lacking *noCapacity
	assert.Assert(t, errors.As(err, &lacking))
	assert.Assert(t, lacking.room == time.Second && lacking.noRoom)
	assert.Equal(t, err.Error(), fault.New(fault.Unavailable, "stage.wait", "g2", "stage 1: late").Error())

	rq := &request{table: chainTable(), route: &routes.Route{Stages: []routes.Stage{{Service: "enc"}}}, deadline: time.Now().Add(time.Minute)}
	rq.hdr.ID, rq.hdr.Items = "r-1", []int{1}
	value := rq.comeBackAfter(lacking, 5*time.Second)
	assert.Assert(t, value <= time.Second && value >= 800*time.Millisecond, "%v", value)

	update.result.Failure = pools.Failed
	assert.Assert(t, !errors.As(stageError(update), &lacking), "the pool did not refuse it for its time")
}
