package lifecycle_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/observe/lifecycle"
)

func TestProcessIsReadyOnlyWhileItServes(t *testing.T) {
	l := lifecycle.New("entry-1")
	assert.NilError(t, l.Fire(lifecycle.Opened))
	assert.Assert(t, !l.Ready())
	assert.NilError(t, l.FireIfAllowed(lifecycle.Synced))
	assert.Assert(t, l.Ready())
	assert.NilError(t, l.Fire(lifecycle.Stop))
	assert.Assert(t, !l.Ready())
}

func TestEventThatComesTooLateChangesNothing(t *testing.T) {
	l := lifecycle.New("entry-1")
	assert.NilError(t, l.Fire(lifecycle.Opened))
	assert.NilError(t, l.Fire(lifecycle.Stop))
	assert.NilError(t, l.FireIfAllowed(lifecycle.Synced))
	assert.Assert(t, !l.Ready())
	err := l.Fire(lifecycle.Synced)
	assert.Assert(t, fault.Is(err, fault.Internal), "%v", err)
}
