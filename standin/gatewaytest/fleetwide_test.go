package gatewaytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/pools"
	"acaciawinch/platform/stagecall"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// Faults of the store.
var (
	noFaults    = metastore.Faults{}
	refuseCalls = metastore.Faults{Refuse: 503}
)

// sendStream requests a stream with one item in each stage.
func (f *fleet) sendStream(g *runningGateway, id string) response {
	return f.send(g, id, "POST", "/stream/x", "p", "X-Pieces", "1,1", "X-Piece-Key", "k")
}

// TestBatchesAreFilledFromAllGateways: while the only worker of a pool is busy, the items of all
// gateways are queued at one owner and sent in few calls.
func TestBatchesAreFilledFromAllGateways(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	enc.CallTime = 50 * time.Millisecond
	f.apply(baseConfig(1))
	gateways := []*runningGateway{f.start("g1"), f.start("g2"), f.start("g3")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g2"`, `["g1","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g3"`, `["g1","g2"]`)
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.sendStream(gateways[i%3], id).body == streamBody(id))
		})
	}
	clients.Wait()
	items, owners := 0, map[string]bool{}
	for _, batch := range enc.Batches() {
		items += len(batch)
	}
	for _, line := range f.waitLines(48, "stage_done") {
		owners[logField(t, line, "owner").(string)] = true
	}
	assert.Equal(t, items, 48)
	assert.Equal(t, len(owners), 1)
	assert.Assert(t, len(enc.Batches()) <= 24, "%d calls for 48 items", len(enc.Batches()))
}

// TestTheNextOwnerTakesOver: the owner of a pool stops while its queue is full; the next owner must
// do the queued work.
func TestTheNextOwnerTakesOver(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	f.apply(baseConfig(1))
	gateways := map[string]*runningGateway{"g1": f.start("g1"), "g2": f.start("g2")}
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	assert.Equal(t, f.sendStream(gateways["g1"], "first").body, streamBody("first"))
	owner := logField(t, f.waitLines(1, "stage_done", "first")[0], "owner").(string)
	other := "g1"
	if owner == "g1" {
		other = "g2"
	}
	enc.CallTime = 100 * time.Millisecond
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.sendStream(gateways[other], id).body == streamBody(id), id)
		})
	}
	f.waitUntil(func() bool { return len(enc.Batches()) > 2 }, "the pool runs items")
	gateways[owner].stop()
	clients.Wait()
	for _, batch := range enc.Batches() {
		for _, item := range batch {
			assert.Assert(t, item.ID != "")
		}
	}
}

// TestTheNextOwnerLearnsWhichResultsAreInUse: the owner of a pool leaves while requests of two other gateways
// run on their results and none needs the pool any more. The next owner must learn of the results from both,
// or its first calls would leave them no room.
func TestTheNextOwnerLearnsWhichResultsAreInUse(t *testing.T) {
	const perGateway = 4
	f := newFleet(t)
	llm := f.startWorker("llm-1", "llm", worker.Engine)
	f.startWorker("enc-1", "enc", worker.Stage)
	config := baseConfig(1)
	config.Services[2].Pieces.HandleS = 60 // no result expires during the test
	f.apply(config)
	users := []*runningGateway{f.start("g1"), f.start("g2")}
	owner := f.start("g3") // the hashes of the names make it the owner
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2","g3"]`)
	f.waitLines(1, "members_changed", `"process":"g2"`, `["g1","g3"]`)
	release := llm.Hold() // the engine's load is unknown, so results are kept until its first event
	var clients sync.WaitGroup
	for number, g := range users {
		for i := range perGateway {
			clients.Go(func() {
				id := fmt.Sprint("r", number, "-", i)
				assert.Check(t, f.sendStream(g, id).body == streamBody(id), id)
			})
		}
	}
	f.waitLines(4*perGateway, "stage_done", `"owner":"g3"`)
	f.waitUntil(func() bool { return len(llm.Runs()) == 2*perGateway }, "all requests run on their results")
	owner.stop()
	f.waitUntil(func() bool {
		lines, _ := f.log.lines("pool_held_learned")
		learned := 0
		for _, line := range lines {
			learned += int(logField(t, line, "new").(float64))
		}
		return learned == 2*perGateway
	}, "the next owner knows the results of both gateways")
	release()
	clients.Wait()
}

// TestResultsOfTheLastCallsOfAnOwnerAreNamedToTheNext: another gateway becomes the owner of a pool while a call
// of the present one runs. The result comes after the change, and the next owner must learn of it too.
func TestResultsOfTheLastCallsOfAnOwnerAreNamedToTheNext(t *testing.T) {
	f := newFleet(t)
	llm := f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	config := baseConfig(1)
	config.Services[2].Pieces.CallMS, config.Services[2].Pieces.HandleS = 1000, 60
	enc.CallTime = time.Second // the next owner starts within some 0.1 s
	f.apply(config)
	g := f.start("g1")
	f.start("g2") // the hashes of the names make it the owner, and later g3
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	release := llm.Hold()
	var client sync.WaitGroup
	client.Go(func() {
		assert.Check(t, f.send(g, "r", "POST", "/stream/x", "p", "X-Pieces", "1,0", "X-Piece-Key", "k").body == streamBody("r"))
	})
	f.waitUntil(func() bool {
		return slices.ContainsFunc(enc.Arrivals(), func(a worker.Arrival) bool { return a.Path == stagecall.RunPath })
	}, "the owner's call runs")
	f.start("g3")
	f.waitLines(1, "stage_done", `"owner":"g2"`, `"request":"r"`)
	f.waitLines(1, "pool_held_learned", `"new":1`, `"process":"g3"`)
	release()
	client.Wait()
}

