package routes

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

// TestUpstreamIsColdIfReportedOrIfItsZoneJustReturned checks that an upstream counts as cold while
// it reports so and, after the evacuation of its zone ended, for the time of a cold start and
// the delay of a report.
func TestUpstreamIsColdIfReportedOrIfItsZoneJustReturned(t *testing.T) {
	const coldStart = 3 * time.Second
	for name, test := range map[string]struct {
		upstream Upstream
		cold     bool
	}{
		"no report":                  {Upstream{}, false},
		"reported":                   {Upstream{ColdUntil: now.Add(time.Millisecond)}, true},
		"reported time passed":       {Upstream{ColdUntil: now}, false},
		"evacuation just ended":      {Upstream{EvacuationEnded: now}, true},
		"report may still be late":   {Upstream{EvacuationEnded: now.Add(-coldStart - reportDelay + time.Millisecond)}, true},
		"evacuation ended earlier":   {Upstream{EvacuationEnded: now.Add(-coldStart - reportDelay)}, false},
		"reported, evacuation ended": {Upstream{ColdUntil: now.Add(time.Second), EvacuationEnded: now.Add(-time.Minute)}, true},
	} {
		assert.Equal(t, test.upstream.IsCold(coldStart, now), test.cold, name)
	}
}

// TestAServiceIsEvacuatedOnlyIfAllItsUpstreamsAre checks that leaving upstreams do not count as
// evacuated, and that a service without upstreams is not evacuated.
func TestAServiceIsEvacuatedOnlyIfAllItsUpstreamsAre(t *testing.T) {
	u := NewUpstreams([]Upstream{
		{ID: "a", Service: "all", Evacuated: true}, {ID: "b", Service: "all", Evacuated: true},
		{ID: "c", Service: "some", Evacuated: true}, {ID: "d", Service: "some", Leaving: true},
	})
	assert.Assert(t, u.Evacuated("all"))
	assert.Assert(t, !u.Evacuated("some"))
	assert.Assert(t, !u.Evacuated("none"))
}

func TestLeavingAndEvacuatedUpstreamsTakeNoWork(t *testing.T) {
	assert.Assert(t, Upstream{}.TakesWork(now))
	assert.Assert(t, !Upstream{Leaving: true}.TakesWork(now))
	assert.Assert(t, !Upstream{Evacuated: true}.TakesWork(now))
}

// TestBackoffEndsByItself checks that an upstream takes work again after its backoff, and that
// AvailableAt returns the earliest end of a backoff and skips upstreams that leave.
func TestBackoffEndsByItself(t *testing.T) {
	backedOff := Upstream{Service: "s", BackoffUntil: now.Add(time.Second)}
	assert.Assert(t, !backedOff.TakesWork(now) && backedOff.Eligible())
	assert.Assert(t, backedOff.TakesWork(now.Add(time.Second)))
	longer := Upstream{Service: "s", BackoffUntil: now.Add(time.Minute)}
	gone := Upstream{Service: "s", Leaving: true}
	assert.Equal(t, AvailableAt(slices.Values([]Upstream{longer, gone, backedOff}), now), now.Add(time.Second))
	assert.Equal(t, AvailableAt(slices.Values([]Upstream{longer, {Service: "s"}, backedOff}), now), now)
	assert.Equal(t, AvailableAt(slices.Values([]Upstream{gone}), now), now)
	assert.Equal(t, NewUpstreams([]Upstream{longer}).AvailableAt("s", now), now.Add(time.Minute))
}

func TestRegionsAllowAllIfThereAreNone(t *testing.T) {
	assert.Assert(t, Regions(nil).Allow(""))
	assert.Assert(t, Regions{"r1", "r2"}.Allow("r2"))
	assert.Assert(t, !Regions{"r1"}.Allow("r2"))
	assert.Assert(t, !Regions{"r1"}.Allow(""), "the region of the zone is unknown")
}
