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

// node is an entry as far as permits go.
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

// nodes are entries that know each other.
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

// start starts one entry, for the first time or again with an empty ledger.
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

// homesOf returns the numbers of the home and the deputy of a workspace's only part.
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

// ask asks at an entry and waits for the verdict.
func (n *node) ask(workspace string, bound int) *Permit {
	p := n.limiter.Ask("r", workspace, bound, 20*time.Second)
	<-p.Decided()
	return p
}

// awaitOut waits until a home counts so many permits.
func (n *node) awaitOut(t testing.TB, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.limiter.mu.Lock()
		defer n.limiter.mu.Unlock()
		if got := n.limiter.ledger.Permits(); got != want {
			return poll.Continue("%d permits", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestOneEntryMayUseTheWholeBound takes all places through one entry, and gives
// one back.
func TestOneEntryMayUseTheWholeBound(t *testing.T) {
	const bound = 6
	ns := newNodes(t, 3)
	home, _ := ns.homesOf("w")
	asker := ns.list[(home+1)%3]
	var permits []*Permit
	for range bound {
		p := asker.ask("w", bound)
		assert.Assert(t, p.Refusal() == nil)
		permits = append(permits, p)
	}
	assert.Equal(t, asker.ask("w", bound).Refusal().Detail, reasonFull)
	assert.Assert(t, ns.list[home].ask("w", bound).Refusal() != nil)
	permits[0].Release()
	ns.list[home].awaitOut(t, bound-1)
	assert.Assert(t, asker.ask("w", bound).Refusal() == nil)
}

// TestAHomeThatComesBackCountsWhatRuns stops the home: the deputy holds the bound.
// Then the home is started again and is told what runs.
func TestAHomeThatComesBackCountsWhatRuns(t *testing.T) {
	const bound = 2
	ns := newNodes(t, 3)
	home, deputy := ns.homesOf("w")
	asker := ns.list[3-home-deputy]
	before := asker.ask("w", bound)
	ns.list[home].stop()
	for range bound {
		assert.Assert(t, asker.ask("w", bound).Refusal() == nil)
	}
	assert.Equal(t, asker.ask("w", bound).Refusal().Detail, reasonFull)
	ns.list[home] = ns.start(home)
	asker.limiter.asker = share.NewAsker() // the time of suspicion is over
	asker.limiter.move(context.Background())
	ns.list[home].awaitOut(t, bound)
	before.Release()
	assert.Assert(t, ns.list[home].ask("w", bound).Refusal() != nil)
}

// TestWithoutHomesAnEvenPartRuns stops all others.
func TestWithoutHomesAnEvenPartRuns(t *testing.T) {
	const bound = 6
	ns := newNodes(t, 4)
	home, deputy := ns.homesOf("w")
	asker := ns.list[0]
	for i := range ns.list {
		if i != home && i != deputy {
			asker = ns.list[i]
		}
	}
	ns.list[home].stop()
	ns.list[deputy].stop()
	first := asker.ask("w", bound)
	assert.Assert(t, first.Refusal() == nil && first.alone)
	assert.Assert(t, asker.ask("w", bound).Refusal() == nil)
	assert.Equal(t, asker.ask("w", bound).Refusal().Detail, reasonAlone)
	first.Release()
	assert.Assert(t, asker.ask("w", bound).Refusal() == nil)
}

// BenchmarkPermit measures a permit that is asked for and given back: bytes of each
// of the two calls above TCP, both directions, and the time of both ends together.
func BenchmarkPermit(b *testing.B) {
	ns := newNodes(b, 2)
	home, _ := ns.homesOf("pensionistas")
	asker := ns.list[1-home]
	to := share.Home{Name: ns.hosts[home].Name, Addr: ns.hosts[home].Addr}
	permit := share.PermitID(0)
	for b.Loop() {
		permit++
		_, _, err := asker.limiter.ask(context.Background(), to, share.Ask{
			Workspace: "pensionistas", Bound: 8, Permit: permit, Life: 4 * time.Second,
		})
		assert.NilError(b, err)
		asker.limiter.release(to, "pensionistas", 0, permit)
	}
	traffic := asker.dialer.Traffic()
	b.ReportMetric(float64(traffic.Read()+traffic.Written())/float64(2*b.N), "B/call")
}
