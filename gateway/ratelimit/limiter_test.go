package ratelimit

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/header"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// limitedUpstream is the upstream of the tests' only service.
var limitedUpstream = routes.Upstream{ID: "u", Service: "s", Incarnation: 1}

// fakeFleet is a Fleet that holds the other gateways.
type fakeFleet struct {
	mu      sync.Mutex
	members []view.Member
}

// Members implements Fleet.
func (f *fakeFleet) Members() []view.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// Upstreams implements Fleet.
func (f *fakeFleet) Upstreams() *routes.Upstreams {
	return routes.NewUpstreams([]routes.Upstream{limitedUpstream})
}

// gateway is a Limiter that serves others.
type gateway struct {
	*Limiter
	self  view.Member
	fleet *fakeFleet
	stop  func()
}

// startGateways starts gateways that know each other.
func startGateways(t *testing.T, names ...string) []*gateway {
	t.Helper()
	var gateways []*gateway
	for _, name := range names {
		gateways = append(gateways, startGateway(t, name))
	}
	for _, g := range gateways {
		for _, other := range gateways {
			if other != g {
				g.fleet.members = append(g.fleet.members, other.self)
			}
		}
		g.FleetChanged()
	}
	return gateways
}

// startGateway starts a gateway that knows no other.
func startGateway(t *testing.T, name string) *gateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	logger, err := observe.NewLogger(io.Discard, name, "error")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{self: view.Member{Name: name, Address: listener.Addr().String(), Incarnation: name + "/1"}, fleet: &fakeFleet{}}
	dialer := link.NewDialer("key")
	g.Limiter = New(Options{Fleet: g.fleet, Self: g.self, Dialer: dialer, Lifetime: ctx, Logger: logger, Scope: tally.NoopScope})
	server := link.NewServer("key")
	assert.NilError(t, wirepb.DRPCRegisterRateLimit(server.Mux(), NewServer(g.Limiter)))
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, server.Serve(ctx, listener)) })
	running.Go(func() { assert.Check(t, g.Run(ctx)) })
	g.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		assert.Check(t, dialer.Close())
	})
	t.Cleanup(g.stop)
	return g
}

// named is a response that names a limit.
func named(perSecond float64) header.Limit {
	return header.Limit{State: header.LimitNamed, PerSecond: perSecond}
}

// acquire asks for a permit and waits for it.
func (g *gateway) acquire(t *testing.T, wait time.Duration) (*Permit, error) {
	t.Helper()
	return g.Acquire(t.Context(), Request{ID: "r", Service: "s", Upstreams: []routes.Upstream{limitedUpstream}, Wait: wait})
}

// coordinatorOf returns the gateway that another one asks.
func coordinatorOf(gateways []*gateway, g *gateway) *gateway {
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen := g.candidates.Choose("s")
	for _, each := range gateways {
		if each.self.Name == chosen.Name {
			return each
		}
	}
	return nil
}

// awaitLimit waits until a gateway knows a limit or, if limited is not set, that there is none.
func awaitLimit(t *testing.T, g *gateway, limited bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); g.Limited(limitedUpstream) != limited; {
		if time.Now().After(until) {
			t.Fatalf("%s does not learn that the upstream is limited: %t", g.self.Name, limited)
		}
	}
}

func TestAnAskOfALostCoordinatorGoesToTheNext(t *testing.T) {
	gateways := startGateways(t, "a", "b", "c", "d")
	gateways[0].Responded(limitedUpstream, core.Stamp{}, named(20), "r")
	for _, g := range gateways {
		awaitLimit(t, g, true)
	}
	lost := coordinatorOf(gateways, gateways[0])
	for _, g := range gateways {
		if g == lost {
			continue
		}
		permit, err := g.acquire(t, 10*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, g.MaySend(limitedUpstream, permit, "r"))
	}
	lost.stop()
	for _, g := range gateways {
		if g == lost {
			continue
		}
		permit, err := g.acquire(t, 10*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, g.MaySend(limitedUpstream, permit, "r"))
		assert.Assert(t, coordinatorOf(gateways, g) != lost)
	}
}

// TestAnAskOfASilentCoordinatorGoesToTheNext guards against asks that wait for a coordinator whose connections stay open
// though it no longer runs.
func TestAnAskOfASilentCoordinatorGoesToTheNext(t *testing.T) {
	gateways := startGateways(t, "a", "b", "c")
	gateways[0].Responded(limitedUpstream, core.Stamp{}, named(20), "r")
	for _, g := range gateways {
		awaitLimit(t, g, true)
	}
	silent := coordinatorOf(gateways, gateways[0])
	silent.mu.Lock()
	defer silent.mu.Unlock()
	for _, g := range gateways {
		if g == silent {
			continue
		}
		permit, err := g.acquire(t, 5*silenceTimeout)
		assert.NilError(t, err)
		assert.Assert(t, g.MaySend(limitedUpstream, permit, "r"))
	}
}

func TestAPermitAllowsOneSendForAShortTime(t *testing.T) {
	g := startGateways(t, "a")[0]
	assert.Assert(t, g.MaySend(limitedUpstream, nil, "r"), "no limit is known")
	g.Responded(limitedUpstream, core.Stamp{}, named(20), "r")
	assert.Assert(t, !g.MaySend(limitedUpstream, nil, "r"))
	permit, err := g.acquire(t, 10*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, g.MaySend(routes.Upstream{ID: "other", Service: "s", Incarnation: 1}, nil, "r"))
	assert.Assert(t, g.MaySend(limitedUpstream, permit, "r"))
	assert.Assert(t, !g.MaySend(limitedUpstream, permit, "r"), "it is used up")
	old, err := g.acquire(t, 10*time.Second)
	assert.NilError(t, err)
	old.grantedAt = clock.Boot() - core.PermitTTL
	assert.Assert(t, !g.MaySend(limitedUpstream, old, "r"), "it has expired")
	old.Release()
}

func TestALimitThatCannotBeReadChangesNothing(t *testing.T) {
	g := startGateways(t, "a")[0]
	unreadable := header.Limit{State: header.LimitUnreadable}
	g.Responded(limitedUpstream, core.Stamp{}, unreadable, "r")
	assert.Assert(t, !g.Limited(limitedUpstream))
	g.Responded(limitedUpstream, core.Stamp{}, named(1), "r")
	g.Responded(limitedUpstream, g.Stamp(limitedUpstream), unreadable, "r")
	assert.Assert(t, g.Limited(limitedUpstream))
	g.Responded(limitedUpstream, g.Stamp(limitedUpstream), header.Limit{}, "r")
	assert.Assert(t, !g.Limited(limitedUpstream))
}

func TestAnAskThatCannotBeServedInTimeIsRefusedWithARetryAfter(t *testing.T) {
	g := startGateways(t, "a")[0]
	g.Responded(limitedUpstream, core.Stamp{}, named(0.1), "r")
	_, err := g.acquire(t, time.Second)
	var refusal *Refusal
	assert.Assert(t, errorAs(err, &refusal))
	assert.Equal(t, refusal.Coordinator, "a")
	assert.Assert(t, refusal.RetryAfter > time.Second)
}

// errorAs reports whether err is a Refusal, and stores it.
func errorAs(err error, target **Refusal) bool {
	refusal, ok := err.(*Refusal)
	*target = refusal
	return ok
}
