package fairshare

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start is the start time of the tests.
var start = time.Unix(1000, 0)

// TestOneLargeWorkspaceIsOverItsShare replays nine workspaces beside one with ten times their traffic.
func TestOneLargeWorkspaceIsOverItsShare(t *testing.T) {
	s := New()
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		s.Served("large", 20, now)
		for i := range 9 {
			s.Served(strconv.Itoa(i), 2, now)
		}
	}
	assert.Assert(t, s.OverShare("large", now))
	assert.Assert(t, !s.OverShare("1", now))
	assert.Assert(t, !s.OverShare("unknown", now))
	s.Served("1", 0, now.Add(window))
	assert.Assert(t, !s.OverShare("large", now.Add(window+sweepInterval)), "its items are older than the window")
}

// TestAWorkspaceThatGetsNothingCounts guards against a share that is computed only among those that
// took all.
func TestAWorkspaceThatGetsNothingCounts(t *testing.T) {
	s := New()
	s.Served("large", 20, start)
	assert.Assert(t, !s.OverShare("large", start), "it is alone")
	s.Waiting("second", start)
	assert.Assert(t, !s.OverShare("large", start), "no share of two is above twice the equal one")
	s.Waiting("third", start)
	assert.Assert(t, s.OverShare("large", start))
	assert.Assert(t, !s.OverShare("third", start))
}

// TestEqualWorkspacesAreWithinTheirShares guards against an order that changes where nothing is unequal.
func TestEqualWorkspacesAreWithinTheirShares(t *testing.T) {
	s := New()
	for i := range 400 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.Served(strconv.Itoa(i*7%16), 6, now)
		for workspace := range 16 {
			assert.Assert(t, i < 16 || !s.OverShare(strconv.Itoa(workspace), now))
		}
	}
}

// TestOnlyRecentWorkspacesAreKept replays the 18,000 workspaces of the largest plan.
func TestOnlyRecentWorkspacesAreKept(t *testing.T) {
	s := New()
	for i := range 18000 {
		s.Served(strconv.Itoa(i), 6, start.Add(time.Duration(i)*time.Second/810))
		assert.Assert(t, len(s.workspaces) <= maxWorkspaces)
	}
	s.OverShare("1", start.Add(time.Minute))
	assert.Equal(t, len(s.workspaces), 0)
	assert.Assert(t, s.total.value(start.Add(time.Minute)) < 1e-6)
}

func TestRequestsWithoutAWorkspaceAreNeverOverTheirShare(t *testing.T) {
	s := New()
	s.Served("", 100, start)
	s.Served("a", 1, start)
	s.Served("b", 1, start)
	s.Served("c", 1, start)
	assert.Assert(t, !s.OverShare("", start))
	assert.Assert(t, !s.OverShare("a", start))
}
