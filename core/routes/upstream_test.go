package routes

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

// TestColdIsWhatAnEntrySaidAndWhatAZoneMayHide: for a start's time, and as long as a word takes,
// after a zone was taken back.
func TestColdIsWhatAnEntrySaidAndWhatAZoneMayHide(t *testing.T) {
	const start = 3 * time.Second
	for name, one := range map[string]struct {
		upstream Upstream
		cold     bool
	}{
		"nothing said":          {Upstream{}, false},
		"said":                  {Upstream{ColdUntil: now.Add(time.Millisecond)}, true},
		"said long ago":         {Upstream{ColdUntil: now}, false},
		"zone just taken back":  {Upstream{TakenBack: now}, true},
		"its word may be late":  {Upstream{TakenBack: now.Add(-start - wordDelay + time.Millisecond)}, true},
		"taken back a while":    {Upstream{TakenBack: now.Add(-start - wordDelay)}, false},
		"said, and a zone back": {Upstream{ColdUntil: now.Add(time.Second), TakenBack: now.Add(-time.Minute)}, true},
	} {
		assert.Equal(t, one.upstream.IsCold(start, now), one.cold, name)
	}
}

// TestAServiceIsEvacuatedOnlyIfAllItsUpstreamsAre: leaving ones are no reason to say so, and
// neither is a service without any.
func TestAServiceIsEvacuatedOnlyIfAllItsUpstreamsAre(t *testing.T) {
	u := NewUpstreams([]Upstream{
		{ID: "a", Service: "all", Evacuated: true}, {ID: "b", Service: "all", Evacuated: true},
		{ID: "c", Service: "some", Evacuated: true}, {ID: "d", Service: "some", Leaving: true},
	})
	assert.Assert(t, u.Evacuated("all"))
	assert.Assert(t, !u.Evacuated("some"))
	assert.Assert(t, !u.Evacuated("none"))
}

func TestWhoLeavesOrIsEvacuatedTakesNoWork(t *testing.T) {
	assert.Assert(t, Upstream{}.TakesWork(now))
	assert.Assert(t, !Upstream{Leaving: true}.TakesWork(now))
	assert.Assert(t, !Upstream{Evacuated: true}.TakesWork(now))
}

// TestAPauseEndsByItself: and an upstream that leaves takes nothing after it either.
func TestAPauseEndsByItself(t *testing.T) {
	paused := Upstream{Service: "s", PausedUntil: now.Add(time.Second)}
	assert.Assert(t, !paused.TakesWork(now) && paused.Stays())
	assert.Assert(t, paused.TakesWork(now.Add(time.Second)))
	longer := Upstream{Service: "s", PausedUntil: now.Add(time.Minute)}
	gone := Upstream{Service: "s", Leaving: true}
	assert.Equal(t, Opens(slices.Values([]Upstream{longer, gone, paused}), now), now.Add(time.Second))
	assert.Equal(t, Opens(slices.Values([]Upstream{longer, {Service: "s"}, paused}), now), now)
	assert.Equal(t, Opens(slices.Values([]Upstream{gone}), now), now)
	assert.Equal(t, NewUpstreams([]Upstream{longer}).Opens("s", now), now.Add(time.Minute))
}

func TestRegionsAllowAllIfThereAreNone(t *testing.T) {
	assert.Assert(t, Regions(nil).Allow(""))
	assert.Assert(t, Regions{"r1", "r2"}.Allow("r2"))
	assert.Assert(t, !Regions{"r1"}.Allow("r2"))
	assert.Assert(t, !Regions{"r1"}.Allow(""), "a zone of no known region")
}
