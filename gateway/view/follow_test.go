package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAWatchProvesUpToTheEndOfItsWait: only one that was held for its whole wait and
// brought no change is a proof of that time.
func TestAWatchProvesUpToTheEndOfItsWait(t *testing.T) {
	const began, wait = 100 * time.Second, 1500 * time.Millisecond
	assert.Equal(t, provedAt(began, began+wait+4*time.Millisecond, wait, 0), began+time.Second)
	assert.Equal(t, provedAt(began, began+700*time.Millisecond, wait, 0), began, "the store cut the wait short")
	assert.Equal(t, provedAt(began, began+wait+time.Second, wait, 1), began, "there were changes")
	assert.Equal(t, provedAt(began, began+time.Second, 200*time.Millisecond, 0), began, "a wait below the margin proves nothing more")
}
