package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var up = Upstream{ID: "u", Incarnation: 7}

// limited returns what a response or notice says that names a limit.
func limited(perSecond float64) Named { return Named{Limited: true, PerSecond: perSecond} }

// at returns a time in seconds.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func TestAResponseOfBeforeTheLimitDoesNotEndIt(t *testing.T) {
	table := NewTable()
	before := table.Stamp(up)
	_, changed := table.Responded(at(1), up, before, limited(2))
	assert.Assert(t, changed)
	_, changed = table.Responded(at(1.1), up, before, Named{})
	assert.Assert(t, !changed, "its request was sent before the limit was known")
	_, changed = table.Responded(at(1.2), up, before, limited(5))
	assert.Assert(t, !changed, "a higher limit may be older")
	_, changed = table.Responded(at(1.3), up, before, limited(1))
	assert.Assert(t, changed, "a lower limit is kept in any case")
	after := table.Stamp(up)
	_, changed = table.Responded(at(1.4), up, after, limited(5))
	assert.Assert(t, changed)
	_, changed = table.Responded(at(1.5), up, table.Stamp(up), Named{})
	assert.Assert(t, changed)
	assert.Assert(t, table.Empty())
}

func TestALimitIsThatOfOneIncarnation(t *testing.T) {
	table := NewTable()
	table.Responded(at(1), up, Stamp{}, limited(2))
	_, known := table.Limit(Upstream{ID: up.ID, Incarnation: up.Incarnation + 1})
	assert.Assert(t, !known)
}

func TestANoticeDoesNotOverruleAResponseThatMayBeNewer(t *testing.T) {
	table := NewTable()
	assert.Assert(t, table.Noticed(at(1), "c", Entry{Upstream: up, Named: limited(4), Version: 1}))
	table.Responded(at(5), up, table.Stamp(up), limited(2))
	assert.Assert(t, !table.Noticed(at(5.1), "c", Entry{Upstream: up, Version: 2}), "the notice of the end may be older")
	assert.Assert(t, !table.Noticed(at(5.1), "c", Entry{Upstream: up, Named: limited(4), Version: 3}), "so may that of a higher limit")
	assert.Assert(t, table.Noticed(at(5.2), "c", Entry{Upstream: up, Named: limited(1), Version: 4}), "a lower limit is kept")
	assert.Assert(t, !table.Noticed(at(7), "c", Entry{Upstream: up, Version: 3}), "an earlier version is ignored")
	assert.Assert(t, table.Noticed(at(7), "c", Entry{Upstream: up, Version: 5}))
	assert.Assert(t, table.Empty())
	assert.Assert(t, !table.Noticed(at(8), "c", Entry{Upstream: up, Version: 6}), "the end of an unknown limit changes nothing")
}

// TestAResponseToARequestOfAnEarlierVersionDoesNotEndTheLimit: the limit has ended and begun again meanwhile.
func TestAResponseToARequestOfAnEarlierVersionDoesNotEndTheLimit(t *testing.T) {
	table := NewTable()
	table.Noticed(at(1), "c", Entry{Upstream: up, Named: limited(4), Version: 1})
	sent := table.Stamp(up)
	table.Noticed(at(3), "c", Entry{Upstream: up, Named: limited(4), Version: 3})
	_, changed := table.Responded(at(4), up, sent, Named{})
	assert.Assert(t, !changed)
}

func TestALimitIsKeptWhileItsUpstreamIsListed(t *testing.T) {
	table := NewTable()
	table.Responded(at(1), up, Stamp{}, limited(2))
	table.Expire(at(1)+time.Hour, func(Upstream) bool { return true })
	assert.Assert(t, !table.Empty())
	table.Expire(at(1)+unlistedTTL, func(Upstream) bool { return false })
	assert.Assert(t, !table.Empty(), "a store in trouble may list it again")
	table.Expire(at(2)+unlistedTTL, func(Upstream) bool { return false })
	assert.Assert(t, table.Empty())
}

func TestAVoteIsGivenToOneCoordinatorAtATime(t *testing.T) {
	var voter Voter
	assert.Assert(t, voter.Vote(at(1), "a"))
	assert.Assert(t, !voter.Vote(at(1.1), "b"))
	assert.Assert(t, voter.Vote(at(1.2), "a"))
	lapsed := at(1.2) + VoteTTL + voteDelay
	assert.Assert(t, !voter.Vote(lapsed-1, "b"))
	assert.Assert(t, voter.Vote(lapsed, "b"))
	voter.Released("a")
	assert.Assert(t, !voter.Vote(lapsed+1, "a"), "only the holder can release it")
	voter.Released("b")
	assert.Assert(t, voter.Vote(lapsed+2, "a"))
}

func TestACoordinatorThatDoesNotRespondIsSkippedAndTriedAgain(t *testing.T) {
	self := Candidate{Name: "self", Incarnation: "self/1"}
	c := NewCandidates(self)
	assert.Equal(t, c.Choose("s"), self)
	var others []Candidate
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		others = append(others, Candidate{Name: name, Incarnation: name + "/1"})
	}
	c.SetOthers(others)
	c.Leave()
	first := c.Choose("s")
	c.Silent(at(1), first.Incarnation)
	second := c.Choose("s")
	assert.Assert(t, first != second)
	_, due := c.Probe(at(1)+probeInterval-1, "s")
	assert.Assert(t, !due)
	probed, due := c.Probe(at(1)+probeInterval, "s")
	assert.Assert(t, due)
	assert.Equal(t, probed, first)
	c.Responded(first.Incarnation)
	assert.Equal(t, c.Choose("s"), first)
	for range maxSilent {
		c.Silent(at(9), c.Choose("s").Incarnation)
	}
	assert.Equal(t, c.Choose("s"), self, "a gateway that reaches none of the first is cut off")
}
