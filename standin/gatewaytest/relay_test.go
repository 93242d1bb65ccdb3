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

// storeProxy forwards to the fleet's store under a second address. It can refuse its callers
// while the callers of the store itself are served.
type storeProxy struct {
	address string
	closed  atomic.Bool
	calls   atomic.Int64
	server  *httptest.Server
}

// newStoreProxy starts a proxy in front of a store.
func newStoreProxy(t *testing.T, store *metastore.Store) *storeProxy {
	p := &storeProxy{}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		if p.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	p.address = strings.TrimPrefix(p.server.URL, "http://")
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

// close refuses all callers from now on and closes their connections, those of waiting watches
// included.
func (p *storeProxy) close() {
	p.closed.Store(true)
	p.server.CloseClientConnections()
}

// TestOneGatewayOfAZoneReadsTheStoreAndTheOthersFollow: one reader a zone is enough: its followers
// must learn of changes of the configuration and of the upstreams just the same.
func TestOneGatewayOfAZoneReadsTheStoreAndTheOthersFollow(t *testing.T) {
	f := newFleet(t)
	f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		f.start(name)
	}
	f.waitLines(3, "source_changed", `"reason":"follower"`, `"reads":false`)
	for _, name := range names {
		f.waitLines(1, "members_changed", `"process":"`+name+`"`)
	}
	f.apply(baseConfig(2))
	f.startWorker("desk-2", "desk", worker.Plain)
	for _, name := range names {
		f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
		f.waitLines(1, "upstream_changed", `"process":"`+name+`"`, `"desk-2"`)
	}
}

// TestFollowersGoOnWhenTheirSourceStops: when the reader of a zone stops, another gateway of the
// zone must become the reader, and the remaining ones must follow that one.
func TestFollowersGoOnWhenTheirSourceStops(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	gateways := map[string]*runningGateway{}
	for _, name := range []string{"g1", "g2", "g3"} {
		gateways[name] = f.start(name)
	}
	follows := f.waitLines(2, "source_changed", `"reason":"follower"`)
	reader, _ := logField(t, follows[len(follows)-1], "follows").(string)
	assert.Assert(t, gateways[reader] != nil, "no reader in %v", follows)
	gateways[reader].stop()
	f.waitLines(1, "process_stopped", `"process":"`+reader+`"`)
	f.apply(baseConfig(2))
	for name := range gateways {
		if name != reader {
			f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
		}
	}
}

// configWithKey returns a configuration with one workspace that has an API key.
func configWithKey(version int64, key string) platformdoc.Document {
	d := baseConfig(version)
	d.Tenants = []platformdoc.Tenant{{Name: "w", APIKeys: []string{key}}}
	return d
}

// TestAGatewayThatTheStoreRefusesFollowsAnother: a gateway that the store refuses must follow a
// gateway of another zone: it puts new configurations in force, and its freshness proof for API
// keys comes through that gateway instead of from the store.
func TestAGatewayThatTheStoreRefusesFollowsAnother(t *testing.T) {
	f := newFleet(t)
	f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(configWithKey(1, "k1"))
	proxy := newStoreProxy(t, f.store)
	f.startIn("g2", "z2")
	direct := f.address
	f.address = proxy.address
	g1 := f.startIn("g1", "z1")
	f.address = direct
	f.waitLines(1, "members_changed", `"process":"g1"`, `["g2"]`)
	proxy.close()
	f.waitLines(1, "source_changed", `"process":"g1"`, `"follows":"g2"`)
	f.apply(configWithKey(2, "k2"))
	f.waitLines(1, "table_in_force", `"process":"g1"`, `"version":2`)
	f.waitUntil(func() bool {
		got := f.send(g1, "r-new", "GET", "/safe/x", "", "Authorization", "Bearer k2")
		return got.status == http.StatusOK
	}, "the new key is served")
	got := f.send(g1, "r-old", "GET", "/safe/x", "", "Authorization", "Bearer k1")
	assert.Equal(t, got.status, http.StatusUnauthorized)
}

// TestAStoreThatForgetsItsHistoryIsListedByItsReadersOnly: when a watch learns that the history is
// gone, only the reader lists the store; its followers get what they miss from the reader.
func TestAStoreThatForgetsItsHistoryIsListedByItsReadersOnly(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	names := []string{"g1", "g2", "g3", "g4"}
	for _, name := range names {
		f.start(name)
	}
	f.waitLines(3, "source_changed", `"reason":"follower"`, `"reads":false`)
	f.store.PutForgotten("config", "main", baseConfig(2))
	for _, name := range names {
		f.waitLines(1, "table_in_force", `"process":"`+name+`"`, `"version":2`)
	}
	gone, _ := f.log.lines("watch_history_gone", `"kind":"config"`)
	assert.Equal(t, len(gone), 1)
}