func TestRejectedItemsAndLostInputsAreRetried(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	f.apply(baseConfig(1))
	g := f.start("g1")
	for name, faults := range map[string]worker.Faults{"room": {NoRoom: 2}, "gone": {Gone: 1}, "full": {Reject: 1}} {
		enc.SetFaults(faults)
		assert.Equal(t, f.sendStream(g, name).body, streamBody(name))
	}
	f.waitUntil(func() bool { return enc.Kept() == 0 }, "all results are freed")
}

// TestAPlannedStopFinishesWhatWasRead: on a planned stop, requests in flight are answered, clients
// are told to close kept connections, the load balancer is told at once, and the process ends.
func TestAPlannedStopFinishesWhatWasRead(t *testing.T) {
	f := newFleet(t)
	desk := f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
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
	late := make(chan response)
	go func() { late <- f.send(g, "r2", "POST", "/once/x", "b") }()
	f.waitUntil(func() bool { return len(desk.Runs()) == 2 }, "a request that was already on its way runs")
	release()
	for id, got := range map[string]response{"r1": readResponse(bufio.NewReader(kept)), "r2": <-late} {
		assert.Equal(t, got.body, "answer of "+id)
		assert.Assert(t, got.closesConn, "%s leaves its connection open", id)
	}
	f.stopAll()
	f.waitLines(1, "process_stopped")
}

// TestAGatewayRecoversFromLostHistoryAndLostWrites: a gateway that starts while the responses to
// its writes are lost becomes a member all the same, and after the history of the store is gone the
// newest configuration comes into force.
func TestAGatewayRecoversFromLostHistoryAndLostWrites(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.store.SetFaults(metastore.Faults{LoseWrites: true})
	f.startIn("g2", "z2") // in another zone, so that g1 keeps reading the store itself
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	f.store.SetFaults(refuseCalls)
	f.waitLines(1, "watch_lost", `"process":"g1"`, `"kind":"config"`)
	f.apply(baseConfig(2))
	f.store.Forget()
	f.store.SetFaults(noFaults)
	f.waitLines(1, "watch_history_gone", `"process":"g1"`, `"kind":"config"`)
	f.waitLines(1, "table_in_force", `"process":"g1"`, `"version":2`)
}

// TestAStoreThatWasSilentIsWatchedAnewAtOnce: watches that were sent while the store was silent
// never get a response; a gateway must not wait for their timeout.
func TestAStoreThatWasSilentIsWatchedAnewAtOnce(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.waitLines(1, "members_changed", `"process":"g1"`)
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.waitLines(1, "watch_lost", `"process":"g1"`, `"kind":"config"`)
	f.store.SetFaults(noFaults)
	f.waitLines(1, "watch_regained", `"process":"g1"`, `"kind":"config"`)
	f.startIn("g2", "z2") // in another zone, so that g1 keeps reading the store itself
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	timedOut, _ := f.log.lines("watch_lost", `"process":"g1"`, `"kind":"acaciawinch-gateways"`)
	assert.Equal(t, len(timedOut), 0, "the gateway waited for a watch from the silent time")
}

// TestARequestCanBeFollowedByItsIdInAllLogs: the id alone is enough to find all log lines of a
// request, for a request of each kind.
func TestARequestCanBeFollowedByItsIdInAllLogs(t *testing.T) {
	f := newFleet(t)
	f.startWorker("desk-1", "desk", worker.Plain)
	f.startWorker("llm-1", "llm", worker.Engine)
	f.startWorker("enc-1", "enc", worker.Stage)
	f.apply(baseConfig(1))
	g := f.start("g1")
	f.send(g, "id-once", "POST", "/once/x", "b")
	f.send(g, "id-safe", "GET", "/safe/x", "")
	f.sendStream(g, "id-stream")
	for _, id := range []string{"id-once", "id-safe", "id-stream"} {
		sent := f.waitLines(1, `"`+id+`"`, "gateway_sent")[0]
		for _, field := range []string{"upstream", "reason", "load", "remaining_ms", "version"} {
			logField(t, sent, field)
		}
		answered := f.waitLines(1, `"`+id+`"`, "gateway_answered")[0]
		assert.Equal(t, logField(t, answered, "upstream"), logField(t, sent, "upstream"))
	}
	f.waitLines(2, `"id-stream"`, "stage_done")
}

// TestALargePoolIsUsedInAllItsPartitions: a pool above the size of one partition is split;
// upstreams of both partitions must get work, and all results must be freed.
func TestALargePoolIsUsedInAllItsPartitions(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	var pool []*worker.Worker
	for i := range 60 {
		pool = append(pool, f.startWorker(fmt.Sprintf("enc-%d", i), "enc", worker.Stage))
	}
	f.apply(baseConfig(1))
	gateways := []*runningGateway{f.start("g1"), f.start("g2"), f.start("g3"), f.start("g4")}
	for _, name := range []string{"g1", "g2", "g3", "g4"} {
		f.waitLines(1, "members_changed", `"process":"`+name+`"`)
	}
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d", i)
			assert.Check(t, f.sendStream(gateways[i%4], id).body == streamBody(id))
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
	assert.Assert(t, used[0] > 0 && used[1] > 0, "workers used by partition: %v", used)
	f.waitUntil(func() bool {
		kept := 0
		for _, w := range pool {
			kept += w.Kept()
		}
		return kept == 0
	}, "all results are freed")
}
