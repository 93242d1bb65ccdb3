package admit

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

// enter asks for a place of workspace.
func enter(g *Gate, workspace string, bound int, stream bool) (*Ticket, Refusal) {
	ticket, refusal, _ := g.Enter(now, Ask{Workspace: workspace, Pipeline: "p", Bound: bound, Stream: stream})
	return ticket, refusal
}

func TestGateCountsAndDrains(t *testing.T) {
	g := NewGate(Limits{InFlight: 3, Streams: 1})
	first, refusal := enter(g, "w", 2, true)
	assert.Equal(t, refusal, Admitted)
	_, refusal = enter(g, "w", 2, true)
	assert.Equal(t, refusal, TooManyStream)
	second, _ := enter(g, "w", 2, false)
	_, refusal = enter(g, "w", 2, false)
	assert.Equal(t, refusal, WorkspaceFull)
	third, _ := enter(g, "x", 0, false)
	_, refusal = enter(g, "y", 0, false)
	assert.Equal(t, refusal, TooMany)
	idle := g.Drain()
	first.Leave(now, EndOther, 0)
	second.Leave(now, EndAnswered, 0)
	select {
	case <-idle:
		t.Fatal("idle with a request in flight")
	default:
	}
	_, refusal = enter(g, "w", 0, false)
	assert.Equal(t, refusal, Draining)
	third.Leave(now, EndOther, 0)
	<-idle
	assert.Equal(t, g.Counts(), Counts{Draining: true})
	assert.Equal(t, len(g.paces), 0)
}

// TestPaceFindsTheCapacity offers twice what ten places serve: the limit settles
// near them, few are refused behind their admission, and others are not held up.
func TestPaceFindsTheCapacity(t *testing.T) {
	const capacity, rounds = 10, 400
	g := NewGate(Limits{InFlight: 1000, Streams: 1})
	at, served, late := now, 0, 0
	for range rounds {
		at = at.Add(cutEvery)
		var in []*Ticket
		for range 2 * capacity {
			if ticket, refusal, _ := g.Enter(at, Ask{Workspace: "w", Pipeline: "p"}); refusal == Admitted {
				in = append(in, ticket)
			}
		}
		for i, ticket := range in {
			end := EndAnswered
			if i >= capacity {
				end = EndOverloaded
				late++
			} else {
				served++
			}
			ticket.Leave(at, end, time.Second)
		}
	}
	assert.Assert(t, served >= rounds*capacity*9/10, "served %d", served)
	assert.Assert(t, late <= rounds*capacity/10, "refused late %d", late)
	_, refusal, after := enterAll(g, at)
	assert.Equal(t, refusal, Overloaded)
	assert.Equal(t, after, time.Second)
	_, refusal, _ = g.Enter(at, Ask{Workspace: "w", Pipeline: "q"})
	assert.Equal(t, refusal, Admitted)
	_, refusal, _ = g.Enter(at.Add(2*paceLife), Ask{Workspace: "w", Pipeline: "p"})
	assert.Equal(t, refusal, Admitted)
}

// enterAll takes places until one is refused.
func enterAll(g *Gate, at time.Time) (*Ticket, Refusal, time.Duration) {
	for {
		if ticket, refusal, after := g.Enter(at, Ask{Workspace: "w", Pipeline: "p"}); refusal != Admitted {
			return ticket, refusal, after
		}
	}
}

func TestLimitListenerHoldsBack(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := LimitListener(inner, 1)
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
	}
	first := <-accepted
	assert.Equal(t, len(l.(*limitListener).slots), 1)
	assert.NilError(t, first.Close())
	second := <-accepted
	assert.NilError(t, second.Close())
	assert.NilError(t, l.Close())
	<-accepted
}

func TestPaceCutsOnceAndWinsBack(t *testing.T) {
	p := pace{}
	for range 10 {
		p.enter()
	}
	p.overloaded(now, 0)
	p.overloaded(now.Add(cutEvery-1), 0)
	assert.Equal(t, p.limit, 9.0)
	p.overloaded(now.Add(cutEvery), 0)
	assert.Assert(t, p.limit < 9)
	before := p.limit
	p.answered(now, false)
	assert.Equal(t, p.limit, before)
	for range 9 {
		p.answered(now, true)
	}
	assert.Assert(t, p.limit > before+0.9 && p.limit < before+1.2)
	before = p.limit
	p.answered(now.Add(cutEvery+calm+1), true)
	assert.Equal(t, p.limit, before+1)
	for i := range 100 {
		p.overloaded(now.Add(time.Duration(i)*time.Minute), 0)
	}
	assert.Equal(t, p.limit, float64(leastLimit))
}

func TestRefusedRequestKeepsItsPlaceAsLongAsItShouldStayAway(t *testing.T) {
	p := pace{}
	for range 10 {
		p.enter()
	}
	p.overloaded(now, 300*time.Millisecond)
	p.overloaded(now, time.Hour)
	p.inFlight -= 2
	assert.Equal(t, p.limit, 9.0)
	assert.Assert(t, !p.allows(now))
	assert.Assert(t, !p.allows(now.Add(299*time.Millisecond)))
	p.inFlight--
	assert.Assert(t, p.allows(now.Add(300*time.Millisecond)))
	p.enter()
	assert.Assert(t, !p.allows(now.Add(maxHold-1)))
	assert.Assert(t, p.allows(now.Add(maxHold)))
}
