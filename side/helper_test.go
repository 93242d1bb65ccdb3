package side

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/core"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// testIncarnation is the sidecar's incarnation in tests.
const testIncarnation core.Incarnation = 7

// waitLimit bounds the wait for an expected event.
const waitLimit = 10 * time.Second

// fakeCall is one call at the fake upstream, controlled by the test.
type fakeCall struct {
	call upstream.Call
	// chunks are emitted as they arrive; closing the channel completes the output.
	chunks chan string
	// failure is the error of a call that ends without a complete output.
	failure chan error
	// cancelled is closed when the sidecar cancels the call.
	cancelled chan struct{}
}

// fakeUpstream implements upstream.Client.
type fakeUpstream struct {
	// calls receives each call as it arrives.
	calls chan *fakeCall

	mu     sync.Mutex
	status upstream.Status
	silent bool
	// missedReports is how many report requests fail before the first succeeds.
	missedReports int
	orders        []upstream.Order
	orderErr      []error
	// loads makes the status report a model once its load order was accepted.
	loads bool
}

// errSilent is the error of a report request that fails.
var errSilent = errors.New("silent")

// newFakeUpstream returns an upstream with a capacity of two concurrent calls.
func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{
		calls:  make(chan *fakeCall, 100),
		status: upstream.Status{Capacity: 2},
		loads:  true,
	}
}

// Run implements upstream.Client.
func (f *fakeUpstream) Run(ctx context.Context, call upstream.Call, emit func([]byte) error) (upstream.Result, error) {
	c := &fakeCall{call: call, chunks: make(chan string), failure: make(chan error), cancelled: make(chan struct{})}
	f.calls <- c
	count := uint64(0)
	for {
		select {
		case <-ctx.Done():
			close(c.cancelled)
			return upstream.Result{}, ctx.Err()
		case err := <-c.failure:
			return upstream.Result{}, err
		case chunk, more := <-c.chunks:
			if !more {
				return upstream.Result{Cost: count}, nil
			}
			count++
			if err := emit([]byte(chunk)); err != nil {
				return upstream.Result{}, err
			}
		}
	}
}

// Status implements upstream.Client.
func (f *fakeUpstream) Status(context.Context) (upstream.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missedReports > 0 {
		f.missedReports--
		return upstream.Status{}, errSilent
	}
	if f.silent {
		return upstream.Status{}, errSilent
	}
	return f.status, nil
}

// Order implements upstream.Client. It first returns the errors in orderErr, one a call.
func (f *fakeUpstream) Order(_ context.Context, order upstream.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.orderErr) > 0 {
		err := f.orderErr[0]
		f.orderErr = f.orderErr[1:]
		return err
	}
	f.orders = append(f.orders, order)
	name := order.Model + "@" + order.Version
	if order.Action == actionLoad && f.loads {
		f.status.Models = append(f.status.Models[:len(f.status.Models):len(f.status.Models)], name)
	}
	return nil
}

// CacheEvents implements upstream.Client.
func (f *fakeUpstream) CacheEvents(_ context.Context, cursor uint64) ([]upstream.CacheEvent, uint64, error) {
	return nil, cursor, nil
}

// set changes the fake under its mutex.
func (f *fakeUpstream) set(change func(*fakeUpstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// takenOrders returns the orders accepted so far.
func (f *fakeUpstream) takenOrders() []upstream.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]upstream.Order(nil), f.orders...)
}

// readyTimeout bounds the wait for a sidecar, so that one that never gets ready fails
// the test instead of blocking it.
const readyTimeout = 20 * time.Second

// fakeClock is a sidecar's clock that only the test advances, so that nothing expires
// because the machine is busy.
type fakeClock struct{ elapsed atomic.Int64 }

// now returns the time since the sidecar's start.
func (c *fakeClock) now() time.Duration { return time.Duration(c.elapsed.Load()) }

// harness is a sidecar's drpc service for a fake upstream, with a client of it.
type harness struct {
	t          *testing.T
	fake       *fakeUpstream
	dispatcher *dispatcher
	clock      *fakeClock
	dialer     *link.Dialer
	addr       string
	next       int
}

// newHarness serves a sidecar with a new fake upstream until the test ends.
func newHarness(t *testing.T, options gate.Options) *harness {
	return newHarnessWith(t, options, newFakeUpstream())
}

// newHarnessWith serves a sidecar for the given fake upstream until the test ends.
func newHarnessWith(t *testing.T, options gate.Options, fake *fakeUpstream) *harness {
	logger, err := observe.NewLogger(io.Discard, "side", "info")
	assert.NilError(t, err)
	clock := &fakeClock{}
	options.Incarnation = testIncarnation
	d := newDispatcher(dispatcherOptions{
		upstream:       "u1",
		engine:         true,
		gate:           options,
		maxOutputBytes: 1 << 10,
		client:         fake,
		logger:         logger,
		clock:          clock.now,
	})
	h := &harness{t: t, fake: fake, dispatcher: d, clock: clock, dialer: link.NewDialer("key")}
	h.serve()
	return h
}

