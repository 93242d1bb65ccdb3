package gatewaytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/pools"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// Faults of the store.
var (
	faultsNone     = metastore.Faults{}
	faultsRefusing = metastore.Faults{Refuse: 503}
)

// askStream asks for a stream with a piece in each stage.
func (f *fleet) askStream(g *running, id string) answer {
	return f.ask(g, id, "POST", "/stream/x", "p", "X-Pieces", "1,1", "X-Piece-Key", "k")
}

// TestBatchesAreFilledFromAllGateways: while a pool's only worker is busy, what all
// gateways ask for gathers, and leaves in few calls.
func TestBatchesAreFilledFromAllGateways(t *testing.T) {
	f := newFleet(t)
	f.worker("llm-1", "llm", worker.Engine)
	enc := f.worker("enc-1", "enc", worker.Stage)
	enc.CallTime = 50 * time.Millisecond
	f.apply(base(1))
	gateways := []*running{f.start("g1"), f.start("g2"), f.start("g3")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g2"`, `["g1","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g3"`, `["g1","g2"]`)
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.askStream(gateways[i%3], id).body == stream(id))
		})
	}
	clients.Wait()
	items, owners := 0, map[string]bool{}
	for _, batch := range enc.Batches() {
		items += len(batch)
	}
	for _, line := range f.waitLines(48, "stage_done") {
		owners[decode(t, line, "owner").(string)] = true
	}
	assert.Equal(t, items, 48)
	assert.Equal(t, len(owners), 1)
	assert.Assert(t, len(enc.Batches()) <= 24, "%d calls for 48 items", len(enc.Batches()))
}

// TestTheNextOwnerTakesOver: the owner of a pool stops while its queue is full.
func TestTheNextOwnerTakesOver(t *testing.T) {
	f := newFleet(t)
	f.worker("llm-1", "llm", worker.Engine)
	enc := f.worker("enc-1", "enc", worker.Stage)
	f.apply(base(1))
	gateways := map[string]*running{"g1": f.start("g1"), "g2": f.start("g2")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	assert.Equal(t, f.askStream(gateways["g1"], "first").body, stream("first"))
	owner := decode(t, f.waitLines(1, "stage_done", "first")[0], "owner").(string)
	other := "g1"
	if owner == "g1" {
		other = "g2"
	}
	enc.CallTime = 100 * time.Millisecond
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.askStream(gateways[other], id).body == stream(id), id)
		})
	}
	f.waitUntil(func() bool { return len(enc.Batches()) > 2 }, "the pool works")
	gateways[owner].stop()
	clients.Wait()
	for _, batch := range enc.Batches() {
		for _, item := range batch {
			assert.Assert(t, item.ID != "")
		}
	}
}

func TestWantOfRoomAndLostInputsAreMadeGood(t *testing.T) {
	f := newFleet(t)
	f.worker("llm-1", "llm", worker.Engine)
	enc := f.worker("enc-1", "enc", worker.Stage)
	f.apply(base(1))
	g := f.start("g1")
	for name, faults := range map[string]worker.Faults{"room": {NoRoom: 2}, "gone": {Gone: 1}, "full": {Reject: 1}} {
		enc.Set(faults)
		assert.Equal(t, f.askStream(g, name).body, stream(name))
	}
	f.waitUntil(func() bool { return enc.Kept() == 0 }, "all results are freed")
}

