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

// TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNothingNew: the store, which is silent, can't tell.
// Neither requests nor pieces of stages come to it after its first answer.
func TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNothingNew(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(base(1))
	g := f.start("g1")
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.waitLines(1, "watch_lost")
	for _, w := range first {
		w.Leave()
	}
	ask := func(name string) {
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", name, i)
			part := hotPart("llm-1", "llm-2")
			headers := []string{"X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", part + ":9," + id + ":1"}
			assert.Equal(t, f.ask(g, id, "POST", "/stream/x", id, headers...).body, stream(id))
			assert.Equal(t, f.ask(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
		}
	}
	ask("before")
	for _, w := range first {
		assert.Assert(t, workOf([]*worker.Worker{w}) <= 2, "%s got %d requests or calls", w.ID, workOf([]*worker.Worker{w}))
	}
	told := workOf(first)
	assert.Assert(t, told > 0)
	ask("after")
	assert.Equal(t, workOf(first), told)

	// Its entry comes back with a store that had dropped it; it still leaves.
	f.store.SetFaults(faultsNone)
	f.waitLines(1, "watch_regained")
	for _, service := range []string{"llm", "desk", "enc"} {
		f.store.Remove("servers", service+"-1")
	}
	f.waitLines(3, "upstream_gone")
	for _, w := range first {
		f.registerIn("z1", w, map[worker.Kind]string{worker.Engine: "llm", worker.Plain: "desk", worker.Stage: "enc"}[w.Kind], "ready")
	}
	f.waitLines(9, "upstream_changed")
	ask("back")
	assert.Equal(t, workOf(first), told)
	assert.Assert(t, workOf(second) > 0)
}

// pause is what upstreams of the test ask for; it is above the time of the test, and below the most
// that they are believed.
const pause = 4 * time.Minute

// TestAnUpstreamThatAsksForAPauseGetsNothingUntilItEnds: requests go elsewhere, and are refused at
// once if all upstreams have asked.
func TestAnUpstreamThatAsksForAPauseGetsNothingUntilItEnds(t *testing.T) {
	t.Run("meanwhile", nothingMeanwhile)
	t.Run("afterwards", servedAgain)
}

// nothingMeanwhile sends requests and pieces of stages while upstreams want none.
func nothingMeanwhile(t *testing.T) {
	f := newFleet(t)
	first, second := f.twoZones()
	f.apply(base(1))
	g := f.start("g1")
	for _, w := range first {
		w.Set(worker.Faults{Reject: 1 << 20, RetryAfter: pause})
	}
	for i := range 12 {
		id := fmt.Sprintf("r%d", i)
		part := hotPart("llm-1", "llm-2")
		headers := []string{"X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", part + ":9," + id + ":1"}
		assert.Equal(t, f.ask(g, id, "POST", "/stream/x", id, headers...).body, stream(id))
		assert.Equal(t, f.ask(g, id+"-safe", "GET", "/safe/x", "").status, http.StatusOK)
	}
	for _, w := range first {
		assert.Equal(t, len(w.Refusals()), 1, w.ID)
	}
	for _, w := range second {
		w.Set(worker.Faults{Reject: 1 << 20, RetryAfter: pause})
	}
	f.ask(g, "last", "POST", "/once/x", "b")
	for i := range 4 {
		refused := f.ask(g, fmt.Sprintf("refused-%d", i), "POST", "/once/x", "b")
		assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		assert.Assert(t, refused.header.Get("Retry-After") != "")
	}
	for _, w := range second {
		assert.Assert(t, len(w.Refusals()) <= 1, w.ID)
	}
}

// servedAgain sends requests until the pause is over.
func servedAgain(t *testing.T) {
	f := newFleet(t)
	desk := f.worker("desk-1", "desk", worker.Plain)
	f.apply(base(1))
	g := f.start("g1")
	desk.Set(worker.Faults{Reject: 1, RetryAfter: 700 * time.Millisecond})
	assert.Equal(t, f.ask(g, "first", "POST", "/once/x", "b").status, http.StatusServiceUnavailable)
	for i := 0; f.ask(g, fmt.Sprintf("r%d", i), "POST", "/once/x", "b").status != http.StatusOK; i++ {
	}
	again := desk.Runs()[0]
	assert.Assert(t, again.At.Sub(desk.Refusals()[0].At) >= 600*time.Millisecond)
}

// TestARequestWhoseStagesAreDoneWaitsForAShortPause: and one that can't be served before the end of a
// long one is refused before its stages are done in vain.
func TestARequestWhoseStagesAreDoneWaitsForAShortPause(t *testing.T) {
	f := newFleet(t)
	llm, enc := f.worker("llm-1", "llm", worker.Engine), f.worker("enc-1", "enc", worker.Stage)
	f.apply(base(1))
	g := f.start("g1")
	llm.Set(worker.Faults{Reject: 1, RetryAfter: 700 * time.Millisecond})
	assert.Equal(t, f.askStream(g, "turned-away").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.askStream(g, "waits").body, stream("waits"))
	assert.Assert(t, llm.Runs()[0].At.Sub(llm.Refusals()[0].At) >= 600*time.Millisecond)

	llm.Set(worker.Faults{Reject: 1, RetryAfter: pause})
	assert.Equal(t, f.askStream(g, "turned-away-again").status, http.StatusServiceUnavailable)
	before := len(enc.Batches())
	refused := f.askStream(g, "refused")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > pause.Seconds()/2 && after <= pause.Seconds(), "%v s", after)
	assert.Equal(t, len(enc.Batches()), before, "stages were done in vain")
}