// serve starts the service and the dispatcher's loops.
func (h *harness) serve() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.addr = listener.Addr().String()
	rpc := link.NewServer("key")
	assert.NilError(h.t, wirepb.DRPCRegisterSide(rpc.Mux(), &server{
		dispatcher:    h.dispatcher,
		incarnation:   testIncarnation,
		maxInputBytes: 1 << 10,
		revision:      func() core.Revision { return 3 },
		noteRevision:  func(core.Revision) {},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	ready := make(chan struct{})
	go func() { _ = rpc.Serve(ctx, listener) }()
	go func() { _ = h.dispatcher.run(ctx) }()
	go func() { _ = h.dispatcher.pollReports(ctx, func() { close(ready) }) }()
	select {
	case <-ready:
	case <-time.After(readyTimeout):
		h.t.Fatal("the side never learned whether its upstream responds")
	}
}

// advance moves the sidecar's clock and advances the gate.
func (h *harness) advance(d time.Duration) {
	h.clock.elapsed.Add(int64(d))
	h.dispatcher.do(func(time.Duration) {})
}

// client returns a client with a connection of its own.
func (h *harness) client() wirepb.DRPCSideClient {
	conn := h.dialer.Conn(context.Background(), h.addr)
	h.t.Cleanup(func() { _ = conn.Close() })
	return wirepb.NewDRPCSideClient(conn)
}

// request returns an idempotent Run message for a new attempt.
func (h *harness) request() *wirepb.RunRequest {
	h.next++
	return &wirepb.RunRequest{
		Key: &wirepb.AttemptKey{
			RequestId:       fmt.Sprintf("entry-%d", h.next),
			Stage:           "draft",
			Attempt:         1,
			SideIncarnation: uint64(testIncarnation),
		},
		Workspace:   "w",
		Weight:      1,
		RemainingMs: 60_000,
		MaxTokens:   3,
		Input:       []byte("in"),
	}
}

// claimed returns a claimed Run message whose ticket has the sidecar's current time.
func (h *harness) claimed() *wirepb.RunRequest {
	request := h.request()
	reply, err := h.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(h.t, err)
	request.Claim = &wirepb.ClaimKey{Claim: "claims/1", Nonce: uint64(h.next), SideClockUs: reply.GetSideClockUs()}
	return request
}

// stream is the receiving end of Run and Attach.
type stream interface {
	Recv() (*wirepb.RunEvent, error)
}

// run sends a Run message. The stream breaks when ctx ends.
func (h *harness) run(ctx context.Context, request *wirepb.RunRequest) stream {
	h.t.Helper()
	s, err := h.client().Run(ctx, request)
	assert.NilError(h.t, err)
	return s
}

// attach follows an attempt from the given chunk on.
func (h *harness) attach(key *wirepb.AttemptKey, from uint64) stream {
	h.t.Helper()
	s, err := h.client().Attach(context.Background(), &wirepb.AttachRequest{Key: key, FromChunk: from})
	assert.NilError(h.t, err)
	return s
}

// call waits for the next call at the fake upstream.
func (h *harness) call() *fakeCall {
	h.t.Helper()
	select {
	case c := <-h.fake.calls:
		return c
	case <-time.After(waitLimit):
		h.t.Fatal("no call reached the upstream")
		return nil
	}
}

// noCall checks that no further call has reached the fake upstream.
func (h *harness) noCall() {
	h.t.Helper()
	assert.Equal(h.t, len(h.fake.calls), 0)
}

// output is what one stream delivered.
type output struct {
	started bool
	chunks  []string
	first   uint64
	done    *wirepb.Done
	refused *wirepb.Refused
	failed  *wirepb.Failed
}

// read reads a stream to its closing event.
func (h *harness) read(s stream) output {
	h.t.Helper()
	var out output
	for {
		event, err := s.Recv()
		assert.NilError(h.t, err)
		if out.add(event) {
			return out
		}
	}
}

// add adds one event and reports whether it is the closing one.
func (o *output) add(event *wirepb.RunEvent) bool {
	switch e := event.GetEvent().(type) {
	case *wirepb.RunEvent_Started:
		o.started = true
	case *wirepb.RunEvent_Chunk:
		if len(o.chunks) == 0 {
			o.first = e.Chunk.GetIndex()
		}
		o.chunks = append(o.chunks, string(e.Chunk.GetData()))
	case *wirepb.RunEvent_Done:
		o.done = e.Done
	case *wirepb.RunEvent_Refused:
		o.refused = e.Refused
	case *wirepb.RunEvent_Failed:
		o.failed = e.Failed
	}
	return o.done != nil || o.refused != nil || o.failed != nil
}

// await waits until condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(2*time.Millisecond))
}

// awaitClosed waits until c is closed.
func awaitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitLimit):
		t.Fatal(what)
	}
}