// TestAPlannedStopFinishesWhatWasRead: requests in flight are answered, kept
// connections are told to close, the balancer is told at once, the process ends.
func TestAPlannedStopFinishesWhatWasRead(t *testing.T) {
	f := newFleet(t)
	desk := f.worker("desk-1", "desk", worker.Plain)
	f.apply(base(1))
	g := f.start("g1")
	release := desk.Hold()
	kept, err := net.Dial("tcp", g.settings.Listen.Clients)
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	_, err = io.WriteString(kept, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 1\r\n\r\nb")
	assert.NilError(t, err)
	f.waitUntil(func() bool { return len(desk.Runs()) == 1 }, "the request runs")
	g.stop()
	f.waitLines(1, "process_draining")
	late := make(chan answer)
	go func() { late <- f.ask(g, "r2", "POST", "/once/x", "b") }()
	f.waitUntil(func() bool { return len(desk.Runs()) == 2 }, "a request that was on its way runs")
	release()
	for id, got := range map[string]answer{"r1": read(bufio.NewReader(kept)), "r2": <-late} {
		assert.Equal(t, got.body, "answer of "+id)
		assert.Assert(t, got.last, "%s leaves its connection open", id)
	}
	f.stopAll()
	f.waitLines(1, "process_stopped")
}

// TestForgottenHistoryAndLostWritesAreOvercome: a gateway that starts while answers of
// writes are lost is a member all the same, and after the history is gone the newest
// configuration comes into force.
func TestForgottenHistoryAndLostWritesAreOvercome(t *testing.T) {
	f := newFleet(t)
	f.apply(base(1))
	f.start("g1")
	f.store.SetFaults(metastore.Faults{LoseWrites: true})
	f.startIn("g2", "z2") // so that g1 goes on reading the store itself
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	f.store.SetFaults(faultsRefusing)
	f.waitLines(1, "watch_lost", `"process":"g1"`, `"kind":"config"`)
	f.apply(base(2))
	f.store.Forget()
	f.store.SetFaults(faultsNone)
	f.waitLines(1, "watch_history_gone", `"process":"g1"`, `"kind":"config"`)
	f.waitLines(1, "table_in_force", `"process":"g1"`, `"version":2`)
}

// TestAStoreThatWasSilentIsReadAnewAtOnce: the long watches of that time are never
// answered, and must not be waited for.
func TestAStoreThatWasSilentIsReadAnewAtOnce(t *testing.T) {
	f := newFleet(t)
	f.apply(base(1))
	f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.waitLines(1, "watch_lost", `"process":"g1"`, `"kind":"config"`)
	f.store.SetFaults(faultsNone)
	f.waitLines(1, "watch_regained", `"process":"g1"`, `"kind":"config"`)
	f.startIn("g2", "z2") // so that g1 goes on reading the store itself
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	timedOut, _ := f.log.lines("watch_lost", `"process":"g1"`, `"kind":"acaciawinch-gateways"`)
	assert.Equal(t, len(timedOut), 0, "the watch of that time was waited for")
}

// TestTheIdLeadsThroughAllLogs follows one request of each kind by its id alone.
func TestTheIdLeadsThroughAllLogs(t *testing.T) {
	f := newFleet(t)
	f.worker("desk-1", "desk", worker.Plain)
	f.worker("llm-1", "llm", worker.Engine)
	f.worker("enc-1", "enc", worker.Stage)
	f.apply(base(1))
	g := f.start("g1")
	f.ask(g, "id-once", "POST", "/once/x", "b")
	f.ask(g, "id-safe", "GET", "/safe/x", "")
	f.askStream(g, "id-stream")
	for _, id := range []string{"id-once", "id-safe", "id-stream"} {
		sent := f.waitLines(1, `"`+id+`"`, "gateway_sent")[0]
		for _, field := range []string{"upstream", "reason", "load", "remaining_ms", "version"} {
			decode(t, sent, field)
		}
		answered := f.waitLines(1, `"`+id+`"`, "gateway_answered")[0]
		assert.Equal(t, decode(t, answered, "upstream"), decode(t, sent, "upstream"))
	}
	f.waitLines(2, `"id-stream"`, "stage_done")
}

// TestALargePoolIsUsedInAllItsParts: a pool above the size of one part is queued for in
// parts; upstreams of both work, and all results are freed.
func TestALargePoolIsUsedInAllItsParts(t *testing.T) {
	f := newFleet(t)
	f.worker("llm-1", "llm", worker.Engine)
	var pool []*worker.Worker
	for i := range 60 {
		pool = append(pool, f.worker(fmt.Sprintf("enc-%d", i), "enc", worker.Stage))
	}
	f.apply(base(1))
	gateways := []*running{f.start("g1"), f.start("g2"), f.start("g3"), f.start("g4")}
	for _, name := range []string{"g1", "g2", "g3", "g4"} {
		f.waitLines(1, "members_changed", `"process":"`+name+`"`)
	}
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.askStream(gateways[i%4], id).body == stream(id))
		})
	}
	clients.Wait()
	var used [2]int
	for _, w := range pool {
		for index := range used {
			if len(w.Batches()) > 0 && (pools.Part{Index: index, Count: len(used)}).Has(w.ID) {
				used[index]++
			}
		}
	}
	assert.Assert(t, used[0] > 0 && used[1] > 0, "workers used in the parts: %v", used)
	f.waitUntil(func() bool {
		kept := 0
		for _, w := range pool {
			kept += w.Kept()
		}
		return kept == 0
	}, "all results are freed")
}
