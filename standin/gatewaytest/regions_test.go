package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// TestRequestsStayInTheRegionsOfTheirRouteAndWorkspace: if both a route and a workspace are bound
// to regions, both bindings apply. A request that no region may run is refused.
func TestRequestsStayInTheRegionsOfTheirRouteAndWorkspace(t *testing.T) {
	f := newFleet(t)
	first := f.startWorkerIn("z1", "desk-1", "desk", worker.Plain)
	second := f.startWorkerIn("z2", "desk-2", "desk", worker.Plain)
	third := f.startWorkerIn("z3", "desk-3", "desk", worker.Plain)
	document := baseConfig(1)
	document.Routes[1].AllowedRegions = []string{"r2"}
	document.Tenants = []platformdoc.Tenant{
		{Name: "free", APIKeys: []string{"free"}},
		{Name: "first", APIKeys: []string{"first"}, AllowedRegions: []string{"r1"}},
	}
	f.apply(document)
	g := f.start("g1")
	send := func(id, target, key string) int {
		return f.send(g, id, "GET", target, "", "Authorization", "Bearer "+key).status
	}
	for i := range 9 {
		assert.Equal(t, send(fmt.Sprint("route", i), "/safe/x", "free"), http.StatusOK)
	}
	assert.Equal(t, len(second.Runs()), 9, "the route is bound to the second region")
	for i := range 9 {
		assert.Equal(t, send(fmt.Sprint("workspace", i), "/once/x", "first"), http.StatusOK)
	}
	assert.Equal(t, len(first.Runs()), 9, "the workspace is bound to the first region")
	assert.Equal(t, send("both", "/safe/x", "first"), http.StatusServiceUnavailable)
	f.store.Remove("servers", "desk-1")
	f.store.Remove("servers", "desk-2")
	f.waitLines(2, "upstream_gone")
	assert.Equal(t, send("unknown", "/once/x", "first"), http.StatusServiceUnavailable)
	assert.Equal(t, send("unbound", "/once/x", "free"), http.StatusOK)
	assert.Equal(t, len(third.Runs()), 1, "a zone without a known region runs only requests that are not bound")
}
