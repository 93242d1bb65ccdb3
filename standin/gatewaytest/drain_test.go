package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// drainBound is the time after which an upstream that leaves must get nothing new.
const drainBound = 2 * time.Second

// sendMix sends a stream with stages and a safe request through each gateway, and checks the responses.
func (f *fleet) sendMix(gateways []*runningGateway, name string) {
	f.t.Helper()
	for i, g := range gateways {
		id := fmt.Sprintf("%s-%d", name, i)
		assert.Equal(f.t, f.sendStream(g, id).body, streamBody(id))
		assert.Equal(f.t, f.send(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
	}
}

// sendMixFor sends requests through all gateways until some time has passed.
func (f *fleet) sendMixFor(duration time.Duration, gateways []*runningGateway, name string) {
	f.t.Helper()
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		f.sendMix(gateways, fmt.Sprintf("%s-%d", name, i))
	}
}

// serviceOf holds the service of each kind of workers of twoZones.
var serviceOf = map[worker.Kind]string{worker.Engine: "llm", worker.Plain: "desk", worker.Stage: "enc"}

// TestAnUpstreamThatLeavesAfterTheStoreReturnedFromACopyGetsNothingNew: the store comes back from an older
// copy, and upstreams leave at revisions that the gateways had seen in use for other changes.
func TestAnUpstreamThatLeavesAfterTheStoreReturnedFromACopyGetsNothingNew(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	gateways := []*runningGateway{f.startIn("g1", "z1"), f.startIn("g2", "z2"), f.startIn("g3", "z1")}
	f.store.Copy()
	lostVersion := int64(9)
	for version := int64(2); version <= lostVersion; version++ {
		f.apply(baseConfig(version))
	}
	f.waitLines(len(gateways), "table_in_force", fmt.Sprintf(`"version":%d`, lostVersion))
	late := f.startWorkerIn("z2", "desk-3", "desk", worker.Plain)
	f.waitLines(len(gateways), "upstream_changed", late.ID)

	// The gateways reach the store again only once its revisions have caught up.
	f.store.SetFaults(refuseCalls)
	f.waitLines(2, "watch_lost", `"kind":"config"`)
	f.store.ReturnFromCopy()
	for _, w := range first {
		f.registerIn("z1", w, serviceOf[w.Kind], "draining")
	}
	f.registerIn("z2", late, "desk", "ready")
	for version := lostVersion; version <= 2*lostVersion; version++ {
		f.apply(baseConfig(version))
	}
	f.store.SetFaults(noFaults)
	f.waitLines(2, "watch_regained", `"kind":"config"`)
	f.apply(baseConfig(2*lostVersion + 1))
	f.waitLines(len(gateways), "table_in_force", fmt.Sprintf(`"version":%d`, 2*lostVersion+1))

	f.sendMixFor(drainBound, gateways, "within")
	before := countWork(first)
	f.sendMixFor(drainBound/4, gateways, "after")
	assert.Equal(t, countWork(first), before)
	assert.Assert(t, countWork(second) > 0)
}

// TestAnUpstreamThatLeftBeforeTheStoreReturnedFromACopyGetsNothingNew: the copy lists upstreams as ready that
// have said since that they leave, or whose entries were removed.
func TestAnUpstreamThatLeftBeforeTheStoreReturnedFromACopyGetsNothingNew(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		testLeftBeforeTheReturn(t, func(f *fleet, w *worker.Worker) { f.registerIn("z1", w, serviceOf[w.Kind], "draining") })
	})
	t.Run("removed", func(t *testing.T) {
		testLeftBeforeTheReturn(t, func(f *fleet, w *worker.Worker) { f.store.Remove("servers", w.ID) })
	})
}

// testLeftBeforeTheReturn lets upstreams leave, by a write to the store, before the store returns from a copy,
// and repeats the write afterwards.
func testLeftBeforeTheReturn(t *testing.T, leave func(f *fleet, w *worker.Worker)) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	gateways := []*runningGateway{f.startIn("g1", "z1"), f.startIn("g2", "z2"), f.startIn("g3", "z1")}
	f.sendMix(gateways, "before")
	f.store.Copy()
	for _, w := range first {
		leave(f, w)
	}
	left := f.startWorkerIn("z2", "desk-3", "desk", worker.Plain)
	f.waitLines(len(gateways), "upstream_changed", left.ID)
	f.sendMix(gateways, "left")
	before := countWork(first)
	f.sendMix(gateways, "lost")

	f.store.ReturnFromCopy()
	returned := f.startWorkerIn("z2", "desk-4", "desk", worker.Plain)
	f.waitLines(len(gateways), "upstream_changed", returned.ID)
	f.sendMixFor(drainBound/2, gateways, "returned")
	assert.Equal(t, countWork(first), before, "work came after the return")
	for _, w := range first {
		leave(f, w)
	}
	f.sendMixFor(drainBound/2, gateways, "repeated")
	assert.Equal(t, countWork(first), before, "work came after the write was repeated")
	assert.Assert(t, countWork(second) > 0)
}
