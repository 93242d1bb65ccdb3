package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/clock"
)

// TestTrialsOfRequestsThatAreNeverClearedAreRemoved: they would fill the store.
func TestTrialsOfRequestsThatAreNeverClearedAreRemoved(t *testing.T) {
	list, kept := guards(t, 1)
	g := list[0]
	assert.Assert(t, ask(t, g))
	kept.specs["somebody-elses"] = json.RawMessage(`{}`)
	seen := g.sweep(t.Context(), nil)
	assert.Equal(t, len(seen), 2)
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(kept.specs), 2, "the request is refused still")

	g.book.Expire(clock.Boot() + 2*time.Hour)
	assert.Equal(t, len(g.sweep(t.Context(), nil)), 2, "it may have been made a moment ago")
	kept.set(func() { kept.away = true })
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(seen), 2, "the store does not tell")
	kept.set(func() { kept.away = false })
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(seen), 1)
	_, there := kept.specs["somebody-elses"]
	assert.Assert(t, there)
	assert.Assert(t, !g.taken[trialName(crashing, 1)])
}
