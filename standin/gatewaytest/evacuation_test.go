package gatewaytest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// evacuate asks that a zone's workers get nothing new.
func (f *fleet) evacuate(zone string) { f.store.Put("evacuations", zone, struct{}{}) }

// takeBack ends the evacuation of a zone.
func (f *fleet) takeBack(zone string) { f.store.Remove("evacuations", zone) }

// workerIn starts a worker in a zone and registers it.
func (f *fleet) workerIn(zone, id, service string, kind worker.Kind) *worker.Worker {
	f.t.Helper()
	w := f.worker(id, service, kind)
	f.registerIn(zone, w, service, "ready")
	return w
}

// twoZones starts an engine, a desk and a pool's worker in each of two zones.
func (f *fleet) twoZones() (first, second []*worker.Worker) {
	f.t.Helper()
	for service, kind := range map[string]worker.Kind{"llm": worker.Engine, "desk": worker.Plain, "enc": worker.Stage} {
		first = append(first, f.workerIn("z1", service+"-1", service, kind))
		second = append(second, f.workerIn("z2", service+"-2", service, kind))
	}
	return first, second
}

// workOf counts the requests and calls that workers got.
func workOf(list []*worker.Worker) int {
	count := 0
	for _, w := range list {
		count += len(w.Runs()) + len(w.Batches())
	}
	return count
}

// TestAnEvacuatedZoneGetsNothingUntilItIsTakenBack: requests, streams and pieces of stages
// all go to the other zone, and come back afterwards.
func TestAnEvacuatedZoneGetsNothingUntilItIsTakenBack(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(base(1))
	gateways := []*running{f.startIn("g1", "z1"), f.startIn("g2", "z2")}
	ask := func(name string) {
		for i := range 24 {
			g := gateways[i%2]
			id := fmt.Sprintf("%s-%d", name, i)
			assert.Equal(t, f.askStream(g, id).body, stream(id))
			assert.Equal(t, f.ask(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
		}
	}
	ask("before")
	assert.Assert(t, workOf(first) > 0 && workOf(second) > 0)

	f.evacuate("z1")
	f.waitLines(2, "zone_evacuated", `"zone":"z1"`)
	before := workOf(first)
	ask("during")
	assert.Equal(t, workOf(first), before)
	f.waitLines(2, "zone_emptied", `"zone":"z1"`)

	f.takeBack("z1")
	f.waitLines(2, "zone_taken_back", `"zone":"z1"`)
	ask("after")
	assert.Assert(t, workOf(first) > before)
}

// TestAGatewayThatStartsInAnEvacuationSendsNothingThere: it knows of the evacuation before
// its first request.
func TestAGatewayThatStartsInAnEvacuationSendsNothingThere(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(base(1))
	f.evacuate("z1")
	for _, g := range []*running{f.start("g1"), f.start("g2")} {
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", g.settings.Process.Name, i)
			assert.Equal(t, f.askStream(g, id).body, stream(id))
		}
	}
	assert.Equal(t, workOf(first), 0)
	assert.Assert(t, workOf(second) > 0)
}

// TestWithAllZonesEvacuatedRequestsAreRefusedAtOnce: also those that would wait for a stage.
func TestWithAllZonesEvacuatedRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	f.twoZones()
	f.apply(base(1))
	g := f.start("g1")
	f.evacuate("z1")
	f.evacuate("z2")
	f.evacuate("a zone that nobody knows")
	f.waitLines(3, "zone_evacuated")
	for name, ask := range map[string]func(id string) answer{
		"stages": func(id string) answer { return f.askStream(g, id) },
		"stream": func(id string) answer { return f.ask(g, id, "POST", "/strict/x", "p") },
		"once":   func(id string) answer { return f.ask(g, id, "POST", "/once/x", "p") },
	} {
		refused := ask(name)
		assert.Equal(t, refused.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, refused.header.Get("Retry-After") != "", name)
		took := decode(t, f.waitLines(1, "gateway_refused", fmt.Sprintf(`"request":%q`, name))[0], "duration_us").(float64)
		assert.Assert(t, took < float64((2*time.Second).Microseconds()), "%s waited %v µs of 5 s", name, took)
	}
}

// TestWhatWaitsForAnEvacuatedPoolGoesToTheOtherZone: nothing that is queued is lost.
func TestWhatWaitsForAnEvacuatedPoolGoesToTheOtherZone(t *testing.T) {
	f := newFleet(t)
	first, _ := f.twoZones()
	f.apply(base(1))
	g := f.start("g1")
	for _, w := range first {
		w.CallTime = 50 * time.Millisecond
	}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.askStream(g, id).body == stream(id), id)
		})
	}
	f.waitUntil(func() bool { return workOf(first) > 0 }, "the first zone works")
	f.evacuate("z1")
	clients.Wait()
}

// TestAnEvacuationInAnOutageOfTheStoreIsSeenAfterIt: and one whose history is gone.
func TestAnEvacuationInAnOutageOfTheStoreIsSeenAfterIt(t *testing.T) {
	f := newFleet(t)
	f.twoZones()
	f.apply(base(1))
	f.start("g1")
	f.store.SetFaults(faultsRefusing)
	f.waitLines(1, "watch_lost")
	f.evacuate("z1")
	f.store.SetFaults(faultsNone)
	f.waitLines(1, "zone_evacuated", `"zone":"z1"`)
	f.store.PutForgotten("evacuations", "z2", struct{}{})
	f.waitLines(1, "zone_evacuated", `"zone":"z2"`)
}
