package gatewaytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// doubledFleet starts a gateway with an engine and one stage worker, which echoes the IDs of calls if echoes is
// set. It returns them.
func doubledFleet(t *testing.T, echoes bool) (*fleet, *runningGateway, *worker.Worker, *worker.Worker) {
	f := newFleet(t)
	llm := f.startWorker("llm-1", "llm", worker.Engine)
	enc := f.startWorker("enc-1", "enc", worker.Stage)
	enc.EchoesCalls, enc.CallTime = echoes, doubledCallTime
	f.apply(baseConfig(1))
	return f, f.start("g1"), llm, enc
}

// doubledCallTime leaves time for another call on a connection on which a copy came before the response.
const doubledCallTime = 100 * time.Millisecond

// lastStage is the stage whose results engines get.
const lastStage = 1

// assertOwnInputs checks that each run of an engine was given results that were made for its own request.
func assertOwnInputs(t *testing.T, llm, enc *worker.Worker) {
	t.Helper()
	made := enc.Made()
	for _, run := range llm.Runs() {
		for _, handle := range strings.Split(run.Header.Get("X-Inputs"), ",") {
			assert.Equal(t, made[handle].ID, run.ID, "the engine ran %s with the input %s", run.ID, handle)
			assert.Equal(t, made[handle].Stage, lastStage, "the engine ran %s with the input %s", run.ID, handle)
		}
	}
	for _, batch := range enc.Batches() {
		for _, item := range batch {
			for _, handle := range item.Inputs {
				assert.Equal(t, made[handle].ID, item.ID, "stage %d of %s got the input %s", item.Stage, item.ID, handle)
			}
		}
	}
}

// TestAStageResponseThatComesTwiceIsNotThatToALaterCall guards against requests that run with the stage
// results of other requests: a stage worker sends one response twice, and each later call on the connection
// got the response to the one before it.
func TestAStageResponseThatComesTwiceIsNotThatToALaterCall(t *testing.T) {
	for name, faults := range map[string]worker.Faults{
		"results at once":   {Extra: 1},
		"results late":      {ExtraLate: 1},
		"reasons at once":   {Extra: 1, NoRoom: 1},
		"reasons late":      {ExtraLate: 1, NoRoom: 1},
		"rejection at once": {Extra: 1, Reject: 1},
		"rejection late":    {ExtraLate: 1, Reject: 1},
	} {
		for _, echoes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, echoed %t", name, echoes), func(t *testing.T) {
				f, g, llm, enc := doubledFleet(t, echoes)
				enc.SetFaults(faults)
				for i := range 6 {
					id := fmt.Sprintf("r%d", i)
					got := f.send(g, id, "POST", "/stream/x", "p", "X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", "a:9,"+id+":1")
					assert.Equal(t, got.status, http.StatusOK)
					assert.Equal(t, got.body, streamBody(id))
				}
				assertOwnInputs(t, llm, enc)
				atOnce, late := enc.Doubled()
				assert.Equal(t, atOnce, faults.Extra)
				if echoes {
					assert.Equal(t, late, faults.ExtraLate, "the connection was not kept")
				}
			})
		}
	}
}

// TestARejectedStageCallIsNotTheRejectionOfTheNextRequest guards against an unsafe request that is answered 503
// and runs: a worker serves a stage and a route, and sends its rejection of a call of the stage once more
// when the request comes on the same connection.
func TestARejectedStageCallIsNotTheRejectionOfTheNextRequest(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("echoed %t", echoes), func(t *testing.T) {
			f := newFleet(t)
			f.startWorker("llm-1", "llm", worker.Engine)
			enc := f.startWorker("enc-1", "enc", worker.Stage)
			enc.EchoesCalls = echoes
			document := baseConfig(1)
			document.Routes[0].Service = "enc"
			f.apply(document)
			g := f.start("g1")
			enc.SetFaults(worker.Faults{Reject: 1, ExtraLate: 1})
			streamed := make(chan response, 1)
			go func() {
				got, _ := f.trySend(g, "s", "POST", "/stream/x", "p", "X-Pieces", "1,1", "X-Piece-Key", "k", "X-Prompt-Prefix", "a:9,s:1")
				streamed <- got
			}()
			f.waitLines(1, "pool_call_failed")
			got := f.send(g, "u", "POST", "/once/x", "b")
			assert.Equal(t, countRuns("u", enc), 1)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "answer of u")
			assert.Equal(t, (<-streamed).status, http.StatusOK)
		})
	}
}

// TestARejectionWithoutAnIDDoesNotSayWhichRequestDidNotRun guards against a false promise that a request has not run: on a
// connection that has carried others, nothing shows which of them a rejection without an ID answers.
func TestARejectionWithoutAnIDDoesNotSayWhichRequestDidNotRun(t *testing.T) {
	f := newFleet(t)
	listener, err := f.ports.Listen()
	assert.NilError(t, err)
	desk := worker.StartOn(listener, "desk-1", worker.Plain)
	t.Cleanup(desk.Close)
	desk.NamesNoRejection = true
	f.store.Put("servers", desk.ID, platformdoc.Worker{Service: "desk", Address: desk.Address(), Zone: "z1", Slots: 8, State: "ready"})
	f.apply(baseConfig(1))
	g := f.start("g1")
	assert.Equal(t, f.send(g, "u1", "POST", "/once/x", "b").status, http.StatusOK)
	desk.SetFaults(worker.Faults{Reject: 1})
	assert.Equal(t, f.send(g, "u2", "POST", "/once/x", "b").status, http.StatusBadGateway)
	f.waitLines(1, "gateway_unmatched", `"kind":"unmatched"`)
}
