package gatewaytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/quarantine"
	"acaciawinch/standin/metastore"
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

// crashTwice starts gateway g1 and lets a request crash two of five engines; the gateway has written
// that it saw it.
func (f *fleet) crashTwice() (*running, []*worker.Worker) {
	f.t.Helper()
	engines := f.engines(5)
	f.apply(base(1))
	g := f.start("g1")
	for i := range 2 {
		f.ask(g, fmt.Sprint("crash-", i), "POST", "/strict/x", crashBody)
	}
	f.waitLines(1, "crashes_written", `"crashes":2`)
	assert.Equal(f.t, len(crashed(engines)), 2)
	return g, engines
}

// TestAGatewayThatStartsAgainKnowsWhatItSaw: its own record is all that is left of it.
func TestAGatewayThatStartsAgainKnowsWhatItSaw(t *testing.T) {
	f := newFleet(t)
	g, engines := f.crashTwice()
	assert.Equal(t, f.ask(g, "third", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	f.stopAll()
	g = f.start("g1")
	assert.Equal(t, f.ask(g, "again", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	other := f.ask(g, "other", "POST", "/strict/x", "other")
	assert.Equal(t, other.body, stream("other"))
	f.stopAll()
	assert.Equal(t, f.ask(f.start("g1"), "once more", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(crashed(engines)), 2)
}

// TestAGatewayThatStartsSendsNothingBeforeItKnowsTheCrashes: the store answers for all else before.
func TestAGatewayThatStartsSendsNothingBeforeItKnowsTheCrashes(t *testing.T) {
	f := newFleet(t)
	_, engines := f.crashTwice()
	f.stopAll()
	f.store.SetFaults(metastore.Faults{SilentKind: quarantine.RecordKind})
	g := f.begin("g1", "z1")
	f.waitLines(2, `"process":"g1"`, "table_in_force")
	f.waitLines(10, `"process":"g1"`, "upstream_changed")
	assert.Equal(t, f.ask(g, "early", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	f.store.SetFaults(faultsNone)
	f.waitReady(g)
	assert.Equal(t, f.ask(g, "late", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(crashed(engines)), 2)
}

// TestARecordThatAGatewayHasNotWrittenIsMerged: a write of its earlier start may be carried out late.
func TestARecordThatAGatewayHasNotWrittenIsMerged(t *testing.T) {
	f := newFleet(t)
	engines := f.engines(5)
	f.apply(base(1))
	g := f.start("g1")
	f.ask(g, "first", "POST", "/strict/x", crashBody)
	f.waitLines(1, "crashes_written", `"crashes":1`)
	fingerprint := decode(t, f.waitLines(1, "crash_found")[0], "fingerprint").(string)
	late := func(upstream string) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"crashes":[{"request":%q,"upstream":%q}]}`, fingerprint, upstream))
	}
	f.store.Put(quarantine.RecordKind, "g1", late("llm-of-before/7"))
	f.waitLines(1, "crashes_written", `"crashes":2`)
	f.store.PutForgotten(quarantine.RecordKind, "g1", late("llm-of-before/8"))
	f.waitLines(1, "crashes_written", `"crashes":3`)
	assert.Equal(t, f.ask(g, "second", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
	assert.Equal(t, len(crashed(engines)), 1)
}

// TestAGatewayServesWithoutTheCrashesAfterAWhile: a store that never answers for them must not keep it
// from serving.
func TestAGatewayServesWithoutTheCrashesAfterAWhile(t *testing.T) {
	f := newFleet(t)
	f.worker("desk-1", "desk", worker.Plain)
	f.apply(base(1))
	f.store.SetFaults(metastore.Faults{SilentKind: quarantine.RecordKind})
	assert.Equal(t, f.ask(f.start("g1"), "r", "GET", "/safe/x", "").status, http.StatusOK)
}

// TestACrashBehindAnAnswerWithoutALengthIsSeen: the answer looks whole, and is no sign that the request
// runs well.
func TestACrashBehindAnAnswerWithoutALengthIsSeen(t *testing.T) {
	f := newFleet(t)
	var desks []*worker.Worker
	for i := range 6 {
		w := f.worker(fmt.Sprintf("desk-%d", i), "desk", worker.Plain)
		w.CrashBody, w.CrashUnframed = crashBody, true
		desks = append(desks, w)
	}
	f.apply(base(1))
	g := f.start("g1")
	for i := range 5 {
		id := fmt.Sprint("crash-", i)
		f.ask(g, id, "POST", "/once/x", crashBody)
		f.waitUntil(func() bool {
			found, _ := f.log.lines("crash_found", id)
			return len(found) > 0 || runsOf(id, desks...) == 0
		}, "it is known whether the desk has ended")
	}
	assert.Equal(t, len(crashed(desks)), 2)
	assert.Equal(t, f.ask(g, "other", "POST", "/once/x", "b").status, http.StatusOK)
}

// TestARequestThatRanWellIsServedSoonAfterItsUpstreamsCrashedTogether: one of the gateways makes a
// trial, and all serve it afterwards.
func TestARequestThatRanWellIsServedSoonAfterItsUpstreamsCrashedTogether(t *testing.T) {
	f := newFleet(t)
	var desks []*worker.Worker
	for i := range 3 {
		desks = append(desks, f.worker(fmt.Sprintf("desk-%d", i), "desk", worker.Plain))
	}
	f.apply(base(1))
	gateways := []*running{f.startIn("g1", "z1"), f.startIn("g2", "z2")}
	assert.Equal(t, f.ask(gateways[0], "before", "GET", "/safe/x", "").status, http.StatusOK)
	for _, w := range desks {
		w.Hold()
	}
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() { f.ask(gateways[i%2], fmt.Sprint("held-", i), "GET", "/safe/x", "") })
	}
	f.waitUntil(func() bool { return workOf(desks[:1]) > 1 && workOf(desks[1:2]) > 0 && workOf(desks[2:]) > 0 }, "all desks work")
	for _, w := range desks {
		w.Close()
	}
	clients.Wait()
	for _, w := range desks {
		f.store.Remove("servers", w.ID)
	}
	f.worker("desk-again", "desk", worker.Plain)
	f.waitLines(2, "upstream_changed", "desk-again")
	for i, g := range gateways {
		for n := 0; f.ask(g, fmt.Sprintf("after-%d-%d", i, n), "GET", "/safe/x", "").status != http.StatusOK; n++ {
		}
	}
	f.waitLines(1, "crash_trial_asked", `"outcome":"granted"`)
	f.waitLines(1, "crashes_cleared")
	granted, _ := f.log.lines("crash_trial_asked", `"outcome":"granted"`)
	assert.Equal(t, len(granted), 1)
}
