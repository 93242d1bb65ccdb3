package limit

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/share"
	"acaciawinch/observe"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// node is an entry as far as permits are concerned.
type node struct {
	wirepb.DRPCEntryUnimplementedServer
	limiter *Limiter
	dialer  *link.Dialer
	stop    func()
}

func (n *node) AcquirePermit(ctx context.Context, r *wirepb.AcquirePermitRequest) (*wirepb.AcquirePermitReply, error) {
	return n.limiter.AcquirePermit(ctx, r)
}

func (n *node) ReleasePermit(ctx context.Context, r *wirepb.ReleasePermitRequest) (*wirepb.ReleasePermitReply, error) {
	return n.limiter.ReleasePermit(ctx, r)
}

// nodes are entries with a shared host list.
type nodes struct {
	t     testing.TB
	hosts []fleet.Host
	list  []*node
}

// newNodes starts entries on loopback until the test ends.
func newNodes(t testing.TB, count int) *nodes {
	ns := &nodes{t: t}
	for i := range count {
		ns.hosts = append(ns.hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry, Addr: "127.0.0.1:0"})
		ns.list = append(ns.list, ns.start(i))
	}
	return ns
}

// start starts or restarts an entry, with an empty ledger.
func (ns *nodes) start(i int) *node {
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(ns.t, err)
	listener, err := net.Listen("tcp", ns.hosts[i].Addr)
	assert.NilError(ns.t, err)
	ns.hosts[i].Addr = listener.Addr().String()
	n := &node{dialer: link.NewDialer("k")}
	n.limiter = New(Options{
		Self:        ns.hosts[i].Name,
		Incarnation: core.Incarnation(time.Now().UnixNano()),
		Hosts:       func() ([]fleet.Host, uint64) { return ns.hosts, uint64(len(ns.hosts)) },
		Dialer:      n.dialer,
		Log:         logger,
	})
	server := link.NewServer("k")
	assert.NilError(ns.t, wirepb.DRPCRegisterEntry(server.Mux(), n))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, listener) }()
	n.stop = func() { cancel(); <-done }
	ns.t.Cleanup(func() { n.stop(); _ = n.dialer.Close() })
	return n
}

// homesOf returns the indices of the home and the deputy of a workspace's only part.
func (ns *nodes) homesOf(workspace string) (home, deputy int) {
	of := share.NewHomes(ns.hosts, "").Of(workspace, 0)
	for i, host := range ns.hosts {
		switch host.Name {
		case of[0].Name:
			home = i
		case of[1].Name:
			deputy = i
		}
	}
	return home, deputy
}

// acquire requests a permit at an entry and waits for the decision.
func (n *node) acquire(workspace string, bound int) *Permit {
	p := n.limiter.Acquire("r", workspace, bound, 20*time.Second)
	<-p.Decided()
	return p
}

