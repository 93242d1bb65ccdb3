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

// evacuate starts the evacuation of a zone: its workers get nothing new.
func (f *fleet) evacuate(zone string) { f.store.Put("evacuations", zone, struct{}{}) }

// endEvacuation ends the evacuation of a zone.
func (f *fleet) endEvacuation(zone string) { f.store.Remove("evacuations", zone) }

// startWorkerIn starts a worker in a zone and registers it.
func (f *fleet) startWorkerIn(zone, id, service string, kind worker.Kind) *worker.Worker {
	f.t.Helper()
	w := f.startWorker(id, service, kind)
	f.registerIn(zone, w, service, "ready")
	return w
}

// twoZones starts an engine, a plain worker and a stage worker in each of two zones.
func (f *fleet) twoZones() (first, second []*worker.Worker) {
	f.t.Helper()
	for service, kind := range map[string]worker.Kind{"llm": worker.Engine, "desk": worker.Plain, "enc": worker.Stage} {
		first = append(first, f.startWorkerIn("z1", service+"-1", service, kind))
		second = append(second, f.startWorkerIn("z2", service+"-2", service, kind))
	}
	return first, second
}

// countWork counts the requests and stage calls that workers ran.
func countWork(list []*worker.Worker) int {
	count := 0
	for _, w := range list {
		count += len(w.Runs()) + len(w.Batches())
	}
	return count
}

// TestAnEvacuatedZoneGetsNothingUntilTheEvacuationEnds: during an evacuation, requests, streams and
// stage items all go to the other zone. Afterwards the zone is used again.
func TestAnEvacuatedZoneGetsNothingUntilTheEvacuationEnds(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	gateways := []*runningGateway{f.startIn("g1", "z1"), f.startIn("g2", "z2")}
	sendRound := func(name string) {
		for i := range 24 {
			g := gateways[i%2]
			id := fmt.Sprintf("%s-%d", name, i)
			assert.Equal(t, f.sendStream(g, id).body, streamBody(id))
			assert.Equal(t, f.send(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
		}
	}
	sendRound("before")
	assert.Assert(t, countWork(first) > 0 && countWork(second) > 0)

	f.evacuate("z1")
	f.waitLines(2, "zone_evacuated", `"zone":"z1"`)
	before := countWork(first)
	sendRound("during")
	assert.Equal(t, countWork(first), before)
	f.waitLines(2, "zone_emptied", `"zone":"z1"`)

	f.endEvacuation("z1")
	f.waitLines(2, "zone_taken_back", `"zone":"z1"`)
	sendRound("after")
	assert.Assert(t, countWork(first) > before)
}

// TestAGatewayThatStartsInAnEvacuationSendsNothingThere: a gateway must know of a running
// evacuation before it sends its first request.
func TestAGatewayThatStartsInAnEvacuationSendsNothingThere(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	f.evacuate("z1")
	for _, g := range []*runningGateway{f.start("g1"), f.start("g2")} {
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", g.settings.Process.Name, i)
			assert.Equal(t, f.sendStream(g, id).body, streamBody(id))
		}
	}
	assert.Equal(t, countWork(first), 0)
	assert.Assert(t, countWork(second) > 0)
}

// TestWithAllZonesEvacuatedRequestsAreRefusedAtOnce: with every zone evacuated, requests are
// refused at once instead of waiting for their deadline, also those that would first wait for a
// stage.
func TestWithAllZonesEvacuatedRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	f.twoZones()
	f.apply(baseConfig(1))
	g := f.start("g1")
	f.evacuate("z1")
	f.evacuate("z2")
	f.evacuate("a zone that nobody knows")
	f.waitLines(3, "zone_evacuated")
	for name, send := range map[string]func(id string) response{
		"stages": func(id string) response { return f.sendStream(g, id) },
		"stream": func(id string) response { return f.send(g, id, "POST", "/strict/x", "p") },
		"once":   func(id string) response { return f.send(g, id, "POST", "/once/x", "p") },
	} {
		refused := send(name)
		assert.Equal(t, refused.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, refused.header.Get("Retry-After") != "", name)
		took := logField(t, f.waitLines(1, "gateway_refused", fmt.Sprintf(`"request":%q`, name))[0], "duration_us").(float64)
		assert.Assert(t, took < float64((2*time.Second).Microseconds()), "%s waited %v µs of 5 s", name, took)
	}
}

// TestItemsQueuedForAnEvacuatedPoolGoToTheOtherZone: items that are queued when an evacuation
// starts must not be lost.
func TestItemsQueuedForAnEvacuatedPoolGoToTheOtherZone(t *testing.T) {
	f := newFleet(t)
	first, _ := f.twoZones()
	f.apply(baseConfig(1))
	g := f.start("g1")
	for _, w := range first {
		w.CallTime = 50 * time.Millisecond
	}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.sendStream(g, id).body == streamBody(id), id)
		})
	}
	f.waitUntil(func() bool { return countWork(first) > 0 }, "the first zone runs items")
	f.evacuate("z1")
	clients.Wait()
}

// TestAnEvacuationDuringAStoreOutageIsSeenAfterIt: an evacuation that starts while the store is
// down, or whose event is gone from the history, must still be found.
func TestAnEvacuationDuringAStoreOutageIsSeenAfterIt(t *testing.T) {
	f := newFleet(t)
	f.twoZones()
	f.apply(baseConfig(1))
	f.start("g1")
	f.store.SetFaults(refuseCalls)
	f.waitLines(1, "watch_lost")
	f.evacuate("z1")
	f.store.SetFaults(noFaults)
	f.waitLines(1, "zone_evacuated", `"zone":"z1"`)
	f.store.PutForgotten("evacuations", "z2", struct{}{})
	f.waitLines(1, "zone_evacuated", `"zone":"z2"`)
}
