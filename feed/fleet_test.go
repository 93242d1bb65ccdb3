package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/core/relay"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// fastTiming has short intervals to keep the tests fast. No test asserts a time.
var fastTiming = Timing{
	HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 200 * time.Millisecond, HostsPollInterval: 10 * time.Millisecond,
	MinBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
	MinAvoidance: 50 * time.Millisecond, MaxAvoidance: 200 * time.Millisecond, CatchUpTimeout: 10 * time.Millisecond,
}

// calmTiming is fastTiming for tests in which no provider falls silent: its silence
// timeout is so long that a process slowed by a busy machine is not taken for a silent one.
var calmTiming = func() Timing {
	calm := fastTiming
	calm.SilenceTimeout = waitTimeout
	return calm
}()

// waitTimeout is how long a test waits for a condition.
const waitTimeout = time.Minute

// testKey is the shared key of the test fleet.
const testKey = "test-key"

// testFleet is a store, a host list and processes on loopback.
type testFleet struct {
	t     testing.TB
	store *fakeStore
	hosts *fakeHosts
	nodes map[string]*node
	// timing is that of the processes that the fleet starts.
	timing Timing
	// snapshot is the configuration in force.
	snapshot *config.Snapshot
}

// node is one process with its feed and its server.
type node struct {
	wirepb.DRPCEntryUnimplementedServer
	host   fleet.Host
	feed   *Feed
	server *link.Server
	stop   context.CancelFunc
	done   chan struct{}
	frozen *gate
	// handler, if set, serves Subscribe instead of the feed.
	handler func(*wirepb.SubscribeRequest, wirepb.DRPCEntry_SubscribeStream) error
}

// newTestFleet returns a fleet with an empty configuration and no processes.
func newTestFleet(t testing.TB, timing Timing) *testFleet {
	f := &testFleet{t: t, store: newFakeStore(), hosts: &fakeHosts{}, nodes: map[string]*node{}, timing: timing, snapshot: config.Empty()}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.kill()
		}
	})
	return f
}

// change applies c to the configuration in force and stores the result.
func (f *testFleet) change(c config.Change) core.Revision {
	next := f.snapshot.Change(c, f.snapshot.Revision()+1, fmt.Sprint("change-", f.snapshot.Revision()+1))
	for _, part := range next.PartsSince(f.snapshot) {
		f.store.put(config.PartKey(part.Hash), part.Data)
	}
	head := next.Head("", "", "")
	f.store.put(head.Key(), head.Encode())
	f.store.put(config.HeadKey, head.Encode())
	f.snapshot = next
	return next.Revision()
}

// workspaces returns a change that puts n workspaces.
func workspaces(n, weight int) config.Change {
	var c config.Change
	for i := range n {
		c.PutWorkspaces = append(c.PutWorkspaces, config.Workspace{Name: fmt.Sprint("w", i), Weight: weight, Pipelines: []string{"p"}})
	}
	return c
}

// place stores a plan with the sequence as the desired placement.
func (f *testFleet) place(sequence uint64) {
	data, err := json.Marshal(placement.Plan{Sequence: sequence})
	assert.NilError(f.t, err)
	f.store.put(planKey, data)
}

// addHost adds a host to the host list.
func (f *testFleet) addHost(host fleet.Host) {
	list, _ := f.hosts.List(context.Background())
	f.hosts.set(append(slices.Clone(list.Hosts), host))
}

// removeHost removes a host from the host list.
func (f *testFleet) removeHost(name string) {
	list, _ := f.hosts.List(context.Background())
	f.hosts.set(slices.DeleteFunc(slices.Clone(list.Hosts), func(h fleet.Host) bool { return h.Name == name }))
}

// listen opens a port on loopback.
func (f *testFleet) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	return listener
}

// prepareProcess adds a process to the host list and opens its port. The returned
// function starts the process.
func (f *testFleet) prepareProcess(name, zone string, role fleet.Role) func() *node {
	listener := f.listen()
	host := fleet.Host{Name: name, Role: role, Zone: zone, Region: "r", Addr: listener.Addr().String()}
	f.addHost(host)
	return func() *node { return f.run(host, listener) }
}

// prepareEntry adds an entry to the host list and opens its port.
func (f *testFleet) prepareEntry(name, zone string) net.Listener {
	listener := f.listen()
	f.addHost(fleet.Host{Name: name, Role: fleet.RoleEntry, Zone: zone, Region: "r", Addr: listener.Addr().String()})
	return listener
}

// serve serves a node without running a feed.
func (f *testFleet) serve(n *node, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	server := link.NewServer(testKey)
	assert.NilError(f.t, wirepb.DRPCRegisterEntry(server.Mux(), n))
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, listener) }()
	f.t.Cleanup(func() { cancel(); <-done })
}

