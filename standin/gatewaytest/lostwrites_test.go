package gatewaytest

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
	"acaciawinch/standin/metastore"
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
