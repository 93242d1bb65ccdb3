package gatewaytest

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNothingNew: an upstream that announces in its
// responses that it leaves gets neither requests nor stage items after the first such response,
// also when the store is silent and can't report its state.
func TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNothingNew(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	g := f.start("g1")
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.waitLines(1, "watch_lost")
	for _, w := range first {
		w.Leave()
	}
	sendRound := func(name string) {
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", name, i)
			prefix := prefixPreferring("llm-1", "llm-2")
			headers := []string{"X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", prefix + ":9," + id + ":1"}
			assert.Equal(t, f.send(g, id, "POST", "/stream/x", id, headers...).body, streamBody(id))
			assert.Equal(t, f.send(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
		}
	}
	sendRound("before")
	for _, w := range first {
		assert.Assert(t, countWork([]*worker.Worker{w}) <= 2, "%s got %d requests or calls", w.ID, countWork([]*worker.Worker{w}))
	}
	workBefore := countWork(first)
	assert.Assert(t, workBefore > 0)
	sendRound("after")
	assert.Equal(t, countWork(first), workBefore)

	// Its entry in the store is removed and written again, as ready. The upstream still leaves.
	f.store.SetFaults(noFaults)
	f.waitLines(1, "watch_regained")
	for _, service := range []string{"llm", "desk", "enc"} {
		f.store.Remove("servers", service+"-1")
	}
	f.waitLines(3, "upstream_gone")
	for _, w := range first {
		f.registerIn("z1", w, map[worker.Kind]string{worker.Engine: "llm", worker.Plain: "desk", worker.Stage: "enc"}[w.Kind], "ready")
	}
	f.waitLines(9, "upstream_changed")
	sendRound("back")
	assert.Equal(t, countWork(first), workBefore)
	assert.Assert(t, countWork(second) > 0)
}

// longBackoff is the Retry-After of the upstreams in these tests: longer than any of the tests, and
// below the limit up to which gateways accept the value.
const longBackoff = 4 * time.Minute

// TestAnUpstreamThatAsksForAPauseGetsNothingUntilItEnds: while an upstream is backed off, its
// requests go to other upstreams. Once all upstreams are backed off, requests are refused at once.
func TestAnUpstreamThatAsksForAPauseGetsNothingUntilItEnds(t *testing.T) {
	t.Run("meanwhile", testNoRequestsDuringBackoff)
	t.Run("afterwards", testServedAfterBackoff)
}

// testNoRequestsDuringBackoff sends requests and stage items while upstreams are backed off.
func testNoRequestsDuringBackoff(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(baseConfig(1))
	g := f.start("g1")
	for _, w := range first {
		w.SetFaults(worker.Faults{Reject: 1 << 20, RetryAfter: longBackoff})
	}
	for i := range 12 {
		id := fmt.Sprintf("r%d", i)
		prefix := prefixPreferring("llm-1", "llm-2")
		headers := []string{"X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", prefix + ":9," + id + ":1"}
		assert.Equal(t, f.send(g, id, "POST", "/stream/x", id, headers...).body, streamBody(id))
		assert.Equal(t, f.send(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
	}
	for _, w := range first {
		assert.Equal(t, len(w.Rejections()), 1, w.ID)
	}
	for _, w := range second {
		w.SetFaults(worker.Faults{Reject: 1 << 20, RetryAfter: longBackoff})
	}
	f.send(g, "last", "POST", "/once/x", "b")
	for i := range 4 {
		refused := f.send(g, fmt.Sprintf("refused-%d", i), "POST", "/once/x", "b")
		assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		assert.Assert(t, refused.header.Get("Retry-After") != "")
	}
	for _, w := range second {
		assert.Assert(t, len(w.Rejections()) <= 1, w.ID)
	}
}

// testServedAfterBackoff sends requests until the backoff ends.
func testServedAfterBackoff(t *testing.T) {
	f := newFleet(t)
	desk := f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
	g := f.start("g1")
	desk.SetFaults(worker.Faults{Reject: 1, RetryAfter: 700 * time.Millisecond})
	assert.Equal(t, f.send(g, "first", "POST", "/once/x", "b").status, http.StatusServiceUnavailable)
	for i := 0; f.send(g, fmt.Sprintf("r%d", i), "POST", "/once/x", "b").status != http.StatusOK; i++ {
	}
	first := desk.Runs()[0]
	assert.Assert(t, first.At.Sub(desk.Rejections()[0].At) >= 600*time.Millisecond)
}

// TestARequestWhoseStagesAreDoneWaitsForAShortPause: a request whose stages are done waits for the
// end of a short backoff. A request that can't be served before the end of a long one is refused
// before its stages run in vain.
func TestARequestWhoseStagesAreDoneWaitsForAShortPause(t *testing.T) {
	f := newFleet(t)
	llm, enc := f.startWorker("llm-1", "llm", worker.Engine), f.startWorker("enc-1", "enc", worker.Stage)
	f.apply(baseConfig(1))
	g := f.start("g1")
	llm.SetFaults(worker.Faults{Reject: 1, RetryAfter: 700 * time.Millisecond})
	assert.Equal(t, f.sendStream(g, "turned-away").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.sendStream(g, "waits").body, streamBody("waits"))
	assert.Assert(t, llm.Runs()[0].At.Sub(llm.Rejections()[0].At) >= 600*time.Millisecond)

	llm.SetFaults(worker.Faults{Reject: 1, RetryAfter: longBackoff})
	assert.Equal(t, f.sendStream(g, "turned-away-again").status, http.StatusServiceUnavailable)
	before := len(enc.Batches())
	refused := f.sendStream(g, "refused")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > longBackoff.Seconds()/2 && after <= longBackoff.Seconds(), "%v s", after)
	assert.Equal(t, len(enc.Batches()), before, "stages were done in vain")
}
