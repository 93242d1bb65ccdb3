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

// store is an object API in memory whose next writes can fail in a chosen way.
type store struct {
	*memory.Store
	// lose makes so many writes take effect and lose their answers.
	lose int
	down bool
	// calls counts reads and writes.
	calls int
}

// errDown is what every call returns while the store is down.
var errDown = fault.New(fault.Unavailable, "test.store", "", "down")

// Get implements objects.API.
func (s *store) Get(ctx context.Context, key string) (objects.Object, error) {
	s.calls++
	if s.down {
		return objects.Object{}, errDown
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
	if err == nil && s.lose > 0 {
		s.lose--
		return 0, fault.New(fault.Ambiguous, "test.store", key, "the answer was lost")
	}
	return written, err
}

// side is a real gate behind a real drpc listener.
type side struct {
	wirepb.DRPCSideUnimplementedServer
	addr        string
	incarnation core.Incarnation
	mu          sync.Mutex
	gate        *gate.Gate
	now         time.Duration
	output      [][]byte
}

// newSide serves a side until the test ends.
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

// restart replaces the gate by one that knows nothing.
func (s *side) restart(incarnation core.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = incarnation
	s.gate = gate.New(gate.Options{Upstream: "u", Incarnation: incarnation, Capacity: 1})
	s.gate.ObserveReport(s.now, gate.Report{})
}

// target returns the side as a router chooses it now.
func (s *side) target() Target {
	return Target{Upstream: "u", Addr: s.addr, Incarnation: s.incarnation, SideClockUS: uint64(s.now.Microseconds())}
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

// keyOf returns the attempt that a message names.
func keyOf(key *wirepb.AttemptKey) core.AttemptKey {
	return core.AttemptKey{
		Request: core.RequestID(key.RequestId),
		Stage:   key.Stage,
		Number:  key.Attempt,
		Side:    core.Incarnation(key.SideIncarnation),
	}
}

// dispatch hands an owned attempt to the gate and returns its verdict.
func (s *side) dispatch(c Claim) gate.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := c.ClaimKey()
	decision := s.gate.Submit(s.now, gate.Ask{
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

// finish ends the running attempt of a claim with an output.
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

// bench is a keeper with a store and one side.
type bench struct {
	store  *store
	side   *side
	keeper *Keeper
	log    *bytes.Buffer
	next   int
}

// newBench returns a keeper with short waits.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{store: &store{Store: memory.New()}, side: newSide(t, 7), log: &bytes.Buffer{}}
	logger, err := observe.NewLogger(b.log, "entry-1", "info")
	assert.NilError(t, err)
	dialer := link.NewDialer(fleetKey)
	t.Cleanup(func() { _ = dialer.Close() })
	rules := claim.DefaultRules()
	rules.Patience = time.Millisecond
	rules.MaxResultBytes = 10
	b.keeper = New(Options{Objects: b.store, Resolver: SideResolver{Dialer: dialer}, Log: logger, Rules: rules})
	return b
}

// ask returns an ask of a new request for a key.
func (b *bench) ask(key string) Ask {
	b.next++
	return Ask{
		Workspace: "w", Pipeline: "p", Key: key, BodyDigest: claim.DigestBody([]byte("body")),
		Request: core.RequestID("r" + string(rune('0'+b.next))), Stage: "s", Attempt: 1, Target: b.side.target(),
	}
}

// open opens a claim for a new request, which must come to a status.
func (b *bench) open(t *testing.T, key string, want Status) Held {
	t.Helper()
	held, err := b.keeper.Open(context.Background(), b.ask(key))
	assert.NilError(t, err)
	assert.Equal(t, held.Status.String(), want.String(), held.Reason)
	return held
}
