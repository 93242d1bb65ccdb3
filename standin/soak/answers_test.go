package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestASeedGivesTheSameStepsOfDisorder(t *testing.T) {
	assert.DeepEqual(t, planDisorder(7, 4), planDisorder(7, 4))
	assert.Equal(t, len(planDisorder(7, 4)), 4)
	for _, variants := range disorders {
		for _, faults := range variants {
			assert.Assert(t, faults.Unmarked+faults.Repeat+faults.Restart > 0)
		}
	}
}
