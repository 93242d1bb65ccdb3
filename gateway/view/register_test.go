package view

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/platform/document"
)

// TestAProcessWaitsUntilItCanServe: for the configuration and the upstreams, whichever comes last.
func TestAProcessWaitsUntilItCanServe(t *testing.T) {
	v := empty(t)
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		v.WaitReady(context.Background())
		assert.Check(t, v.Ready())
	}()
	v.table.Store(routes.NewTable(1, routes.Limits{}, nil, nil, nil))
	assert.NilError(t, v.kind(document.WorkerKind).take(replica.Delta{Reset: true, Revision: 1}))
	<-waited
}

// TestTheWaitEndsWithItsContext: a process that stops does not wait.
func TestTheWaitEndsWithItsContext(t *testing.T) {
	v := empty(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	v.WaitReady(ctx)
	assert.Assert(t, !v.Ready())
}
