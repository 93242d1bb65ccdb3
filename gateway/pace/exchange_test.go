package pace

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	core "acaciawinch/core/pace"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// engines are the engines of the tests' only service.
var engines = []routes.Upstream{{ID: "slow", Service: "llm", Incarnation: 1}, {ID: "b", Service: "llm", Incarnation: 1}, {ID: "c", Service: "llm", Incarnation: 1}}

// fakeFleet is a Fleet of given gateways with the tests' engines.
type fakeFleet struct{ members []view.Member }

func (f *fakeFleet) Members() []view.Member       { return f.members }
func (f *fakeFleet) Upstreams() *routes.Upstreams { return routes.NewUpstreams(engines) }
func (f *fakeFleet) Table() *routes.Table         { return nil }

// gateway is a Keeper that serves others until stop is called.
type gateway struct {
	*Keeper
	fleet *fakeFleet
	stop  func()
}

// startGateways starts gateways that know each other.
func startGateways(t *testing.T, names ...string) map[string]*gateway {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	gateways := make(map[string]*gateway)
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		self := view.Member{Name: name, Incarnation: "run of " + name, Address: listener.Addr().String()}
		fleet := &fakeFleet{}
		keeper := New(Options{Fleet: fleet, Self: self, Dialer: link.NewDialer("key"), Logger: logger, Scope: tally.NoopScope})
		server := link.NewServer("key")
		assert.NilError(t, wirepb.DRPCRegisterEnginePace(server.Mux(), NewServer(keeper)))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(ctx, listener) // it ends when the test stops it
		}()
		gateways[name] = &gateway{Keeper: keeper, fleet: fleet, stop: func() { cancel(); <-ended }}
		t.Cleanup(gateways[name].stop)
	}
	for _, g := range gateways {
		for _, other := range gateways {
			if other != g {
				g.fleet.members = append(g.fleet.members, other.options.Self)
			}
		}
		g.takeMembers()
	}
	return gateways
}

// holder returns the gateway that a gateway chooses as the holder.
func (g *gateway) holder() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooseHolder("llm").Name
}

// observe records streams of an engine with a time between events.
func (g *gateway) observe(upstream routes.Upstream, gap time.Duration) {
	seen := core.Observation{}
	for range 16 {
		seen.Gaps = append(seen.Gaps, core.Gap{Time: gap, Events: 1})
	}
	g.Observe(upstream, seen)
}

// knowsSlow reports whether a gateway takes the slow engine for slow.
func (g *gateway) knowsSlow() (slow bool) {
	g.Use("llm", func(table *core.Table) {
		// A later time makes the table compute the values of all engines again.
		slow, _ = table.Slower(core.Engine{ID: "slow", Incarnation: 1}, time.Now().Add(time.Second))
	})
	return slow
}

// observeUneven makes a gateway observe the three engines.
func (g *gateway) observeUneven() {
	g.observe(engines[0], 70*time.Millisecond)
	g.observe(engines[1], 22*time.Millisecond)
	g.observe(engines[2], 22*time.Millisecond)
}

// others returns the two gateways that are not the holder, and the holder.
func others(gateways map[string]*gateway) (a, b, holder *gateway) {
	for _, g := range gateways {
		name := g.holder()
		switch {
		case gateways[name] == g:
			holder = g
		case a == nil:
			a = g
		default:
			b = g
		}
	}
	return a, b, holder
}

// TestObservationsReachAllGateways guards against gateways that know only what they have seen themselves, and against
// two holders in a fleet whose gateways know each other.
func TestObservationsReachAllGateways(t *testing.T) {
	a, b, holder := others(startGateways(t, "g1", "g2", "g3"))
	assert.Assert(t, a != nil && b != nil && holder != nil)
	a.observeUneven()
	for _, g := range []*gateway{a, b, holder} {
		g.exchange(context.Background(), "llm")
	}
	assert.Assert(t, b.knowsSlow())
	assert.Assert(t, holder.knowsSlow())
}

// TestObservationsOutliveTheirHolder guards against values that are lost with the holder: the gateways keep theirs,
// and the next holder gets what the last one did not.
func TestObservationsOutliveTheirHolder(t *testing.T) {
	a, b, holder := others(startGateways(t, "g1", "g2", "g3"))
	a.observeUneven()
	a.exchange(context.Background(), "llm")
	holder.stop()
	a.observeUneven()
	a.exchange(context.Background(), "llm")
	assert.Assert(t, a.knowsSlow(), "the last values stay in use")
	b.exchange(context.Background(), "llm") // b notices the loss as well
	assert.Equal(t, a.holder(), b.holder())
	a.exchange(context.Background(), "llm")
	b.exchange(context.Background(), "llm")
	assert.Assert(t, b.knowsSlow())
}

// TestEnginesThatLeftAreForgotten guards against memory that grows with each engine that ever ran, at this process and
// at the holder, which also gets digests on engines that it does not list.
func TestEnginesThatLeftAreForgotten(t *testing.T) {
	g := startGateways(t, "g1")["g1"]
	g.observe(routes.Upstream{ID: "b", Service: "llm", Incarnation: 7}, time.Millisecond)
	g.observe(routes.Upstream{ID: "x", Service: "gone"}, time.Millisecond)
	g.observeUneven()
	g.exchange(context.Background(), "llm")
	g.tick(time.Now())
	g.Use("llm", func(table *core.Table) { assert.Equal(t, table.Len(), len(engines)) })
	assert.Equal(t, len(g.services), 1)
	assert.Equal(t, len(g.merge(&wirepb.PaceDigest{Service: "llm"}, time.Now()).GetEngines()), len(engines))
}

// TestGatewayWithoutPacesKnowsNone guards against load.engine_pace = "off" acting on requests, or breaking a gateway that
// takes it for the holder.
func TestGatewayWithoutPacesKnowsNone(t *testing.T) {
	var off *Keeper
	off.Observe(engines[0], core.Observation{FirstEvent: time.Second})
	off.Use("llm", func(table *core.Table) { assert.Assert(t, table == nil) })
	assert.NilError(t, off.Run(context.Background()))
	_, err := NewServer(off).Exchange(context.Background(), &wirepb.PaceDigest{Service: "llm"})
	assert.Assert(t, fault.Is(err, fault.Refused))
}
