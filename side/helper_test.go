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

// testIncarnation is the side's own in tests.
const testIncarnation core.Incarnation = 7

// waitLimit bounds the wait for an event that must come.
const waitLimit = 10 * time.Second

// fakeCall is one call at the fake upstream, steered by the test.
type fakeCall struct {
	call upstream.Call
	// chunks are passed on as they come; a closed channel ends the output.
	chunks chan string
	// end is the error of a call that ends without a whole output.
	end chan error
	// cancelled is closed when the side cancels the call.
	cancelled chan struct{}
}

// fakeUpstream implements upstream.Client.
type fakeUpstream struct {
	// calls passes on each call as it arrives.
	calls chan *fakeCall

	mu     sync.Mutex
	status upstream.Status
	silent bool
	// missing is how many reports are missed before the first is given.
	missing  int
	orders   []upstream.Order
	orderErr []error
	// loads makes a load order show in the status.
	loads bool
}

// errSilent is the fake's error without a report.
var errSilent = errors.New("silent")

// newFakeUpstream returns an upstream that runs two calls at once.
func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{
		calls:  make(chan *fakeCall, 100),
		status: upstream.Status{Capacity: 2},
		loads:  true,
	}
}

// Run implements upstream.Client.
func (f *fakeUpstream) Run(ctx context.Context, call upstream.Call, emit func([]byte) error) (upstream.Result, error) {
	c := &fakeCall{call: call, chunks: make(chan string), end: make(chan error), cancelled: make(chan struct{})}
	f.calls <- c
	count := uint64(0)
	for {
		select {
		case <-ctx.Done():
			close(c.cancelled)
			return upstream.Result{}, ctx.Err()
		case err := <-c.end:
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
	if f.missing > 0 {
		f.missing--
		return upstream.Status{}, errSilent
	}
	if f.silent {
		return upstream.Status{}, errSilent
	}
	return f.status, nil
}

// Order implements upstream.Client. It fails with the errors of orderErr first.
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

// set changes what the fake reports.
func (f *fakeUpstream) set(change func(*fakeUpstream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// given returns the orders taken so far.
func (f *fakeUpstream) given() []upstream.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]upstream.Order(nil), f.orders...)
}

// readyTimeout bounds the wait for a side, so that one that never gets ready is
// a failed test and no hanging one.
const readyTimeout = 20 * time.Second

// clock is a side's clock that stands still unless the test moves it, so that
// nothing lapses because the machine is busy.
type clock struct{ since atomic.Int64 }

// now returns the time since the side's start.
func (c *clock) now() time.Duration { return time.Duration(c.since.Load()) }

// rig is a side's drpc service before a fake upstream, and a client of it.
type rig struct {
	t      *testing.T
	fake   *fakeUpstream
	keeper *keeper
	clock  *clock
	dialer *link.Dialer
	addr   string
	next   int
}

// newRig serves a side with a fake upstream until the test ends.
func newRig(t *testing.T, options gate.Options) *rig {
	return newRigBefore(t, options, newFakeUpstream())
}

// newRigBefore serves a side before the fake until the test ends.
func newRigBefore(t *testing.T, options gate.Options, fake *fakeUpstream) *rig {
	logger, err := observe.NewLogger(io.Discard, "side", "info")
	assert.NilError(t, err)
	clock := &clock{}
	options.Incarnation = testIncarnation
	k := newKeeper(keeperOptions{
		upstream:       "u1",
		engine:         true,
		gate:           options,
		maxOutputBytes: 1 << 10,
		client:         fake,
		logger:         logger,
		clock:          clock.now,
	})
	r := &rig{t: t, fake: fake, keeper: k, clock: clock, dialer: link.NewDialer("key")}
	r.serve()
	return r
}

// serve starts the service and the keeper's loops.
func (r *rig) serve() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.addr = listener.Addr().String()
	rpc := link.NewServer("key")
	assert.NilError(r.t, wirepb.DRPCRegisterSide(rpc.Mux(), &server{
		keeper:        r.keeper,
		incarnation:   testIncarnation,
		maxInputBytes: 1 << 10,
		revision:      func() core.Revision { return 3 },
		noteRevision:  func(core.Revision) {},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	ready := make(chan struct{})
	go func() { _ = rpc.Serve(ctx, listener) }()
	go func() { _ = r.keeper.run(ctx) }()
	go func() { _ = r.keeper.watchReports(ctx, func() { close(ready) }) }()
	select {
	case <-ready:
	case <-time.After(readyTimeout):
		r.t.Fatal("the side never judged its upstream")
	}
}

// advance moves the side's clock and lets the gate see it.
func (r *rig) advance(d time.Duration) {
	r.clock.since.Add(int64(d))
	r.keeper.do(func(time.Duration) {})
}

// client returns a client over a connection of its own.
func (r *rig) client() wirepb.DRPCSideClient {
	conn := r.dialer.Conn(context.Background(), r.addr)
	r.t.Cleanup(func() { _ = conn.Close() })
	return wirepb.NewDRPCSideClient(conn)
}

// request returns an idempotent Run message of a new attempt.
func (r *rig) request() *wirepb.RunRequest {
	r.next++
	return &wirepb.RunRequest{
		Key: &wirepb.AttemptKey{
			RequestId:       fmt.Sprintf("entry-%d", r.next),
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

// claimed returns a claimed Run message whose ticket is from now.
func (r *rig) claimed() *wirepb.RunRequest {
	request := r.request()
	reply, err := r.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(r.t, err)
	request.Claim = &wirepb.ClaimKey{Claim: "claims/1", Nonce: uint64(r.next), SideClockUs: reply.GetSideClockUs()}
	return request
}

// stream is the receiving end of Run and Attach.
type stream interface {
	Recv() (*wirepb.RunEvent, error)
}

// run sends a Run message. The stream breaks when ctx ends.
func (r *rig) run(ctx context.Context, request *wirepb.RunRequest) stream {
	r.t.Helper()
	s, err := r.client().Run(ctx, request)
	assert.NilError(r.t, err)
	return s
}

// attach follows an attempt from a chunk on.
func (r *rig) attach(key *wirepb.AttemptKey, from uint64) stream {
	r.t.Helper()
	s, err := r.client().Attach(context.Background(), &wirepb.AttachRequest{Key: key, FromChunk: from})
	assert.NilError(r.t, err)
	return s
}

// call returns the next call that reaches the fake upstream.
func (r *rig) call() *fakeCall {
	r.t.Helper()
	select {
	case c := <-r.fake.calls:
		return c
	case <-time.After(waitLimit):
		r.t.Fatal("no call reached the upstream")
		return nil
	}
}

// noCall checks that no call has reached the fake upstream.
func (r *rig) noCall() {
	r.t.Helper()
	assert.Equal(r.t, len(r.fake.calls), 0)
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
func (r *rig) read(s stream) output {
	r.t.Helper()
	var out output
	for {
		event, err := s.Recv()
		assert.NilError(r.t, err)
		if out.add(event) {
			return out
		}
	}
}

// add adds one event and tells whether it is the closing one.
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
		return poll.Continue("%s", what)
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
