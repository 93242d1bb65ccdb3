package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// coordinating returns a coordinator that holds all votes of one gateway and knows a limit of up. Its bucket
// holds a token.
func coordinating(perSecond float64) *Coordinator {
	c := NewCoordinator()
	c.Observe(0, "s", Entry{Upstream: up, Named: limited(perSecond)})
	keepVoting(c, 0, timeFor(1, Rate(perSecond))+10*time.Millisecond)
	return c
}

// ask returns an ask for a permit for up.
func ask(number uint64, value float64, wait time.Duration) Ask {
	return Ask{Ticket: Ticket{Gateway: "g", Number: number}, Service: "s", Upstreams: []Entry{{Upstream: up, Named: limited(1)}}, Value: value, Wait: wait, Returns: true}
}

// keepVoting renews the vote until a time and returns all decisions.
func keepVoting(c *Coordinator, from, until time.Duration) []Decision {
	var decided []Decision
	for now := from; now <= until; now += 10 * time.Millisecond {
		c.Vote(now, "g", []string{"s"})
		decided = append(decided, c.Advance(now)...)
	}
	return decided
}

func TestTheMostValuableRequestIsGrantedFirst(t *testing.T) {
	c := coordinating(1)
	low, high, urgent := ask(1, 1, 9*time.Second), ask(2, 5, 9*time.Second), ask(3, 0.1, 9*time.Second)
	low.Rank, high.Rank, urgent.Rank = 1, 1, 0
	elsewhere := ask(4, 100, 0)
	elsewhere.Optional = true
	for _, a := range []Ask{elsewhere, low, high, urgent} {
		c.Ask(at(1), a)
	}
	var order []uint64
	for _, d := range keepVoting(c, at(1), at(4.2)) {
		if d.Granted {
			order = append(order, d.Ticket.Number)
		}
	}
	assert.DeepEqual(t, order, []uint64{3, 2, 1})
}

func TestARequestThatWouldWaitTooLongIsRefusedAtOnce(t *testing.T) {
	c := coordinating(2)
	granted, refused := 0, 0
	for number := range uint64(20) {
		c.Ask(at(1), ask(number, 1, 2*time.Second))
	}
	for _, d := range c.Advance(at(1)) {
		if d.Granted {
			granted++
		} else {
			refused++
		}
	}
	assert.Equal(t, granted, 1)
	assert.Equal(t, refused, 15, "two seconds serve four more")
}

func TestRefusedClientsReturnOneAfterTheOther(t *testing.T) {
	c := coordinating(2)
	for number := range uint64(200) {
		c.Ask(at(1), ask(number, 1, 0))
	}
	var returns []time.Duration
	for _, d := range c.Advance(at(1)) {
		if !d.Granted {
			returns = append(returns, d.RetryAfter)
		}
	}
	within := 0
	for i, after := range returns {
		assert.Assert(t, after >= minReturn && after <= maxReturn)
		if after <= 10*time.Second {
			within++
		}
		assert.Assert(t, i == 0 || after != returns[i-1])
	}
	assert.Assert(t, within <= 20, "%d return within 10 s, in which 20 are served", within)
}

func TestAPermitThatWasNotUsedIsGrantedAgain(t *testing.T) {
	c := coordinating(0.5)
	c.Ask(at(2.1), ask(1, 1, 0))
	c.Ask(at(2.1), ask(2, 1, 3*time.Second))
	assert.Assert(t, c.Advance(at(2.1))[0].Granted)
	c.Unused(at(2.2), Ticket{Gateway: "g", Number: 1})
	again := c.Advance(at(2.2))
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Granted)
	c.Unused(at(2.2)+PermitTTL, Ticket{Gateway: "g", Number: 2})
	c.Ask(at(2.2)+PermitTTL, ask(3, 1, 0))
	assert.Assert(t, !c.Advance(at(2.2) + PermitTTL)[0].Granted, "a permit that has expired is not given back")
}

