package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
	"acaciawinch/observe"
)

// TestEmptiedZoneIsLoggedOncePerEvacuation checks that a zone is logged as empty once it has
// nothing in flight, and again only if it is evacuated again.
func TestEmptiedZoneIsLoggedOncePerEvacuation(t *testing.T) {
	var log strings.Builder
	logger, err := observe.NewLogger(&log, "g", "info")
	assert.NilError(t, err)
	open := 2
	evacuations := []view.Evacuation{{Zone: "z1", Since: time.Second}}
	scope := tally.NewTestScope("", nil)
	w := &zoneWatch{
		evacuations: func() []view.Evacuation { return evacuations },
		open:        func(string) int { return open },
		logger:      logger,
		scope:       scope,
		emptied:     make(map[string]view.Evacuation),
	}
	logged := func() int { return strings.Count(log.String(), "zone_emptied") }
	w.check()
	assert.Equal(t, logged(), 0)
	assert.Equal(t, scope.Snapshot().Gauges()["evacuated_open+zone=z1"].Value(), 2.0)
	open = 0
	w.check()
	w.check()
	assert.Equal(t, logged(), 1)
	evacuations[0].Since = time.Minute
	w.check()
	assert.Equal(t, logged(), 2, "the zone was evacuated again")
	evacuations = nil
	w.check()
	assert.Equal(t, scope.Snapshot().Gauges()["evacuated_zones+"].Value(), 0.0)
}