// awaitPermits waits until a home counts the given number of permits.
func (n *node) awaitPermits(t testing.TB, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.limiter.mu.Lock()
		defer n.limiter.mu.Unlock()
		if got := n.limiter.ledger.Permits(); got != want {
			return poll.Continue("%d permits", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestOneEntryMayUseTheWholeBound acquires all permits through one entry, and releases
// one.
func TestOneEntryMayUseTheWholeBound(t *testing.T) {
	const bound = 6
	ns := newNodes(t, 3)
	home, _ := ns.homesOf("w")
	caller := ns.list[(home+1)%3]
	var permits []*Permit
	for range bound {
		p := caller.acquire("w", bound)
		assert.Assert(t, p.Refusal() == nil)
		permits = append(permits, p)
	}
	assert.Equal(t, caller.acquire("w", bound).Refusal().Detail, reasonLimitReached)
	assert.Assert(t, ns.list[home].acquire("w", bound).Refusal() != nil)
	permits[0].Release()
	ns.list[home].awaitPermits(t, bound-1)
	assert.Assert(t, caller.acquire("w", bound).Refusal() == nil)
}

// TestRestartedHomeCountsRunningRequests stops the home, so that the deputy enforces the
// bound. Then it restarts the home, which must count the running requests again.
func TestRestartedHomeCountsRunningRequests(t *testing.T) {
	const bound = 2
	ns := newNodes(t, 3)
	home, deputy := ns.homesOf("w")
	caller := ns.list[3-home-deputy]
	before := caller.acquire("w", bound)
	ns.list[home].stop()
	for range bound {
		assert.Assert(t, caller.acquire("w", bound).Refusal() == nil)
	}
	assert.Equal(t, caller.acquire("w", bound).Refusal().Detail, reasonLimitReached)
	ns.list[home] = ns.start(home)
	caller.limiter.client = share.NewClient() // a new one does not suspect the home any longer
	caller.limiter.changeHomes(context.Background())
	ns.list[home].awaitPermits(t, bound)
	before.Release()
	assert.Assert(t, ns.list[home].acquire("w", bound).Refusal() != nil)
}

// TestReleaseDuringSearchMakesNoHomeSuspect releases permits while they are requested from
// a home that never responds.
func TestReleaseDuringSearchMakesNoHomeSuspect(t *testing.T) {
	ns := newNodes(t, 2)
	home, _ := ns.homesOf("w")
	ns.list[home].stop()
	silent, err := net.Listen("tcp", ns.hosts[home].Addr)
	assert.NilError(t, err)
	defer silent.Close()
	caller := ns.list[1-home]
	connected := make(chan struct{})
	go func() {
		for {
			if _, err := silent.Accept(); err != nil {
				return
			}
			connected <- struct{}{}
		}
	}()
	for range 50 {
		p := caller.limiter.Acquire("r", "w", 1, time.Second)
		select {
		case <-connected:
		case <-p.Decided():
			t.Fatal("the permit was not requested from the home")
		}
		p.Release()
	}
	caller.limiter.mu.Lock()
	defer caller.limiter.mu.Unlock()
	assert.Equal(t, caller.limiter.client.Suspects(), 0)
}

// TestEntryRunsItsShareWithoutHomes stops the home and the deputy: the entry may run only
// its even share of the bound, unchecked.
func TestEntryRunsItsShareWithoutHomes(t *testing.T) {
	const bound = 6
	ns := newNodes(t, 4)
	home, deputy := ns.homesOf("w")
	caller := ns.list[0]
	for i := range ns.list {
		if i != home && i != deputy {
			caller = ns.list[i]
		}
	}
	ns.list[home].stop()
	ns.list[deputy].stop()
	first := caller.acquire("w", bound)
	assert.Assert(t, first.Refusal() == nil && first.unchecked)
	assert.Assert(t, caller.acquire("w", bound).Refusal() == nil)
	assert.Equal(t, caller.acquire("w", bound).Refusal().Detail, reasonShareInUse)
	first.Release()
	assert.Assert(t, caller.acquire("w", bound).Refusal() == nil)
}

// BenchmarkPermit measures acquiring and releasing a permit over TCP: the bytes per call
// above TCP in both directions, and the time of both ends together.
func BenchmarkPermit(b *testing.B) {
	ns := newNodes(b, 2)
	home, _ := ns.homesOf("pensionistas")
	caller := ns.list[1-home]
	to := share.Home{Name: ns.hosts[home].Name, Addr: ns.hosts[home].Addr}
	permit := share.PermitID(0)
	for b.Loop() {
		permit++
		_, _, err := caller.limiter.acquireFrom(context.Background(), to, share.AcquireRequest{
			Workspace: "pensionistas", Bound: 8, Permit: permit, TTL: 4 * time.Second,
		})
		assert.NilError(b, err)
		caller.limiter.releaseAt(to, "pensionistas", 0, permit)
	}
	traffic := caller.dialer.Traffic()
	b.ReportMetric(float64(traffic.Read()+traffic.Written())/float64(2*b.N), "B/call")
}
