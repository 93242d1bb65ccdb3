package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/budget"
	"acaciawinch/core/claim"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/latency"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
	"acaciawinch/entry/trace"
	"acaciawinch/observe"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

const testKey = "test-key"

// fakeSide is a sidecar whose responses a test can script with the on functions.
// Without onRun every run succeeds.
type fakeSide struct {
	wirepb.DRPCSideUnimplementedServer
	name        string
	addr        string
	incarnation uint64
	stop        context.CancelFunc
	frozen      chan struct{}

	onRun     func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error
	onAttach  func(*wirepb.AttachRequest, wirepb.DRPCSide_AttachStream) error
	onResolve func(*wirepb.ResolveRequest) *wirepb.ResolveReply

	runs     chan *wirepb.RunRequest
	attaches chan *wirepb.AttachRequest
	cancels  chan *wirepb.CancelRequest
	acks     chan *wirepb.AcknowledgeRequest
}

// startSide serves a fake sidecar on loopback until the test ends.
func startSide(t *testing.T, name string) *fakeSide {
	t.Helper()
	s := &fakeSide{
		name: name, incarnation: xxhash.Sum64String(name), frozen: make(chan struct{}),
		runs: make(chan *wirepb.RunRequest, 16), attaches: make(chan *wirepb.AttachRequest, 16),
		cancels: make(chan *wirepb.CancelRequest, 16), acks: make(chan *wirepb.AcknowledgeRequest, 16),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = listener.Addr().String()
	server := link.NewServer(testKey)
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), s))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	s.stop = func() { stop(); <-done }
	t.Cleanup(s.stop)
	return s
}

// block simulates a frozen process: it blocks until the call's context ends.
func block(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeSide) Probe(ctx context.Context, _ *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	select {
	case <-s.frozen:
		return nil, block(ctx)
	default:
		return &wirepb.ProbeReply{Incarnation: s.incarnation, Revision: 7, Load: &wirepb.Load{}}, nil
	}
}

func (s *fakeSide) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	s.runs <- request
	if s.onRun != nil {
		return s.onRun(request, stream)
	}
	return sendOutput(stream, request.GetKey(), len(request.GetResume()), outputOf(request.GetKey().GetStage(), request.GetInput()))
}

func (s *fakeSide) Attach(request *wirepb.AttachRequest, stream wirepb.DRPCSide_AttachStream) error {
	s.attaches <- request
	return s.onAttach(request, stream)
}

func (s *fakeSide) Cancel(_ context.Context, request *wirepb.CancelRequest) (*wirepb.CancelReply, error) {
	s.cancels <- request
	return &wirepb.CancelReply{Started: true}, nil
}

func (s *fakeSide) Acknowledge(_ context.Context, request *wirepb.AcknowledgeRequest) (*wirepb.AcknowledgeReply, error) {
	s.acks <- request
	return &wirepb.AcknowledgeReply{}, nil
}

func (s *fakeSide) Resolve(_ context.Context, request *wirepb.ResolveRequest) (*wirepb.ResolveReply, error) {
	reply := s.onResolve(request)
	reply.Incarnation = s.incarnation
	return reply, nil
}

// sender is the sending end of a stream of events.
type sender interface{ Send(*wirepb.RunEvent) error }

func startedEvent(key *wirepb.AttemptKey) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{}}}
}

func chunkEvent(key *wirepb.AttemptKey, index int, data string) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: uint64(index), Data: []byte(data)}}}
}

func doneEvent(key *wirepb.AttemptKey, chunks []string) *wirepb.RunEvent {
	digest := xxhash.New()
	for _, c := range chunks {
		_, _ = digest.WriteString(c)
	}
	return &wirepb.RunEvent{Key: key, Event: &wirepb.RunEvent_Done{Done: &wirepb.Done{Chunks: uint64(len(chunks)), Digest: digest.Sum64()}}}
}

// outputOf returns the three chunks that a stage outputs for an input.
func outputOf(stage string, input []byte) []string {
	sum := xxhash.Sum64(input)
	return []string{fmt.Sprintf("%s.%x.0 ", stage, sum), fmt.Sprintf("%s.%x.1 ", stage, sum), fmt.Sprintf("%s.%x.2 ", stage, sum)}
}

// sendOutput sends a started event, the chunks after the first skip ones, and a done
// event.
func sendOutput(stream sender, key *wirepb.AttemptKey, skip int, chunks []string) error {
	events := []*wirepb.RunEvent{startedEvent(key)}
	for i, c := range chunks[skip:] {
		events = append(events, chunkEvent(key, i, c))
	}
	return sendAll(stream, append(events, doneEvent(key, chunks[skip:]))...)
}

