package admit

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

// admit requests admission at the time now.
func admit(g *Gate, workspace string, bound int, stream bool) (*Ticket, Refusal) {
	ticket, refusal, _ := g.Admit(now, Request{Workspace: workspace, Pipeline: "p", Bound: bound, Stream: stream})
	return ticket, refusal
}

func TestGateCountsAndDrains(t *testing.T) {
	g := NewGate(Limits{InFlight: 3, Streams: 1})
	first, refusal := admit(g, "w", 2, true)
	assert.Equal(t, refusal, Admitted)
	_, refusal = admit(g, "w", 2, true)
	assert.Equal(t, refusal, TooManyStreams)
	second, _ := admit(g, "w", 2, false)
	_, refusal = admit(g, "w", 2, false)
	assert.Equal(t, refusal, WorkspaceFull)
	third, _ := admit(g, "x", 0, false)
	_, refusal = admit(g, "y", 0, false)
	assert.Equal(t, refusal, TooManyRequests)
	idle := g.Drain()
	first.Done(now, EndOther, 0)
	second.Done(now, EndCompleted, 0)
	select {
	case <-idle:
		t.Fatal("idle with a request in flight")
	default:
	}
	_, refusal = admit(g, "w", 0, false)
	assert.Equal(t, refusal, Draining)
	third.Done(now, EndOther, 0)
	<-idle
	assert.Equal(t, g.Counts(), Counts{Draining: true})
	assert.Equal(t, len(g.adaptive), 0)
}

// TestAdaptiveLimitFindsTheCapacity offers twice the load of a capacity of ten: the
// limit settles near the capacity, few requests are refused after their admission, and
// another pipeline is not limited.
func TestAdaptiveLimitFindsTheCapacity(t *testing.T) {
	const capacity, rounds = 10, 400
	g := NewGate(Limits{InFlight: 1000, Streams: 1})
	at, served, late := now, 0, 0
	for range rounds {
		at = at.Add(cutInterval)
		var admitted []*Ticket
		for range 2 * capacity {
			if ticket, refusal, _ := g.Admit(at, Request{Workspace: "w", Pipeline: "p"}); refusal == Admitted {
				admitted = append(admitted, ticket)
			}
		}
		for i, ticket := range admitted {
			end := EndCompleted
			if i >= capacity {
				end = EndOverloaded
				late++
			} else {
				served++
			}
			ticket.Done(at, end, time.Second)
		}
	}
	assert.Assert(t, served >= rounds*capacity*9/10, "served %d", served)
	assert.Assert(t, late <= rounds*capacity/10, "refused after admission: %d", late)
	_, refusal, after := enterAll(g, at)
	assert.Equal(t, refusal, Overloaded)
	assert.Equal(t, after, time.Second)
	_, refusal, _ = g.Admit(at, Request{Workspace: "w", Pipeline: "q"})
	assert.Equal(t, refusal, Admitted)
	_, refusal, _ = g.Admit(at.Add(2*limitLifetime), Request{Workspace: "w", Pipeline: "p"})
	assert.Equal(t, refusal, Admitted)
}

// enterAll requests admission until a request is refused.
func enterAll(g *Gate, at time.Time) (*Ticket, Refusal, time.Duration) {
	for {
		if ticket, refusal, after := g.Admit(at, Request{Workspace: "w", Pipeline: "p"}); refusal != Admitted {
			return ticket, refusal, after
		}
	}
}

func TestLimitListenerBoundsOpenConnections(t *testing.T) {
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

func TestAdaptiveLimitCutsOncePerIntervalAndRecovers(t *testing.T) {
	limit := adaptiveLimit{}
	for range 10 {
		limit.admit()
	}
	limit.overloaded(now, 0)
	limit.overloaded(now.Add(cutInterval-1), 0)
	assert.Equal(t, limit.limit, 9.0)
	limit.overloaded(now.Add(cutInterval), 0)
	assert.Assert(t, limit.limit < 9)
	before := limit.limit
	limit.completed(now, false)
	assert.Equal(t, limit.limit, before)
	for range 9 {
		limit.completed(now, true)
	}
	assert.Assert(t, limit.limit > before+0.9 && limit.limit < before+1.2)
	before = limit.limit
	limit.completed(now.Add(cutInterval+fastGrowthAfter+1), true)
	assert.Equal(t, limit.limit, before+1)
	for i := range 100 {
		limit.overloaded(now.Add(time.Duration(i)*time.Minute), 0)
	}
	assert.Equal(t, limit.limit, float64(minLimit))
}

func TestRefusedRequestKeepsItsSlotUntilTheRetryDelayEnds(t *testing.T) {
	limit := adaptiveLimit{}
	for range 10 {
		limit.admit()
	}
	limit.overloaded(now, 300*time.Millisecond)
	limit.overloaded(now, time.Hour)
	limit.inFlight -= 2
	assert.Equal(t, limit.limit, 9.0)
	assert.Assert(t, !limit.allows(now))
	assert.Assert(t, !limit.allows(now.Add(299*time.Millisecond)))
	limit.inFlight--
	assert.Assert(t, limit.allows(now.Add(300*time.Millisecond)))
	limit.admit()
	assert.Assert(t, !limit.allows(now.Add(maxHold-1)))
	assert.Assert(t, limit.allows(now.Add(maxHold)))
}
