package view

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
)

// TestNewConnectionsGoElsewhereBeforeKeysAreRefused checks that a process without recent proofs
// declines new connections while it can still serve those that it has.
func TestNewConnectionsGoElsewhereBeforeKeysAreRefused(t *testing.T) {
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	const within = 4500 * time.Millisecond
	for _, tt := range []struct {
		age        time.Duration
		workspaces bool
		accepts    bool
		trusted    bool
	}{
		{time.Second, true, true, true},
		{within - leadTime + 100*time.Millisecond, true, false, true},
		{within + time.Second, true, false, false},
		{within + time.Second, false, true, false},
	} {
		v := New(Options{Logger: logger, Store: StoreOptions{ConfirmWithin: within}})
		var workspaces []*routes.Workspace
		if tt.workspaces {
			workspaces = []*routes.Workspace{{Name: "w", Keys: []string{"k"}}}
		}
		assert.Assert(t, !v.AcceptsConnections(), "the View has no data")
		v.table.Store(routes.NewTable(1, routes.Limits{}, nil, nil, workspaces))
		v.upstreams.Store(routes.NewUpstreams(nil))
		v.Confirm(Proof{At: clock.Boot() - tt.age})
		assert.Equal(t, v.AcceptsConnections(), tt.accepts, "%v old, workspaces %t", tt.age, tt.workspaces)
		assert.Equal(t, v.KeysTrusted(), tt.trusted, "%v old", tt.age)
	}
}
