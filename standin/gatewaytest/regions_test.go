package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// TestRequestsStayInTheRegionsOfTheirRouteAndWorkspace: where both are bound, both bind, and a
// request that no region may run is refused.
func TestRequestsStayInTheRegionsOfTheirRouteAndWorkspace(t *testing.T) {
	f := newFleet(t)
	first := f.workerIn("z1", "desk-1", "desk", worker.Plain)
	second := f.workerIn("z2", "desk-2", "desk", worker.Plain)
	third := f.workerIn("z3", "desk-3", "desk", worker.Plain)
	document := base(1)
	document.Routes[1].AllowedRegions = []string{"r2"}
	document.Tenants = []platformdoc.Tenant{
		{Name: "free", APIKeys: []string{"free"}},
		{Name: "first", APIKeys: []string{"first"}, AllowedRegions: []string{"r1"}},
	}
	f.apply(document)
	g := f.start("g1")
	ask := func(id, target, key string) int {
		return f.ask(g, id, "GET", target, "", "Authorization", "Bearer "+key).status
	}
	for i := range 9 {
		assert.Equal(t, ask(fmt.Sprint("route", i), "/safe/x", "free"), http.StatusOK)
	}
	assert.Equal(t, len(second.Runs()), 9, "the route is bound to the second region")
	for i := range 9 {
		assert.Equal(t, ask(fmt.Sprint("workspace", i), "/once/x", "first"), http.StatusOK)
	}
	assert.Equal(t, len(first.Runs()), 9, "the workspace is bound to the first")
	assert.Equal(t, ask("both", "/safe/x", "first"), http.StatusServiceUnavailable)
	f.store.Remove("servers", "desk-1")
	f.store.Remove("servers", "desk-2")
	f.waitLines(2, "upstream_gone")
	assert.Equal(t, ask("unknown", "/once/x", "first"), http.StatusServiceUnavailable)
	assert.Equal(t, ask("unbound", "/once/x", "free"), http.StatusOK)
	assert.Equal(t, len(third.Runs()), 1, "a zone of no known region runs what is not bound")
}