func TestOnlyTheVotesPartOfALimitIsGranted(t *testing.T) {
	c := coordinating(10)
	c.SetGateways(at(0.2), 10)
	granted := 0
	for now := at(1); now < at(21); now += 100 * time.Millisecond {
		c.Vote(now, "g", []string{"s"})
		c.Ask(now, ask(uint64(now), 1, 0))
		for _, d := range c.Advance(now) {
			if d.Granted {
				granted++
			}
		}
	}
	assert.Assert(t, granted >= 25 && granted <= 28, "one of ten votes grants 1.3 a second; got %d in 20 s", granted)
	assert.Equal(t, c.Votes(at(21)+VoteTTL, "s"), 0)
}

func TestOnlyAResponseOfTheCurrentVersionEndsALimit(t *testing.T) {
	c := coordinating(1)
	version := c.Entries("s")[0].Version
	assert.Assert(t, !c.Observe(at(1), "s", Entry{Upstream: up}), "the order is not known")
	assert.Assert(t, !c.Observe(at(1), "s", Entry{Upstream: up, Named: limited(5)}))
	assert.Assert(t, c.Observe(at(1), "s", Entry{Upstream: up, Named: limited(0.5)}), "a lower limit is kept in any case")
	assert.Assert(t, !c.Observe(at(2), "s", Entry{Upstream: up, Version: version}), "it has changed since")
	assert.Assert(t, c.Observe(at(2), "s", Entry{Upstream: up, Version: c.Entries("s")[0].Version}))
	for number := range uint64(3) {
		c.Ask(at(2), ask(number, 1, 0))
	}
	for _, d := range c.Advance(at(2)) {
		assert.Assert(t, d.Granted && !d.Entry.Named.Limited, "an upstream without a limit needs no permit, and the gateway is told")
	}
	assert.Assert(t, c.HasEnded("s"))
	c.Advance(at(3) + endedTTL)
	assert.Equal(t, len(c.Entries("s")), 0)
}

// TestAnUpstreamThatTakesNothingIsStillAskedNowAndThen: it could not say otherwise that its need is over.
func TestAnUpstreamThatTakesNothingIsStillAskedNowAndThen(t *testing.T) {
	for _, perSecond := range []float64{0, 0.01} {
		c := coordinating(perSecond)
		granted := 0
		for now := at(10); now < at(110); now += 200 * time.Millisecond {
			c.Vote(now, "g", []string{"s"})
			c.Ask(now, ask(uint64(now), 1, 0))
			for _, d := range c.Advance(now) {
				if d.Granted {
					granted++
				}
			}
		}
		assert.Assert(t, granted >= 9 && granted <= 11, "%d permits in 100 s for a limit of %v", granted, perSecond)
	}
}

func TestAPreviewTakesNoPermit(t *testing.T) {
	c := coordinating(1)
	preview := ask(1, 1, time.Second)
	preview.Preview = true
	c.Ask(at(1), preview)
	assert.Assert(t, c.Advance(at(1))[0].Granted)
	c.Ask(at(1), ask(2, 1, 0))
	assert.Assert(t, c.Advance(at(1))[0].Granted)
	c.Ask(at(1), ask(3, 2, 9*time.Second))
	preview.Number = 4
	c.Ask(at(1), preview)
	decided := c.Advance(at(1))
	assert.Equal(t, len(decided), 1)
	assert.Assert(t, !decided[0].Granted, "the request ahead takes the next second's permit")
}

func TestTheAsksOfASessionThatEndedAreDropped(t *testing.T) {
	c := coordinating(1)
	c.Ask(at(1), ask(1, 1, 0))
	c.Advance(at(1))
	c.Ask(at(1), ask(2, 1, 9*time.Second))
	c.Ask(at(1), ask(3, 1, 9*time.Second))
	c.Cancel(at(1.1), Ticket{Gateway: "g", Number: 2})
	c.Leave("g")
	assert.Equal(t, len(keepVoting(c, at(1.1), at(9))), 0)
}
