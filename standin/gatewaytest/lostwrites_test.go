package gatewaytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/view"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// incarnationOf returns the incarnation in a gateway's object in the store, empty if there is no object.
func (f *fleet) incarnationOf(name string) string {
	f.t.Helper()
	stored, found := f.store.Get(view.MemberKind, name)
	if !found {
		return ""
	}
	var member struct {
		Incarnation string `json:"incarnation"`
	}
	assert.NilError(f.t, json.Unmarshal(stored.Spec, &member))
	return member.Incarnation
}

// awaitIncarnation waits until the object of a gateway in the store is of an incarnation; empty stands for
// no object.
func (f *fleet) awaitIncarnation(name, incarnation string) {
	f.t.Helper()
	limit := time.Now().Add(waitTimeout)
	for f.incarnationOf(name) != incarnation {
		if time.Now().After(limit) {
			f.t.Fatalf("the store holds %q of %s, want %q", f.incarnationOf(name), name, incarnation)
		}
	}
}

// awaitRegistered waits until the store holds the object of the newest run of a gateway and returns its
// incarnation.
func (f *fleet) awaitRegistered(name string) string {
	f.t.Helper()
	started := f.waitLines(1, "process_started", `"process":"`+name+`"`)
	incarnation, _ := logField(f.t, started[len(started)-1], "incarnation").(string)
	f.awaitIncarnation(name, incarnation)
	return incarnation
}

// returnStore lets the store refuse all calls for a moment and return from its latest copy.
func (f *fleet) returnStore() {
	f.store.SetFaults(metastore.Faults{Refuse: 503})
	f.store.ReturnFromCopy()
	f.store.SetFaults(metastore.Faults{})
}

// TestAGatewayRegistersAgainWhenTheStoreHasLostItsObject: the other gateways, and those that start later,
// would send it no work until its next start.
func TestAGatewayRegistersAgainWhenTheStoreHasLostItsObject(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.awaitRegistered("g1")
	f.store.Copy()
	f.start("g2")
	incarnation := f.awaitRegistered("g2")
	f.returnStore()
	f.awaitIncarnation("g2", incarnation)
}

// TestAGatewayReplacesTheObjectOfItsEarlierRunThatTheStoreReturned: the others would take it for a process
// that has ended.
func TestAGatewayReplacesTheObjectOfItsEarlierRunThatTheStoreReturned(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	first := f.start("g2")
	f.awaitRegistered("g2")
	f.store.Copy()
	first.stop()
	f.awaitIncarnation("g2", "")
	f.start("g2")
	f.waitLines(2, "process_started", `"process":"g2"`)
	incarnation := f.awaitRegistered("g2")
	f.returnStore()
	f.awaitIncarnation("g2", incarnation)
}

// TestAGatewayThatStopsAfterAReturnRemovesItsObject: its revision is not the one that the gateway was told
// when it registered.
func TestAGatewayThatStopsAfterAReturnRemovesItsObject(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.store.Copy()
	f.apply(baseConfig(2))
	f.apply(baseConfig(3))
	g := f.start("g1")
	incarnation := f.awaitRegistered("g1")
	f.returnStore()
	f.awaitIncarnation("g1", incarnation)
	g.stop()
	f.awaitIncarnation("g1", "")
}

// crashTwiceLosing lets a request crash two of five engines through gateway g1 as crashTwice does, and keeps a
// copy of the store that has the first kept crashes only.
func (f *fleet) crashTwiceLosing(kept int) (*runningGateway, []*worker.Worker) {
	f.t.Helper()
	engines := f.startCrashingEngines(5)
	f.apply(baseConfig(1))
	g := f.start("g1")
	for i := range 2 {
		if i == kept {
			f.store.Copy()
		}
		f.send(g, fmt.Sprint("crash-", i), "POST", "/strict/x", crashBody)
		f.waitLines(1, "crashes_written", fmt.Sprintf(`"crashes":%d`, i+1))
	}
	assert.Equal(f.t, len(crashed(engines)), 2)
	return g, engines
}

// TestAGatewayWritesItsCrashesAgainWhenTheStoreHasLostThem: other gateways that start later would send the
// request that caused them.
func TestAGatewayWritesItsCrashesAgainWhenTheStoreHasLostThem(t *testing.T) {
	for kept := range 2 {
		t.Run(fmt.Sprint(kept, " of 2 kept"), func(t *testing.T) {
			f := newFleet(t)
			_, engines := f.crashTwiceLosing(kept)
			f.returnStore()
			f.waitUntil(func() bool {
				record, _ := f.store.Get(quarantine.RecordKind, "g1")
				text := string(record.Spec)
				return !slices.ContainsFunc(crashed(engines), func(w *worker.Worker) bool { return !strings.Contains(text, w.ID) })
			}, "the record has both crashes")
			later := f.start("g2")
			assert.Equal(t, f.send(later, "later", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
			assert.Equal(t, len(crashed(engines)), 2)
		})
	}
}

// TestARequestStaysRefusedWhenTheStoreHasLostItsCrashes: the gateway that saw them may have ended, so that
// nobody writes them again.
func TestARequestStaysRefusedWhenTheStoreHasLostItsCrashes(t *testing.T) {
	for kept := range 2 {
		t.Run(fmt.Sprint(kept, " of 2 kept"), func(t *testing.T) {
			f := newFleet(t)
			f.apply(baseConfig(1))
			other := f.startIn("g2", "z2")
			first, engines := f.crashTwiceLosing(kept)
			f.waitLines(1, "crashes_learned", `"process":"g2"`, `"crashes":2`)
			first.stop()
			f.waitLines(1, "process_stopped", `"process":"g1"`)
			f.returnStore()
			f.waitLines(1, "store_era_changed", `"process":"g2"`, quarantine.RecordKind)
			assert.Equal(t, f.send(other, "third", "POST", "/strict/x", crashBody).status, http.StatusServiceUnavailable)
			assert.Equal(t, len(crashed(engines)), 2)
		})
	}
}
