package gatewaytest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// door is another address of the fleet's store, which can turn away those that use it
// while others are served.
type door struct {
	address string
	closed  atomic.Bool
	calls   atomic.Int64
	server  *httptest.Server
}

// newDoor opens a door to a store.
func newDoor(t *testing.T, store *metastore.Store) *door {
	d := &door{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		if d.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	d.address = strings.TrimPrefix(d.server.URL, "http://")
	t.Cleanup(func() {
		d.server.CloseClientConnections()
		d.server.Close()
	})
	return d
}

// close turns away all who use the door, watches that wait among them.
func (d *door) close() {
	d.closed.Store(true)
	d.server.CloseClientConnections()
}

// TestOneOfAZoneReadsTheStoreAndTheOthersFollow: each learns of a change all the same.
func TestOneOfAZoneReadsTheStoreAndTheOthersFollow(t *testing.T) {
	f := newFleet(t)
	f.worker("desk-1", "desk", worker.Plain)
	f.apply(base(1))
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		f.start(name)
	}
	f.waitLines(3, "source_changed", `"reason":"follower"`, `"reads":false`)
	for _, name := range names {
		f.waitLines(1, "members_changed", `"process":"`+name+`"`)
	}
	f.apply(base(2))
	f.worker("desk-2", "desk", worker.Plain)
	for _, name := range names {
		f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
		f.waitLines(1, "upstream_changed", `"process":"`+name+`"`, `"desk-2"`)
	}
}

// TestFollowersGoOnWhenTheirSourceStops: the next one of the zone reads, and the others
// follow that one.
func TestFollowersGoOnWhenTheirSourceStops(t *testing.T) {
	f := newFleet(t)
	f.apply(base(1))
	gateways := map[string]*running{}
	for _, name := range []string{"g1", "g2", "g3"} {
		gateways[name] = f.start(name)
	}
	follows := f.waitLines(2, "source_changed", `"reason":"follower"`)
	reader, _ := decode(t, follows[len(follows)-1], "follows").(string)
	assert.Assert(t, gateways[reader] != nil, "no reader in %v", follows)
	gateways[reader].stop()
	f.waitLines(1, "process_stopped", `"process":"`+reader+`"`)
	f.apply(base(2))
	for name := range gateways {
		if name != reader {
			f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
		}
	}
}

// keyed returns a configuration with a workspace that has a key.
func keyed(version int64, key string) platformdoc.Document {
	d := base(version)
	d.Tenants = []platformdoc.Tenant{{Name: "w", APIKeys: []string{key}}}
	return d
}

// TestAGatewayThatTheStoreTurnsAwayLearnsFromAnother: configurations come into force there,
// and its proof of the keys comes through the other one and no longer from the store.
func TestAGatewayThatTheStoreTurnsAwayLearnsFromAnother(t *testing.T) {
	f := newFleet(t)
	f.worker("desk-1", "desk", worker.Plain)
	f.apply(keyed(1, "k1"))
	away := newDoor(t, f.store)
	f.startIn("g2", "z2")
	open := f.address
	f.address = away.address
	g1 := f.startIn("g1", "z1")
	f.address = open
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	away.close()
	f.waitLines(1, "source_changed", `"process":"g1"`, `"follows":"g2"`)
	f.apply(keyed(2, "k2"))
	f.waitLines(1, "table_in_force", `"process":"g1"`, `"version":2`)
	f.waitUntil(func() bool {
		got := f.ask(g1, "r-new", "GET", "/safe/x", "", "Authorization", "Bearer k2")
		return got.status == http.StatusOK
	}, "the new key is served")
	got := f.ask(g1, "r-old", "GET", "/safe/x", "", "Authorization", "Bearer k1")
	assert.Equal(t, got.status, http.StatusUnauthorized)
}

// TestAStoreThatForgetsItsHistoryIsListedByItsReadersOnly: those that follow a reader get
// what they lack from it.
func TestAStoreThatForgetsItsHistoryIsListedByItsReadersOnly(t *testing.T) {
	f := newFleet(t)
	f.apply(base(1))
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		f.start(name)
	}
	f.waitLines(3, "source_changed", `"reason":"follower"`, `"reads":false`)
	f.store.PutForgotten("config", "main", base(2))
	for _, name := range names {
		f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
	}
	gone, _ := f.log.lines("watch_history_gone", `"kind":"config"`)
	assert.Equal(t, len(gone), 1)
}