// start adds a process to the host list and starts it.
func (f *testFleet) start(name, zone string, role fleet.Role) *node {
	return f.prepareProcess(name, zone, role)()
}

// run runs a process on its port.
func (f *testFleet) run(host fleet.Host, listener net.Listener) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{host: host, stop: cancel, done: make(chan struct{}), frozen: newGate()}
	dialer := link.NewDialer(testKey)
	n.feed = New(Options{Name: host.Name, Zone: host.Zone, Region: host.Region, Role: host.Role, RelaysPerZone: 1,
		Objects: f.store, Hosts: f.hosts, Dialer: dialer, Timing: f.timing, Seed: uint64(len(f.nodes))})
	server := link.NewServer(testKey)
	n.server = server
	assert.NilError(f.t, wirepb.DRPCRegisterEntry(server.Mux(), n))
	go func() {
		defer close(n.done)
		defer func() { _ = dialer.Close() }()
		served := make(chan struct{})
		go func() { defer close(served); _ = server.Serve(ctx, listener) }()
		_ = n.feed.Run(ctx)
		<-served
	}()
	f.nodes[host.Name] = n
	return n
}

// kill ends a process without notice.
func (n *node) kill() {
	n.frozen.open()
	n.stop()
	<-n.done
}

// Subscribe implements wirepb.DRPCEntryServer.
func (n *node) Subscribe(req *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
	if n.handler != nil {
		return n.handler(req, stream)
	}
	return n.feed.Subscribe(req, &gatedStream{stream, n.frozen})
}

// Lookup implements wirepb.DRPCEntryServer.
func (n *node) Lookup(context.Context, *wirepb.LookupRequest) (*wirepb.LookupReply, error) {
	return &wirepb.LookupReply{}, nil
}

// gate blocks messages while it is closed.
type gate struct{ closed chan chan struct{} }

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{closed: make(chan chan struct{}, 1)}
	opened := make(chan struct{})
	close(opened)
	g.closed <- opened
	return g
}

// close blocks messages from now on.
func (g *gate) close() {
	<-g.closed
	g.closed <- make(chan struct{})
}

// open lets blocked messages pass.
func (g *gate) open() {
	state := <-g.closed
	select {
	case <-state:
	default:
		close(state)
	}
	g.closed <- state
}

// pass waits until the gate is open.
func (g *gate) pass() {
	state := <-g.closed
	g.closed <- state
	<-state
}

// gatedStream is the stream of a process that can be frozen.
type gatedStream struct {
	wirepb.DRPCEntry_SubscribeStream
	frozen *gate
}

// Send implements wirepb.DRPCEntry_SubscribeStream.
func (s *gatedStream) Send(update *wirepb.FleetUpdate) error {
	s.frozen.pass()
	return s.DRPCEntry_SubscribeStream.Send(update)
}

// await waits until the condition holds.
func (f *testFleet) await(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s: %s", what, f.describe())
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(2*time.Millisecond))
}

// describe returns the stats of each process.
func (f *testFleet) describe() string {
	text := ""
	for name, n := range f.nodes {
		text += fmt.Sprintf("%s %+v; ", name, n.feed.Stats())
	}
	return text
}

// hasRevision reports whether the process has published a state of at least the revision.
func (n *node) hasRevision(revision core.Revision) bool {
	state := n.feed.State()
	return state != nil && state.Revision >= revision
}

// awaitRevision waits until all of the processes have published the revision.
func (f *testFleet) awaitRevision(revision core.Revision, nodes ...*node) {
	f.t.Helper()
	f.await(fmt.Sprint("revision ", revision), func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return !n.hasRevision(revision) })
	})
}

// startFleet returns a fleet of six entries in two zones and four sidecars, all on
// revision 1.
func startFleet(t *testing.T, timing Timing) (*testFleet, []*node) {
	f := newTestFleet(t, timing)
	f.change(workspaces(50, 1))
	var runs []func() *node
	for i := range 6 {
		runs = append(runs, f.prepareProcess(fmt.Sprint("e", i), fmt.Sprint("z", i%2), fleet.RoleEntry))
	}
	for i := range 4 {
		runs = append(runs, f.prepareProcess(fmt.Sprint("s", i), fmt.Sprint("z", i%2), fleet.RoleUpstream))
	}
	var nodes []*node
	for _, run := range runs {
		nodes = append(nodes, run())
	}
	f.awaitRevision(1, nodes...)
	return f, nodes
}

// relays divides the processes into relays and others.
func (f *testFleet) relays(nodes []*node) (relays, others []*node) {
	list, _ := f.hosts.List(context.Background())
	for _, n := range nodes {
		if relay.IsRelay(n.host.Name, list.Hosts, 1) {
			relays = append(relays, n)
		} else {
			others = append(others, n)
		}
	}
	return relays, others
}
