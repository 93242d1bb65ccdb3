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

// TestNewConnectionsGoElsewhereBeforeKeysAreRefused: a process without the store's word
// asks for none while it can still serve those that it has.
func TestNewConnectionsGoElsewhereBeforeKeysAreRefused(t *testing.T) {
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	const within = 4500 * time.Millisecond
	for _, one := range []struct {
		age        time.Duration
		workspaces bool
		takes      bool
		trusted    bool
	}{
		{time.Second, true, true, true},
		{within - leadTime + 100*time.Millisecond, true, false, true},
		{within + time.Second, true, false, false},
		{within + time.Second, false, true, false},
	} {
		v := New(Options{Logger: logger, Source: Source{ConfirmWithin: within}})
		var workspaces []*routes.Workspace
		if one.workspaces {
			workspaces = []*routes.Workspace{{Name: "w", Keys: []string{"k"}}}
		}
		assert.Assert(t, !v.TakesNew(), "nothing is known")
		v.table.Store(routes.NewTable(1, routes.Limits{}, nil, nil, workspaces))
		v.upstreams.Store(routes.NewUpstreams(nil))
		v.Confirm(Proof{At: clock.Boot() - one.age})
		assert.Equal(t, v.TakesNew(), one.takes, "%v old, workspaces %t", one.age, one.workspaces)
		assert.Equal(t, v.KeysTrusted(), one.trusted, "%v old", one.age)
	}
}
