package claims

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/core/fault"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/platform/objects"
	"acaciawinch/platform/objects/memory"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// fleetKey is the shared key of the processes under test.
const fleetKey = "key"

// store is an object API in memory whose calls can be made to fail.
type store struct {
	*memory.Store
	// loseResponses is the number of next writes that take effect but whose responses are
	// lost.
	loseResponses int
	down          bool
	// calls counts the reads and writes.
	calls int
	// afterRead, if set, is called after each read.
	afterRead func()
}

// errDown is what every call returns while the store is down.
var errDown = fault.New(fault.Unavailable, "test.store", "", "down")

// Get implements objects.API.
func (s *store) Get(ctx context.Context, key string) (objects.Object, error) {
	s.calls++
	if s.down {
		return objects.Object{}, errDown
	}
	if s.afterRead != nil {
		defer s.afterRead()
	}
	return s.Store.Get(ctx, key)
}

// Create implements objects.API.
func (s *store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, value, 0)
}

// Update implements objects.API.
func (s *store) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	s.calls++
	if s.down {
		return 0, errDown
	}
	written, err := s.Store.Update(ctx, key, value, version)
	if err == nil && s.loseResponses > 0 {
		s.loseResponses--
		return 0, fault.New(fault.Ambiguous, "test.store", key, "the response was lost")
	}
	return written, err
}

// side is a sidecar that consists of a real gate behind a real DRPC listener.
type side struct {
	wirepb.DRPCSideUnimplementedServer
	addr        string
	incarnation core.Incarnation
	mu          sync.Mutex
	gate        *gate.Gate
	now         time.Duration
	output      [][]byte
}

// newSide serves a sidecar until the test ends.
func newSide(t *testing.T, incarnation core.Incarnation) *side {
	t.Helper()
	s := &side{now: time.Second}
	s.restart(incarnation)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = listener.Addr().String()
	server := link.NewServer(fleetKey)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), s))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return s
}

// restart replaces the gate by a new one without state, as a restart of the process
// does.
func (s *side) restart(incarnation core.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
	s.gate = gate.New(gate.Options{Upstream: "u", Incarnation: incarnation, Capacity: 1})
	s.gate.ObserveReport(s.now, gate.Report{})
}

// target returns the sidecar as the target that a router would choose now.
func (s *side) target() Target {
	return Target{Upstream: "u", Addr: s.addr, Incarnation: s.incarnation, SidecarClockUS: uint64(s.now.Microseconds())}
}

// Resolve implements wirepb.DRPCSideServer.
func (s *side) Resolve(_ context.Context, req *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := gate.Ticket{Nonce: req.Claim.Nonce, Clock: time.Duration(req.Claim.SideClockUs) * time.Microsecond}
	state, detail := s.gate.Resolve(s.now, keyOf(req.Key), ticket)
	reply := &wirepb.ResolveReply{Incarnation: uint64(s.incarnation), Detail: detail}
	switch state {
	case gate.StateDone:
		reply.State = wirepb.ResolveState_RESOLVE_DONE
		reply.Chunks = s.output
	case gate.StateRunning:
		reply.State = wirepb.ResolveState_RESOLVE_RUNNING
	case gate.StateNotRun:
		reply.State = wirepb.ResolveState_RESOLVE_NOT_RUN
	case gate.StateFailed:
		reply.State = wirepb.ResolveState_RESOLVE_FAILED
	default:
		reply.State = wirepb.ResolveState_RESOLVE_GONE
	}
	return reply, nil
}

// keyOf converts the attempt key of a message.
func keyOf(key *wirepb.AttemptKey) core.AttemptKey {
	return core.AttemptKey{
		Request: core.RequestID(key.RequestId),
		Stage:   key.Stage,
		Number:  key.Attempt,
		Side:    core.Incarnation(key.SideIncarnation),
	}
}

// dispatch submits an owned attempt to the gate and returns the gate's verdict.
func (s *side) dispatch(c Claim) gate.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := c.ClaimKey()
	decision := s.gate.Submit(s.now, gate.Attempt{
		Key:       keyOf(c.AttemptKey()),
		Workspace: "w",
		Ticket:    &gate.Ticket{Nonce: key.Nonce, Clock: time.Duration(key.SideClockUs) * time.Microsecond},
		Remaining: time.Hour,
		Weight:    1,
		Cost:      1,
	})
	s.gate.Advance(s.now)
	return decision.Verdict
}

// finish completes the running attempt of a claim with an output.
func (s *side) finish(c Claim, output ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.output = nil
	for _, chunk := range output {
		s.output = append(s.output, []byte(chunk))
	}
	s.gate.Finish(s.now, keyOf(c.AttemptKey()), gate.Ending{Kind: gate.EndDone, Cost: 1, Bytes: 1})
	s.gate.Advance(s.now)
}

// fixture is a keeper with a store and one sidecar.
type fixture struct {
	store  *store
	side   *side
	keeper *Keeper
	log    *bytes.Buffer
	next   int
}

// newFixture returns a fixture whose keeper waits only briefly.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: &store{Store: memory.New()}, side: newSide(t, 7), log: &bytes.Buffer{}}
	logger, err := observe.NewLogger(f.log, "entry-1", "info")
	assert.NilError(t, err)
	dialer := link.NewDialer(fleetKey)
	t.Cleanup(func() { _ = dialer.Close() })
	rules := claim.DefaultRules()
	rules.MinWait = time.Millisecond
	rules.MaxResultBytes = 10
	f.keeper = New(Options{Objects: f.store, Resolver: SideResolver{Dialer: dialer}, Log: logger, Rules: rules})
	return f
}

// request returns the OpenRequest of a new request with a key.
func (f *fixture) request(key string) OpenRequest {
	f.next++
	return OpenRequest{
		Workspace: "w", Pipeline: "p", Key: key, BodyDigest: claim.DigestBody([]byte("body")),
		Request: core.RequestID("r" + string(rune('0'+f.next))), Stage: "s", Attempt: 1, Target: f.side.target(),
	}
}

// open opens a claim for a new request and checks the status of the verdict.
func (f *fixture) open(t *testing.T, key string, want Status) State {
	t.Helper()
	state, err := f.keeper.Open(context.Background(), f.request(key))
	assert.NilError(t, err)
	assert.Equal(t, state.Status.String(), want.String(), state.Reason)
	return state
}
