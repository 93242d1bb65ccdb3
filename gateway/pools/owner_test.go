package pools

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/stagecall"
)

// staticFleet is a Fleet that never changes.
type staticFleet struct {
	table     *routes.Table
	upstreams *routes.Upstreams
}

// Table implements Fleet.
func (k staticFleet) Table() *routes.Table { return k.table }

// Members implements Fleet.
func (k staticFleet) Members() []view.Member { return nil }

// Upstreams implements Fleet.
func (k staticFleet) Upstreams() *routes.Upstreams { return k.upstreams }

// RecordUpstreamReport implements Fleet.
func (k staticFleet) RecordUpstreamReport(view.UpstreamReport) {}

// stageWorker responds to stage calls from a script, one step a call; the last step is
// repeated.
type stageWorker struct {
	mu     sync.Mutex
	script []func(items []stagecall.Item) (int, []stagecall.Result)
	calls  [][]stagecall.Item
	// freed receives the handles of calls that free results; nil drops them.
	freed chan []string
}

// ServeHTTP implements http.Handler.
func (w *stageWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == stagecall.FreePath {
		w.handleFree(body)
		return
	}
	var request struct{ Items []stagecall.Item }
	if json.Unmarshal(body, &request) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.calls = append(w.calls, request.Items)
	step := w.script[0]
	if len(w.script) > 1 {
		w.script = w.script[1:]
	}
	w.mu.Unlock()
	status, results := step(request.Items)
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(struct {
		Items []stagecall.Result `json:"items"`
	}{results}) // the caller may be gone
}

// handleFree passes on the handles of a call that frees results.
func (w *stageWorker) handleFree(body []byte) {
	var request struct{ Handles []string }
	if w.freed != nil && json.Unmarshal(body, &request) == nil {
		w.freed <- request.Handles
	}
}

// succeed returns a result for each item.
func succeed(items []stagecall.Item) (int, []stagecall.Result) {
	results := make([]stagecall.Result, len(items))
	for i := range results {
		results[i] = stagecall.Result{Handle: "h/" + items[i].Request}
	}
	return http.StatusOK, results
}

// failItems fails all items with a reason.
func failItems(reason stagecall.Reason) func([]stagecall.Item) (int, []stagecall.Result) {
	return func(items []stagecall.Item) (int, []stagecall.Result) {
		results := make([]stagecall.Result, len(items))
		for i := range results {
			results[i].Reason = reason
		}
		return http.StatusOK, results
	}
}

// failCall fails the whole call.
func failCall([]stagecall.Item) (int, []stagecall.Result) { return http.StatusInternalServerError, nil }

// newOwner returns an owner with one worker that follows a script.
func newOwner(t *testing.T, script ...func([]stagecall.Item) (int, []stagecall.Result)) (*Owner, *stageWorker) {
	t.Helper()
	w := &stageWorker{script: script}
	return newOwnerOf(t, w), w
}

// newOwnerOf returns an owner with one worker, whose calls handler serves.
func newOwnerOf(t *testing.T, handler http.Handler) *Owner {
	t.Helper()
	return newOwnerAt(t, httptest.NewServer(handler))
}

// newOwnerAt returns an owner with one worker, whose calls a server that has been started serves.
func newOwnerAt(t *testing.T, server *httptest.Server) *Owner {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pool := &routes.Pool{Slots: 1, Batch: 4, CallTime: 10 * time.Millisecond, ItemTime: time.Millisecond, RoomBytes: 1 << 20, KeepTime: 4 * time.Second}
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	client := httpconn.New(httpconn.Codec{
		SetID:    func(http.Header, string) {},
		ReadInfo: func(int, http.Header) httpconn.ResponseInfo { return httpconn.ResponseInfo{} },
	}, nil)
	o := NewOwner(ctx, staticFleet{
		table:     routes.NewTable(1, routes.Limits{}, nil, []*routes.Service{{Name: "enc", Pool: pool}}, nil),
		upstreams: routes.NewUpstreams([]routes.Upstream{{ID: "w", Service: "enc", Address: strings.TrimPrefix(server.URL, "http://")}}),
	}, client, ratelimit.New(ratelimit.Options{Logger: logger, Scope: tally.NoopScope}), logger)
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, o.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
		server.Close()
	})
	return o
}

// task returns a task with one item.
func task(id string) Task {
	return Task{Part: Part{Service: "enc", Count: 1}, Request: id, Items: 1, Remaining: 20 * time.Second, Due: 10 * time.Second}
}

// submit submits a task and returns a channel that receives its result.
func submit(s *Session, number uint64, t Task, inputsRead func()) <-chan Result {
	results := make(chan Result, 1)
	s.Submit(number, t, Notify{InputsRead: inputsRead, Done: func(r Result) { results <- r }})
	return results
}

