package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/clock"
)

// TestTrialsOfRequestsThatAreNeverClearedAreRemoved: otherwise they would fill the store.
func TestTrialsOfRequestsThatAreNeverClearedAreRemoved(t *testing.T) {
	list, trials := newGuards(t, 1)
	g := list[0]
	assert.Assert(t, acquireFirstTrial(t, g))
	trials.specs["somebody-elses"] = json.RawMessage(`{}`)
	seen := g.sweep(t.Context(), nil)
	assert.Equal(t, len(seen), 2)
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(trials.specs), 2, "the request is still refused")

	g.state.Expire(clock.Boot() + 2*time.Hour)
	assert.Equal(t, len(g.sweep(t.Context(), nil)), 2, "the trial may have just been made")
	trials.set(func() { trials.unavailable = true })
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(seen), 2, "the store is unavailable")
	trials.set(func() { trials.unavailable = false })
	seen = g.sweep(t.Context(), seen)
	assert.Equal(t, len(seen), 1)
	_, exists := trials.specs["somebody-elses"]
	assert.Assert(t, exists)
	assert.Assert(t, !g.madeTrials[trialName(crashing, 1)])
}
