package pools

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
	"acaciawinch/platform/stagecall"
)

// memberFleet is a Fleet whose list of other gateways changes.
type memberFleet struct {
	Fleet
	members []view.Member
}

// Members implements Fleet.
func (f *memberFleet) Members() []view.Member { return f.members }

// list makes a number of gateways the members from the first on, and tells the owner.
func (f *memberFleet) list(o *Owner, first, count int) {
	o.mu.Lock()
	f.members = make([]view.Member, count)
	for i := range count {
		f.members[i] = view.Member{Name: fmt.Sprint("g", first+i), Incarnation: fmt.Sprint("run", first+i)}
	}
	o.mu.Unlock()
	o.Refresh()
}

// newOwnerForCallers returns an owner with one worker whose results are named by its address and their
// request, and with a number of sessions that have been handed one result each.
func newOwnerForCallers(t *testing.T, callers int) (*Owner, *memberFleet, *stageWorker, []*Session) {
	t.Helper()
	address := ""
	o, w := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		results := make([]stagecall.Result, len(items))
		for i, item := range items {
			results[i].Handle = address + "/" + item.Request
		}
		return http.StatusOK, results
	})
	address = o.fleet.Upstreams().Of("enc")[0].Address
	w.freed = make(chan []string, 2*callers)
	fleet := &memberFleet{Fleet: o.fleet}
	o.mu.Lock()
	o.fleet = fleet
	o.mu.Unlock()
	fleet.list(o, 0, callers)
	sessions := make([]*Session, callers)
	for i := range sessions {
		sessions[i] = o.Session(false)
		sessions[i].Identify(fmt.Sprint("g", i), fmt.Sprint("run", i), false)
		assert.Equal(t, (<-submit(sessions[i], 1, task(fmt.Sprint("r", i)), nil)).Failure, Failure(""))
	}
	return o, fleet, w, sessions
}

// keptCount returns the number of results that count as used room.
func keptCount(o *Owner) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pools[task("").Part].results)
}

// TestResultsOfGatewaysThatAreGoneAreFreed replays the loss of 19 of 27 gateways: their results took room
// for the 4 s for which results are kept, and the items of those that remained found none. A gateway that
// only lost its link may still use its results.
func TestResultsOfGatewaysThatAreGoneAreFreed(t *testing.T) {
	const callers, lost = 27, 19
	o, fleet, w, sessions := newOwnerForCallers(t, callers)
	for _, s := range sessions[:lost+1] { // the last of them loses only its link
		s.End()
	}
	assert.Equal(t, keptCount(o), callers, "no gateway is gone before the list says so")
	fleet.list(o, lost, callers-lost)
	assert.Equal(t, keptCount(o), callers-lost)
	for freed := 0; freed < lost; {
		freed += len(<-w.freed)
	}
	sessions[lost+1].End()
	assert.Equal(t, keptCount(o), callers-lost, "it lost its link only, and is listed")
	fleet.list(o, callers, 1) // other gateways in the place of all
	assert.Equal(t, keptCount(o), callers-lost-2, "open sessions keep their results, whatever the list says")
}

// TestAGatewayThatLeavesKeepsItsResults: a gateway in a planned stop is no longer listed, and still uses its
// results when its link breaks. One that the list does not know yet has just started.
func TestAGatewayThatLeavesKeepsItsResults(t *testing.T) {
	o, fleet, _, sessions := newOwnerForCallers(t, 2)
	sessions[0].Identify("g0", "run0", true)
	fleet.list(o, 1, 1)
	sessions[0].End()
	started := o.Session(false)
	started.Identify("g7", "run7", false)
	assert.Equal(t, (<-submit(started, 1, task("r7"), nil)).Failure, Failure(""))
	started.End()
	fleet.list(o, 1, 1)
	assert.Equal(t, keptCount(o), 3)
}

// TestACallThatRunsWhenItsGatewayIsLostIsFreed: the result of a call that ends after its caller's session
// is freed when it arrives, whether or not the gateway is gone.
func TestACallThatRunsWhenItsGatewayIsLostIsFreed(t *testing.T) {
	o, _, w, sessions := newOwnerForCallers(t, 1)
	sent, release := make(chan struct{}), make(chan struct{})
	w.mu.Lock()
	answer := w.script[0]
	w.script = []func([]stagecall.Item) (int, []stagecall.Result){func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-release
		return answer(items)
	}}
	w.mu.Unlock()
	submit(sessions[0], 2, task("late"), nil)
	<-sent
	sessions[0].End()
	close(release)
	assert.Equal(t, len(<-w.freed), 1)
	assert.Equal(t, keptCount(o), 1, "the result that was handed over before is kept")
}