// TestNoItemIsSentWithoutItsTask: after a failed call, the item of a task that was cancelled
// meanwhile is not retried.
func TestNoItemIsSentWithoutItsTask(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	o, w := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-release
		return failCall(items)
	}, succeed)
	s := o.Session(true)
	first := submit(s, 1, task("a"), nil)
	<-sent
	second := submit(s, 2, task("b"), nil)
	s.Cancel(1)
	close(release)
	assert.Equal(t, (<-second).Failure, Failure(""))
	assert.Equal(t, len(first), 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range w.calls[1:] {
		for _, item := range call {
			assert.Equal(t, item.Request, "b")
		}
	}
}

func TestReasonsOfAnUpstreamBecomeFailures(t *testing.T) {
	for reason, failure := range map[stagecall.Reason]Failure{stagecall.ReasonLate: Late, stagecall.ReasonInputGone: Gone, stagecall.ReasonFailed: Failed} {
		o, _ := newOwner(t, failItems(reason))
		assert.Equal(t, (<-submit(o.Session(true), 1, task("a"), nil)).Failure, failure, string(reason))
	}
}

func TestItemIsRetriedUntilItsUpstreamHasRoom(t *testing.T) {
	full := failItems(stagecall.ReasonNoRoom)
	o, _ := newOwner(t, full, full, full, full, full, succeed)
	result := <-submit(o.Session(true), 1, task("a"), nil)
	assert.DeepEqual(t, result.Handles, []string{"h/a"})
}

// TestANewOwnerKeepsInputsUntilOldResultsHaveExpired: a new owner may not know which results its
// upstreams hold, so it does not report inputs as read. A long-standing owner does.
func TestANewOwnerKeepsInputsUntilOldResultsHaveExpired(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second} {
		sent, release := make(chan struct{}), make(chan struct{})
		o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
			close(sent)
			<-release
			return succeed(items)
		})
		p := o.pool(Part{Service: "enc", Count: 1})
		p.ownedSince = p.ownedSince.Add(-age)
		withInputs := task("a")
		withInputs.Inputs = []string{"x/1"}
		inputsRead := make(chan struct{})
		result := submit(o.Session(true), 1, withInputs, func() { close(inputsRead) })
		<-sent
		notified := false
		o.mu.Lock()
		for _, open := range p.tasks {
			notified = open.inputsReadNotified
		}
		o.mu.Unlock()
		assert.Check(t, notified == (age > 0), "owner for %v: inputs reported as read: %v", age, notified)
		if notified {
			<-inputsRead
		}
		close(release)
		<-result
	}
}

func TestAStoppingOwnerHandsBackWhatItHasNotSent(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-release
		return succeed(items)
	})
	remote := o.Session(false)
	running := submit(remote, 1, task("a"), nil)
	<-sent
	waiting := submit(remote, 2, task("b"), nil)
	o.Leave()
	assert.Equal(t, (<-waiting).Failure, OwnerLeft)
	assert.Equal(t, (<-submit(remote, 3, task("c"), nil)).Failure, OwnerLeft)
	close(release)
	assert.DeepEqual(t, (<-running).Handles, []string{"h/a"})
}

func TestTheEndOfASessionCancelsItsTasks(t *testing.T) {
	o, w := newOwner(t, succeed)
	s := o.Session(false)
	s.End()
	late := submit(s, 1, task("a"), nil)
	other := submit(o.Session(false), 1, task("b"), nil)
	<-other
	assert.Equal(t, len(late), 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.calls), 1)
}

// pendingFleet is a Fleet whose state is unknown until setReady is called.
type pendingFleet struct {
	mu    sync.Mutex
	ready bool
	fleet Fleet
}

// Table implements Fleet.
func (l *pendingFleet) Table() *routes.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return nil
	}
	return l.fleet.Table()
}

// Members implements Fleet.
func (l *pendingFleet) Members() []view.Member { return l.fleet.Members() }

// RecordUpstreamReport implements Fleet.
func (l *pendingFleet) RecordUpstreamReport(view.UpstreamReport) {}

// Upstreams implements Fleet.
func (l *pendingFleet) Upstreams() *routes.Upstreams {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return nil
	}
	return l.fleet.Upstreams()
}

// setReady makes the state of the fleet known.
func (l *pendingFleet) setReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = true
}

// newUnconfiguredOwner returns an owner whose configuration is unknown until setReady is
// called.
func newUnconfiguredOwner(t *testing.T) (*Owner, *pendingFleet, *stageWorker) {
	t.Helper()
	o, w := newOwner(t, succeed)
	o.mu.Lock()
	defer o.mu.Unlock()
	fleet := &pendingFleet{fleet: o.fleet}
	o.fleet = fleet
	return o, fleet, w
}

// TestTasksThatComeEarlyWaitUntilTheConfigurationIsKnown: an owner that has just started does
// not fail early tasks; one that is cancelled meanwhile is dropped.
func TestTasksThatComeEarlyWaitUntilTheConfigurationIsKnown(t *testing.T) {
	o, fleet, _ := newUnconfiguredOwner(t)
	s := o.Session(false)
	early := submit(s, 1, task("a"), nil)
	cancelled := submit(s, 2, task("b"), nil)
	s.Cancel(2)
	fleet.setReady()
	o.Refresh()
	assert.DeepEqual(t, (<-early).Handles, []string{"h/a"})
	assert.Equal(t, len(cancelled), 0)
}

