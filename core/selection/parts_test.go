package selection

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

// TestAnEngineCopiesAPartFromWhereItLastWent: a request that load sends elsewhere copies
// its shared part from the engine that read it.
func TestAnEngineCopiesAPartFromWhereItLastWent(t *testing.T) {
	c, list := New(), engines(9)
	for i := range list {
		list[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
	}
	home, _ := c.Choose(list, "part", nil, now)
	c.SentPart("part", home.Upstream.ID, now)
	again, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, again.CopyFrom, "", "it went there a moment ago")

	other, _ := c.Choose(list, "part", []string{home.Upstream.ID}, now)
	assert.Assert(t, other.Upstream.ID != home.Upstream.ID)
	c.SentPart("part", other.Upstream.ID, now)
	back, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, back.Upstream.ID, home.Upstream.ID)
	assert.Equal(t, back.CopyFrom, other.Upstream.Address, "the newest request went to the other")
}

// TestAPartThatThisProcessNeverSentIsCopiedFromTheNextInItsOrder: other processes may have
// sent it there before the fleet changed.
func TestAPartThatThisProcessNeverSentIsCopiedFromTheNextInItsOrder(t *testing.T) {
	c, list := New(), engines(9)
	for i := range list {
		list[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
	}
	first, _ := c.Choose(list, "part", nil, now)
	second, _ := c.Choose(list, "part", []string{first.Upstream.ID}, now)
	assert.Equal(t, first.CopyFrom, second.Upstream.Address)
	c.Failed(second.Upstream.ID, now)
	without, _ := c.Choose(list, "part", nil, now)
	assert.Assert(t, without.CopyFrom != second.Upstream.Address, "nothing is copied from an engine that failed")
}

func TestPartsAreForgotten(t *testing.T) {
	c := New()
	for i := range mostParts {
		c.SentPart(fmt.Sprint(i), "e0", now)
	}
	c.SentPart("new", "e0", now.Add(partLife))
	assert.Equal(t, len(c.parts), 1)
	for i := range mostParts + 1 {
		c.SentPart(fmt.Sprint("x", i), "e0", now.Add(partLife))
	}
	assert.Assert(t, len(c.parts) <= mostParts)
	c.SentPart("", "e0", now)
	_, known := c.parts[""]
	assert.Assert(t, !known, "a request without a shared part says nothing")
}

// TestAnEngineThatStartedAgainHoldsNothing: neither load nor parts of before count.
func TestAnEngineThatStartedAgainHoldsNothing(t *testing.T) {
	c, list := New(), engines(3)
	c.Keep(routes.NewUpstreams(list))
	home, _ := c.Choose(list, "part", nil, now)
	c.Started(home.Upstream.ID)
	c.SentPart("part", home.Upstream.ID, now)
	c.Failed(home.Upstream.ID, now)
	for i := range list {
		if list[i].ID == home.Upstream.ID {
			list[i].Born++
		}
	}
	c.Keep(routes.NewUpstreams(list))
	again, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, again.Upstream.ID, home.Upstream.ID, "its failure is that of the one before")
	assert.Equal(t, again.Load, 0.0)
	_, known := c.parts["part"]
	assert.Assert(t, !known)
	c.Ended(home.Upstream.ID)
	assert.Equal(t, c.estimate(again.Upstream, now), 0.0, "the end of a request of before")
}
