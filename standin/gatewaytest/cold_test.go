package gatewaytest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/rendezvous"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// coldConfig returns a configuration whose engines take few requests a second while they are
// cold, and are cold for longer than a test lasts.
func coldConfig(version int64) platformdoc.Document {
	document := baseConfig(version)
	for i := range document.Services {
		if document.Services[i].Name == "llm" {
			document.Services[i].ColdStartS, document.Services[i].ColdPerS = 60, 2
		}
	}
	return document
}

// registerCold writes the entry of a worker that is cold for longer than a test lasts.
func (f *fleet) registerCold(w *worker.Worker, service string) {
	f.store.Put("servers", w.ID, platformdoc.Worker{Service: service, Address: w.Address(), Zone: "z1", Slots: 8, State: "ready", ColdLeftMS: 60_000})
}

// prefixPreferring returns the name of a prompt prefix that all gateways prefer to send to the first of
// two engines.
func prefixPreferring(first, second string) string {
	for n := 0; ; n++ {
		prefix := fmt.Sprintf("%x", n)
		key := rendezvous.Hash(prefix)
		if rendezvous.Score(key, rendezvous.Hash(first)) > rendezvous.Score(key, rendezvous.Hash(second)) {
			return prefix
		}
	}
}

// burst sends many requests with one prefix at once, through all gateways, and returns how many were
// served and how many refused. All gateways prefer engine llm-1 for the prefix.
func (f *fleet) burst(name string, count int, gateways ...*runningGateway) (served, refused int) {
	f.t.Helper()
	prefix := prefixPreferring("llm-1", "llm-2")
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			got := f.send(gateways[i%len(gateways)], id, "POST", "/strict/x", "p", "X-Prompt-Prefix", prefix+":800,"+id+":10")
			mu.Lock()
			defer mu.Unlock()
			switch got.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
			}
		})
	}
	clients.Wait()
	return served, refused
}

// TestAColdEngineGetsFewRequestsOfABurst: all requests of a burst share a prefix, for which all
// gateways would choose the same engine. While that engine is cold it gets few of them, and the
// remainder is served elsewhere.
func TestAColdEngineGetsFewRequestsOfABurst(t *testing.T) {
	f := newFleet(t)
	cold, warm := f.startWorker("llm-1", "llm", worker.Engine), f.startWorker("llm-2", "llm", worker.Engine)
	f.apply(coldConfig(1))
	gateways := []*runningGateway{f.start("g1"), f.start("g2"), f.start("g3")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g2"`, `["g1","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g3"`, `["g1","g2"]`)
	f.registerCold(cold, "llm")
	f.waitLines(3, "upstream_changed", `"upstream":"llm-1"`, `"cold_ms":60000`)
	served, refused := f.burst("b", 60, gateways...)
	assert.Equal(t, served, 60, "%d refused", refused)
	assert.Assert(t, len(cold.Runs()) <= 3, "each gateway may send one in 1.8 s; the cold engine got %d", len(cold.Runs()))
	assert.Equal(t, len(cold.Runs())+len(warm.Runs()), 60)
}

// TestWithColdEnginesAloneTheRestIsRefusedAtOnce: with cold engines only, the requests that these
// can't take are refused at once with a Retry-After.
func TestWithColdEnginesAloneTheRestIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	cold := f.startWorker("llm-1", "llm", worker.Engine)
	f.registerCold(cold, "llm")
	f.apply(coldConfig(1))
	g := f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	served, refused := f.burst("b", 10, g)
	assert.Equal(t, served, 1)
	assert.Equal(t, refused, 9)
	assert.Equal(t, len(cold.Runs()), 1)
}

// TestAZoneThatIsUsedAgainIsTreatedAsCold: when an evacuation ends, the engines of the zone count
// as cold: they may have become cold during the evacuation without a report of it.
func TestAZoneThatIsUsedAgainIsTreatedAsCold(t *testing.T) {
	f := newFleet(t)
	first := f.startWorkerIn("z1", "llm-1", "llm", worker.Engine)
	second := f.startWorkerIn("z2", "llm-2", "llm", worker.Engine)
	f.apply(coldConfig(1))
	g := f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	f.evacuate("z1")
	f.waitLines(1, "zone_evacuated")
	f.endEvacuation("z1")
	f.waitLines(1, "zone_taken_back")
	served, _ := f.burst("b", 20, g)
	assert.Equal(t, served, 20)
	assert.Assert(t, len(first.Runs()) <= 1)
	assert.Assert(t, len(second.Runs()) >= 19)
}