// TestResultsThatAreFreedEarlyAreFreedOnceTheConfigurationIsKnown: an owner that has just
// started receives all gateways' requests to free results; if it dropped them, the results
// would fill the pool's room.
func TestResultsThatAreFreedEarlyAreFreedOnceTheConfigurationIsKnown(t *testing.T) {
	o, fleet, w := newUnconfiguredOwner(t)
	w.freed = make(chan []string, 1)
	handle := fleet.fleet.Upstreams().Of("enc")[0].Address + "/1"
	o.Session(false).Free(task("a").Part, []string{handle})
	fleet.setReady()
	o.Refresh()
	assert.DeepEqual(t, <-w.freed, []string{handle})
}

// TestAStoppingOwnerHandsBackWhatCameEarly: a stopping owner does not wait for its
// configuration any more.
func TestAStoppingOwnerHandsBackWhatCameEarly(t *testing.T) {
	o, _, _ := newUnconfiguredOwner(t)
	early := submit(o.Session(false), 1, task("a"), nil)
	o.Leave()
	assert.Equal(t, (<-early).Failure, OwnerLeft)
}

// TestTaskThatCannotFinishInTimeFailsAtOnce: no call is made that the deadline of its only
// request would cut off.
func TestTaskThatCannotFinishInTimeFailsAtOnce(t *testing.T) {
	o, w := newOwner(t, succeed)
	short := task("a")
	short.Remaining = time.Millisecond
	assert.Equal(t, (<-submit(o.Session(true), 1, short, nil)).Failure, Late)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.calls), 0)
}

// TestCallCutByRequestDeadlineIsNotAnUpstreamFault: an upstream is avoided only for failed
// calls that it had time for.
func TestCallCutByRequestDeadlineIsNotAnUpstreamFault(t *testing.T) {
	const maxRemaining, expected = 400 * time.Millisecond, 500 * time.Millisecond
	assert.Assert(t, cutByDeadline(maxRemaining, maxRemaining, expected))
	assert.Assert(t, cutByDeadline(370*time.Millisecond, maxRemaining, expected), "the upstream's own response came first")
	assert.Assert(t, !cutByDeadline(100*time.Millisecond, maxRemaining, expected), "the call failed before the deadline")
	assert.Assert(t, !cutByDeadline(maxRemaining, maxRemaining, 300*time.Millisecond), "the call should have ended by then: the upstream may be silent")
}

func TestWaitEstimatesShrinkWithAge(t *testing.T) {
	w, now := newWaits(), time.Unix(1000, 0)
	part := Part{Service: "enc", Count: 1}
	w.record(part, Class{Rank: 1}, Result{Wait: time.Second, Backlog: 3 * time.Second}, now)
	assert.Equal(t, w.inTime(part, Class{Rank: 1}, now.Add(400*time.Millisecond)), 600*time.Millisecond)
	assert.Equal(t, w.inTime(part, Class{}, now), time.Duration(0), "another rank has its own wait")
	assert.Equal(t, w.inTime(part, Class{Rank: 1, Priority: 1}, now), time.Duration(0), "another priority has its own wait")
	assert.Equal(t, w.backlog(part, now.Add(time.Second)), 2*time.Second)
	assert.Equal(t, w.backlog(part, now.Add(time.Minute)), time.Duration(0))
}

// TestAPartIsHandedOverOnceAnotherHasOwnedItForAWhile: tasks of which nothing was sent are
// handed back; running calls are finished.
func TestAPartIsHandedOverOnceAnotherHasOwnedItForAWhile(t *testing.T) {
	sent, release := make(chan struct{}), make(chan struct{})
	o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-release
		return succeed(items)
	})
	running := submit(o.Session(true), 1, task("a"), nil)
	<-sent
	waiting := submit(o.Session(false), 2, task("b"), nil)
	part := Part{Service: "enc", Count: 1}
	assert.DeepEqual(t, o.busyParts(), []Part{part})
	assert.Equal(t, o.HandBack(part), 1)
	assert.Equal(t, (<-waiting).Failure, OwnerLeft)
	close(release)
	assert.DeepEqual(t, (<-running).Handles, []string{"h/a"})

	h, now := &handover{since: map[Part]time.Time{}}, time.Unix(1000, 0)
	assert.Assert(t, !h.due(part, false, now))
	assert.Assert(t, !h.due(part, false, now.Add(handoverDelay/2)))
	assert.Assert(t, h.due(part, false, now.Add(handoverDelay)))
	assert.Assert(t, !h.due(part, false, now.Add(handoverDelay+time.Millisecond)), "due once for each delay")
	assert.Assert(t, !h.due(part, true, now.Add(2*handoverDelay)))
	assert.Assert(t, !h.due(part, false, now.Add(3*handoverDelay)), "the delay starts again")
}
