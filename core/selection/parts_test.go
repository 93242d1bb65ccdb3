package selection

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

// TestPrefixIsCopiedFromTheEngineItWasLastSentTo checks that a request that goes to another
// engine because of load copies its shared prefix from the engine that computed it.
func TestPrefixIsCopiedFromTheEngineItWasLastSentTo(t *testing.T) {
	c, list := New(), engines(9)
	for i := range list {
		list[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
	}
	home, _ := c.Choose(list, "part", nil, now)
	c.SentPrefix("part", home.Upstream.ID, now)
	again, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, again.CopyFrom, "", "the prefix was just sent to the chosen engine")

	other, _ := c.Choose(list, "part", []string{home.Upstream.ID}, now)
	assert.Assert(t, other.Upstream.ID != home.Upstream.ID)
	c.SentPrefix("part", other.Upstream.ID, now)
	back, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, back.Upstream.ID, home.Upstream.ID)
	assert.Equal(t, back.CopyFrom, other.Upstream.Address, "the newest request went to the other engine")
}

// TestUnsentPrefixIsCopiedFromTheNextEngineInItsOrder checks the source of a prefix that this
// process never sent: other processes may have sent it there before the fleet changed.
func TestUnsentPrefixIsCopiedFromTheNextEngineInItsOrder(t *testing.T) {
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

func TestPrefixesAreEvicted(t *testing.T) {
	c := New()
	for i := range maxPrefixes {
		c.SentPrefix(fmt.Sprint(i), "e0", now)
	}
	c.SentPrefix("new", "e0", now.Add(prefixTTL))
	assert.Equal(t, len(c.prefixes), 1)
	for i := range maxPrefixes + 1 {
		c.SentPrefix(fmt.Sprint("x", i), "e0", now.Add(prefixTTL))
	}
	assert.Assert(t, len(c.prefixes) <= maxPrefixes)
	c.SentPrefix("", "e0", now)
	_, known := c.prefixes[""]
	assert.Assert(t, !known, "a request without a shared prefix is not recorded")
}

// TestNewIncarnationHasNoStateOfTheLastOne checks that the load, the failure and the cached
// prefixes of an engine's last incarnation are forgotten.
func TestNewIncarnationHasNoStateOfTheLastOne(t *testing.T) {
	c, list := New(), engines(3)
	c.Sync(routes.NewUpstreams(list))
	home, _ := c.Choose(list, "part", nil, now)
	c.Started(home.Upstream.ID)
	c.SentPrefix("part", home.Upstream.ID, now)
	c.Failed(home.Upstream.ID, now)
	for i := range list {
		if list[i].ID == home.Upstream.ID {
			list[i].Incarnation++
		}
	}
	c.Sync(routes.NewUpstreams(list))
	again, _ := c.Choose(list, "part", nil, now)
	assert.Equal(t, again.Upstream.ID, home.Upstream.ID, "the failure was that of the last incarnation")
	assert.Equal(t, again.Load, 0.0)
	_, known := c.prefixes["part"]
	assert.Assert(t, !known)
	c.Ended(home.Upstream.ID)
	assert.Equal(t, c.estimatedLoad(again.Upstream, now), 0.0, "the request of the last incarnation ended after it was forgotten")
}
