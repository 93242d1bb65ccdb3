package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// revokeBound is the time after the store's acceptance of a configuration from which on no request
// with a key that it takes away may run, as in the settings of launchIn.
const revokeBound = 5 * time.Second

// returnFromCopy replaces the store by its copy after a moment in which it does not respond.
func (f *fleet) returnFromCopy() {
	f.t.Helper()
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.waitLines(1, "watch_lost", `"kind":"config"`)
	f.store.ReturnFromCopy()
	f.store.SetFaults(metastore.Faults{})
}

// TestAKeyTakenAwayAfterTheStoreReturnedFromACopyIsRefused: the store loses a configuration and gives
// its revision out again, to few or many writes. The next version takes a key away: the reader of a zone
// and its followers must all refuse the key within the bound.
func TestAKeyTakenAwayAfterTheStoreReturnedFromACopyIsRefused(t *testing.T) {
	for _, others := range []int{0, 3, 40} {
		t.Run(fmt.Sprintf("%d other writes", others), func(t *testing.T) {
			f := newFleet(t)
			f.startWorker("desk-1", "desk", worker.Plain)
			f.apply(configWithKey(1, "k1"))
			gateways := []*runningGateway{f.start("g1"), f.start("g2"), f.start("g3")}
			f.waitLines(2, "source_changed", `"reason":"follower"`, `"reads":false`)
			f.store.Copy()
			for version := int64(2); version < 12; version++ {
				f.apply(configWithKey(version, "k1"))
			}
			f.waitLines(3, "table_in_force", `"version":11`)
			f.returnFromCopy()
			f.apply(configWithKey(11, "k1"))
			for i := range others {
				f.store.Put("others", fmt.Sprint("o", i), i)
			}
			f.apply(configWithKey(12, "k2"))
			accepted := time.Now()
			for _, g := range gateways {
				f.waitUntil(func() bool {
					return f.send(g, "r-new", "GET", "/safe/x", "", "Authorization", "Bearer k2").status == http.StatusOK
				}, "the new key is served")
				got := f.send(g, "r-old", "GET", "/safe/x", "", "Authorization", "Bearer k1")
				assert.Equal(t, got.status, http.StatusUnauthorized)
			}
			assert.Assert(t, time.Since(accepted) < revokeBound, "in force only after %v", time.Since(accepted))
		})
	}
}

// TestAKeyIsRefusedWhileTheStoreLacksTheVersionThatTookItAway: the store accepts a version that takes a
// key away while no gateway reaches it, and returns from a copy without that version. Until the operator
// has written it again, the store confirms the configuration that has the key: these proofs must not
// count.
func TestAKeyIsRefusedWhileTheStoreLacksTheVersionThatTookItAway(t *testing.T) {
	const away, rewritten = 4 * time.Second, 6 * time.Second
	f := newFleet(t)
	f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(configWithKey(1, "k1"))
	gateways := []*runningGateway{f.start("g1"), f.start("g2")}
	f.waitLines(1, "source_changed", `"reason":"follower"`, `"reads":false`)
	f.store.Copy()
	f.store.SetFaults(metastore.Faults{Silent: true})
	f.apply(configWithKey(2, "k2"))
	accepted := time.Now()
	steps := []struct {
		at   time.Duration
		take func()
	}{
		{away, func() {
			f.store.ReturnFromCopy()
			f.store.SetFaults(metastore.Faults{})
		}},
		{rewritten, func() { f.apply(configWithKey(2, "k2")) }},
	}
	f.waitUntil(func() bool {
		sent := time.Since(accepted)
		if len(steps) > 0 && sent >= steps[0].at {
			steps[0].take()
			steps = steps[1:]
		}
		refused := 0
		for _, g := range gateways {
			got := f.send(g, "r-old", "GET", "/safe/x", "", "Authorization", "Bearer k1")
			assert.Assert(t, sent < revokeBound || got.status != http.StatusOK, "the key is served %v after it was taken away", sent)
			if got.status == http.StatusUnauthorized {
				refused++
			}
		}
		return refused == len(gateways)
	}, "the key is refused as unknown")
	for _, g := range gateways {
		f.waitUntil(func() bool {
			return f.send(g, "r-new", "GET", "/safe/x", "", "Authorization", "Bearer k2").status == http.StatusOK
		}, "the new key is served")
	}
}

// TestNoKeysAreRefusedAndFewCallsMadeWhenTheStoreReturnsAtOnce: the proof before the return holds until those
// of the new era count, and held proofs keep the followers from reading the store themselves.
func TestNoKeysAreRefusedAndFewCallsMadeWhenTheStoreReturnsAtOnce(t *testing.T) {
	f := newFleet(t)
	f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(configWithKey(1, "k1"))
	gateways := []*runningGateway{f.start("g1"), f.start("g2"), f.start("g3")}
	f.waitLines(2, "source_changed", `"reason":"follower"`, `"reads":false`)
	for name, others := range map[string]string{"g1": `["g2","g3"]`, "g2": `["g1","g3"]`, "g3": `["g1","g2"]`} {
		f.waitLines(1, "members_changed", `"process":"`+name+`"`, others) // the copy holds all of them
	}
	f.store.Copy()
	calls := f.store.Calls()
	f.store.ReturnFromCopy()
	f.waitUntil(func() bool {
		for _, g := range gateways {
			got := f.send(g, "r", "GET", "/safe/x", "", "Authorization", "Bearer k1")
			assert.Equal(t, got.status, http.StatusOK)
		}
		counting, _ := f.log.lines("proof_counts_again")
		return len(counting) == len(gateways)
	}, "the proofs of the new era count")
	calls = f.store.Calls() - calls
	assert.Assert(t, calls < 60, "%d calls", calls)
}

// leaveBound is the time within which a leaving upstream must get nothing new.
const leaveBound = 2 * time.Second

// TestAnUpstreamThatLeavesAfterTheStoreReturnedFromACopyIsKnownInTime: the entry that says that the upstream
// leaves gets a revision that the gateways' copies had passed before the return, and further writes follow it.
func TestAnUpstreamThatLeavesAfterTheStoreReturnedFromACopyIsKnownInTime(t *testing.T) {
	for _, others := range []int{0, 3, 40} {
		t.Run(fmt.Sprintf("%d other writes", others), func(t *testing.T) {
			f := newFleet(t)
			desk := f.startWorker("desk-1", "desk", worker.Plain)
			f.apply(baseConfig(1))
			names := []string{"g1", "g2", "g3"}
			for _, name := range names {
				f.start(name)
			}
			f.waitLines(2, "source_changed", `"reason":"follower"`, `"reads":false`)
			f.store.Copy()
			for range 10 {
				f.register(desk, "desk", "ready")
			}
			f.startWorker("desk-2", "desk", worker.Plain)
			f.waitLines(len(names), "upstream_changed", `"desk-2"`)
			f.returnFromCopy()
			f.waitLines(1, "watch_regained", `"kind":"config"`)
			f.register(desk, "desk", "draining")
			accepted := time.Now()
			for i := range others {
				f.store.Put("others", fmt.Sprint("o", i), i)
			}
			for _, name := range names {
				f.waitLines(1, "upstream_changed", `"process":"`+name+`"`, `"desk-1"`, `"leaving":true`)
			}
			assert.Assert(t, time.Since(accepted) < leaveBound, "known only after %v", time.Since(accepted))
		})
	}
}
