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

// coldBase returns a configuration whose engines take few requests a second while they are
// cold, for longer than a test lasts.
func coldBase(version int64) platformdoc.Document {
	document := base(version)
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

// hotPart returns the name of a part of prompts that all gateways send to the first of two
// engines.
func hotPart(first, second string) string {
	for n := 0; ; n++ {
		part := fmt.Sprintf("%x", n)
		key := rendezvous.Hash(part)
		if rendezvous.Score(key, rendezvous.Hash(first)) > rendezvous.Score(key, rendezvous.Hash(second)) {
			return part
		}
	}
}

// burst sends many requests of one part at once, through all gateways, and returns how many
// were answered and how many refused. All would go to engine llm-1.
func (f *fleet) burst(name string, count int, gateways ...*running) (served, refused int) {
	f.t.Helper()
	part := hotPart("llm-1", "llm-2")
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			got := f.ask(gateways[i%len(gateways)], id, "POST", "/strict/x", "p", "X-Prompt-Prefix", part+":800,"+id+":10")
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

// TestAColdEngineGetsFewRequestsOfABurst: of one hot part of a prompt, which all gateways would
// send to one engine; the rest is served elsewhere.
func TestAColdEngineGetsFewRequestsOfABurst(t *testing.T) {
	f := newFleet(t)
	cold, warm := f.worker("llm-1", "llm", worker.Engine), f.worker("llm-2", "llm", worker.Engine)
	f.apply(coldBase(1))
	gateways := []*running{f.start("g1"), f.start("g2"), f.start("g3")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g2"`, `["g1","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g3"`, `["g1","g2"]`)
	f.registerCold(cold, "llm")
	f.waitLines(3, "upstream_changed", `"upstream":"llm-1"`, `"cold_ms":60000`)
	served, refused := f.burst("b", 60, gateways...)
	assert.Equal(t, served, 60, "%d refused", refused)
	assert.Assert(t, len(cold.Runs()) <= 3, "a gateway sends one in 1.8 s: %d", len(cold.Runs()))
	assert.Equal(t, len(cold.Runs())+len(warm.Runs()), 60)
}

// TestWithColdEnginesAloneTheRestIsRefusedAtOnce: and each client is told when to come back.
func TestWithColdEnginesAloneTheRestIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	cold := f.worker("llm-1", "llm", worker.Engine)
	f.registerCold(cold, "llm")
	f.apply(coldBase(1))
	g := f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	served, refused := f.burst("b", 10, g)
	assert.Equal(t, served, 1)
	assert.Equal(t, refused, 9)
	assert.Equal(t, len(cold.Runs()), 1)
}

// TestAZoneThatIsTakenBackIsTakenForCold: its engines may have become cold unheard.
func TestAZoneThatIsTakenBackIsTakenForCold(t *testing.T) {
	f := newFleet(t)
	first := f.workerIn("z1", "llm-1", "llm", worker.Engine)
	second := f.workerIn("z2", "llm-2", "llm", worker.Engine)
	f.apply(coldBase(1))
	g := f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	f.evacuate("z1")
	f.waitLines(1, "zone_evacuated")
	f.takeBack("z1")
	f.waitLines(1, "zone_taken_back")
	served, _ := f.burst("b", 20, g)
	assert.Equal(t, served, 20)
	assert.Assert(t, len(first.Runs()) <= 1)
	assert.Assert(t, len(second.Runs()) >= 19)
}