// sendAll sends events in order.
func sendAll(stream sender, events ...*wirepb.RunEvent) error {
	for _, e := range events {
		if err := stream.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// fakeRouter chooses the first sidecar of a stage that is not excluded.
type fakeRouter struct {
	mu      sync.Mutex
	sides   map[string][]*fakeSide
	results []route.Result
	chosen  int
}

func (r *fakeRouter) Choose(_ context.Context, need route.Need) (route.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sides[need.Stage] {
		excluded := false
		for _, e := range need.Exclude {
			excluded = excluded || string(e) == s.name
		}
		if !excluded {
			r.chosen++
			return route.Choice{Upstream: core.UpstreamID(s.name), Addr: s.addr, Incarnation: core.Incarnation(s.incarnation)}, nil
		}
	}
	return route.Choice{}, fault.New(fault.Refused, "route.choose", need.Service, "no upstream is left")
}

func (r *fakeRouter) ObserveLoad(core.UpstreamID, *wirepb.Load) {}

func (r *fakeRouter) ObserveResult(result route.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *fakeRouter) Estimate(string) latency.Estimate { return latency.Estimate{} }

// fakeClaims grants every claim and counts the calls. If verdict is set, Open returns
// it instead.
type fakeClaims struct {
	mu         sync.Mutex
	verdict    *claims.State
	opened     int
	reassigned int
	finished   [][]byte
	finishes   chan struct{}
}

func (c *fakeClaims) Open(_ context.Context, request claims.OpenRequest) (claims.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	if c.verdict != nil {
		return *c.verdict, nil
	}
	return claims.State{Status: claims.Owned, Claim: claims.Claim{Version: 1, Record: claim.Record{
		Request: request.Request, Attempt: request.Attempt, Nonce: 1, Target: request.Target,
		Identity: claim.Identity{Workspace: request.Workspace, Pipeline: request.Pipeline, Key: request.Key, Stage: request.Stage},
	}}}, nil
}

func (c *fakeClaims) Reassign(_ context.Context, owned claims.Claim, target claims.Target) (claims.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reassigned++
	owned.Record.Attempt++
	owned.Record.Nonce++
	owned.Record.Target = target
	return claims.State{Status: claims.Owned, Claim: owned}, nil
}

func (c *fakeClaims) Release(context.Context, claims.Claim) (claims.State, error) {
	return claims.State{Status: claims.NotRun}, nil
}

func (c *fakeClaims) Finish(_ context.Context, _ claims.Claim, chunks [][]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = chunks
	close(c.finishes)
	return nil
}

// harness is a Runner with its fakes.
type harness struct {
	t      *testing.T
	router *fakeRouter
	claims *fakeClaims
	runner *Runner
	traces *trace.Ring
	got    []string
}

// newHarness returns a Runner with the given sidecars, by stage.
func newHarness(t *testing.T, sides map[string][]*fakeSide) *harness {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "info")
	assert.NilError(t, err)
	dialer := link.NewDialer(testKey)
	h := &harness{t: t, router: &fakeRouter{sides: sides}, claims: &fakeClaims{finishes: make(chan struct{})}, traces: trace.NewRing(10)}
	h.runner = NewRunner(Options{
		Router:       h.router,
		Claims:       h.claims,
		Dialer:       dialer,
		Record:       Recorder{Logger: logger, Traces: h.traces, Scope: tally.NoopScope},
		Revision:     func() core.Revision { return 7 },
		NoteRevision: func(core.Revision, string) {},
		Retry:        budget.DefaultRetry,
		Hedge:        budget.DefaultHedge,
	})
	t.Cleanup(func() {
		h.runner.flows.Wait()
		_ = dialer.Close()
	})
	return h
}

// request returns a request whose pipeline has the given stages.
func (h *harness) request(stages ...config.Stage) Request {
	id := core.RequestID("e-1")
	h.traces.Begin(trace.Trace{RequestID: id})
	return Request{
		ID: id, Key: "k", Revision: 7, Deadline: 20 * time.Second, Body: []byte("{}"),
		Workspace: config.Workspace{Name: "w", Weight: 1}, Template: config.Template{Name: "p", Stages: stages},
	}
}

// run carries out a request and records the chunks that the caller receives.
func (h *harness) run(ctx context.Context, request Request) Result {
	return h.runner.Run(ctx, request, func(index uint64, data []byte) error {
		assert.Equal(h.t, index, uint64(len(h.got)))
		h.got = append(h.got, string(data))
		return nil
	})
}

// receive returns the next value of a channel and fails the test after 10 s.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for a value from the channel")
		panic("unreachable")
	}
}
