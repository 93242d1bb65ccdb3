package admit

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
)

func TestGateCountsAndDrains(t *testing.T) {
	g := NewGate(Limits{InFlight: 3, Streams: 1})
	first, refusal := g.Enter("w", 2, true)
	assert.Equal(t, refusal, Admitted)
	_, refusal = g.Enter("w", 2, true)
	assert.Equal(t, refusal, TooManyStream)
	second, _ := g.Enter("w", 2, false)
	_, refusal = g.Enter("w", 2, false)
	assert.Equal(t, refusal, WorkspaceFull)
	third, _ := g.Enter("x", 0, false)
	_, refusal = g.Enter("y", 0, false)
	assert.Equal(t, refusal, TooMany)
	idle := g.Drain()
	first.Leave()
	second.Leave()
	select {
	case <-idle:
		t.Fatal("idle with a request in flight")
	default:
	}
	_, refusal = g.Enter("w", 0, false)
	assert.Equal(t, refusal, Draining)
	third.Leave()
	<-idle
	assert.Equal(t, g.Counts(), Counts{Draining: true})
}

// TestSharesAddUp splits bounds over entries: the parts add up to the bound if
// there is at least one for each entry.
func TestSharesAddUp(t *testing.T) {
	hosts := []fleet.Host{{Name: "u", Role: fleet.RoleUpstream}, {Name: "z", Role: fleet.RoleEntry, Leaving: true}}
	for _, name := range []string{"c", "a", "b"} {
		hosts = append(hosts, fleet.Host{Name: name, Role: fleet.RoleEntry})
	}
	for bound := 3; bound < 20; bound++ {
		sum := 0
		for _, name := range []string{"a", "b", "c"} {
			sum += Share(bound, name, hosts)
		}
		assert.Equal(t, sum, bound)
	}
	assert.Equal(t, Share(1, "c", hosts), 1)
	assert.Equal(t, Share(0, "c", hosts), 0)
	assert.Equal(t, Share(9, "c", nil), 9)
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
