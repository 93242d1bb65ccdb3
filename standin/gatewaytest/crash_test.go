package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// crashBody is the body of requests that crash each engine that runs them.
const crashBody = "a prompt that no engine survives"

// engines starts engines that crash under crashBody.
func (f *fleet) engines(count int) []*worker.Worker {
	f.t.Helper()
	var list []*worker.Worker
	for i := range count {
		w := f.worker(fmt.Sprintf("llm-%d", i), "llm", worker.Engine)
		w.CrashBody = crashBody
		list = append(list, w)
	}
	return list
}

// crashed returns those of the workers that have crashed.
func crashed(list []*worker.Worker) []*worker.Worker {
	var found []*worker.Worker
	for _, w := range list {
		if _, ended := w.CrashedBy(); ended {
			found = append(found, w)
		}
	}
	return found
}

// mostCrashes is how many upstreams may end under one request that comes one attempt after
// the other.
const mostCrashes = 3

// TestARequestThatCrashesUpstreamsIsSentToFewOfThem: whichever gateway gets its further attempts,
// also one that has just started. Other requests of its route are served all along.
func TestARequestThatCrashesUpstreamsIsSentToFewOfThem(t *testing.T) {
	for route, headers := range map[string][]string{"strict": nil, "stream": {"X-Pieces", "1,1", "X-Piece-Key", "k"}} {
		t.Run(route, func(t *testing.T) {
			f := newFleet(t)
			engines := f.engines(12)
			f.worker("enc-1", "enc", worker.Stage)
			f.apply(base(1))
			gateways := []*running{f.startIn("g1", "z1"), f.startIn("g2", "z2"), f.startIn("g3", "z2")}
			for i := range 9 {
				id := fmt.Sprintf("crash-%d", i)
				got := f.ask(gateways[i%3], id, "POST", "/"+route+"/x", crashBody, headers...)
				assert.Assert(t, got.cut || got.status != http.StatusOK, "%s was served", id)
				ran := runsOf(id, engines...) > 0
				assert.Assert(t, !ran || got.status != http.StatusServiceUnavailable, "%s ran and was refused as not run", id)
				good := fmt.Sprintf("good-%d", i)
				assert.Equal(t, f.ask(gateways[(i+1)%3], good, "POST", "/"+route+"/x", good, headers...).body, stream(good))
			}
			assert.Assert(t, len(crashed(engines)) <= mostCrashes, "%d engines have ended", len(crashed(engines)))

			before := len(crashed(engines))
			f.stopAll()
			again := f.start("g4")
			for i := range 3 {
				id := fmt.Sprintf("late-%d", i)
				got := f.ask(again, id, "POST", "/"+route+"/x", crashBody, headers...)
				assert.Equal(t, got.status, http.StatusServiceUnavailable, id)
				assert.Assert(t, got.header.Get("Retry-After") != "", id)
			}
			assert.Equal(t, len(crashed(engines)), before)
		})
	}
}
