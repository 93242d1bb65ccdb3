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

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/stagecall"
)

// known is a fixed picture of the fleet.
type known struct {
	table     *routes.Table
	upstreams *routes.Upstreams
}

// Table implements Fleet.
func (k known) Table() *routes.Table { return k.table }

// Upstreams implements Fleet.
func (k known) Upstreams() *routes.Upstreams { return k.upstreams }

// UpstreamAsked implements Fleet.
func (k known) UpstreamAsked(view.Asked) {}

// stageWorker answers stage calls from a script, one step a call.
type stageWorker struct {
	mu     sync.Mutex
	script []func(items []stagecall.Item) (int, []stagecall.Result)
	calls  [][]stagecall.Item
	// freed takes what calls to free results name; nil drops it.
	freed chan []string
}

// ServeHTTP implements http.Handler.
func (w *stageWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == stagecall.FreePath {
		w.takeFree(body)
		return
	}
	var asked struct{ Items []stagecall.Item }
	if json.Unmarshal(body, &asked) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.calls = append(w.calls, asked.Items)
	step := w.script[0]
	if len(w.script) > 1 {
		w.script = w.script[1:]
	}
	w.mu.Unlock()
	status, results := step(asked.Items)
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(struct {
		Items []stagecall.Result `json:"items"`
	}{results}) // a caller that is gone needs no answer
}

// takeFree hands on what a call to free results names.
func (w *stageWorker) takeFree(body []byte) {
	var asked struct{ Handles []string }
	if w.freed != nil && json.Unmarshal(body, &asked) == nil {
		w.freed <- asked.Handles
	}
}

// makes makes all items.
func makes(items []stagecall.Item) (int, []stagecall.Result) {
	results := make([]stagecall.Result, len(items))
	for i := range results {
		results[i] = stagecall.Result{Handle: "h/" + items[i].Request}
	}
	return http.StatusOK, results
}

// gives ends all items with a reason.
func gives(reason stagecall.Reason) func([]stagecall.Item) (int, []stagecall.Result) {
	return func(items []stagecall.Item) (int, []stagecall.Result) {
		results := make([]stagecall.Result, len(items))
		for i := range results {
			results[i].Reason = reason
		}
		return http.StatusOK, results
	}
}

// breaks fails the whole call.
func breaks([]stagecall.Item) (int, []stagecall.Result) { return http.StatusInternalServerError, nil }

// newOwner returns an owner before one worker that plays a script.
func newOwner(t *testing.T, script ...func([]stagecall.Item) (int, []stagecall.Result)) (*Owner, *stageWorker) {
	t.Helper()
	w := &stageWorker{script: script}
	server := httptest.NewServer(w)
	ctx, cancel := context.WithCancel(context.Background())
	pool := &routes.Pool{Slots: 1, Batch: 4, CallTime: 10 * time.Millisecond, ItemTime: time.Millisecond, RoomBytes: 1 << 20, KeepTime: 4 * time.Second}
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	client := httpconn.New(func(int, http.Header) httpconn.Echo { return httpconn.Echo{} })
	o := NewOwner(ctx, known{
		table:     routes.NewTable(1, routes.Limits{}, nil, []*routes.Service{{Name: "enc", Pool: pool}}, nil),
		upstreams: routes.NewUpstreams([]routes.Upstream{{ID: "w", Service: "enc", Address: strings.TrimPrefix(server.URL, "http://")}}),
	}, client, logger)
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
	return o, w
}

// task returns a task of one piece.
func task(id string) Task {
	return Task{Part: Part{Service: "enc", Count: 1}, Request: id, Pieces: 1, Remaining: 20 * time.Second, Due: 10 * time.Second}
}

// submit gives an owner a task and returns where its end arrives.
func submit(s *Session, number uint64, t Task, begun func()) <-chan Result {
	results := make(chan Result, 1)
	s.Submit(number, t, Notify{Begun: begun, Done: func(r Result) { results <- r }})
	return results
}

// TestNoItemIsSentWithoutItsTask: a call fails after one of its tasks was cancelled;
// only the other's item is sent again.
func TestNoItemIsSentWithoutItsTask(t *testing.T) {
	sent, goOn := make(chan struct{}), make(chan struct{})
	o, w := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-goOn
		return breaks(items)
	}, makes)
	s := o.Session(true)
	first := submit(s, 1, task("a"), nil)
	<-sent
	second := submit(s, 2, task("b"), nil)
	s.Cancel(1)
	close(goOn)
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
	for reason, failure := range map[stagecall.Reason]Failure{stagecall.Late: Late, stagecall.Gone: Gone, stagecall.Failed: Failed} {
		o, _ := newOwner(t, gives(reason))
		assert.Equal(t, (<-submit(o.Session(true), 1, task("a"), nil)).Failure, failure, string(reason))
	}
}

func TestWantOfRoomIsTriedUntilThereIsSome(t *testing.T) {
	full := gives(stagecall.Room)
	o, _ := newOwner(t, full, full, full, full, full, makes)
	result := <-submit(o.Session(true), 1, task("a"), nil)
	assert.DeepEqual(t, result.Handles, []string{"h/a"})
}

// TestANewOwnerKeepsInputsUntilOldResultsHaveLapsed: an owner that may not know what
// lies at its upstreams does not say that inputs may be freed; one of long standing does.
func TestANewOwnerKeepsInputsUntilOldResultsHaveLapsed(t *testing.T) {
	for _, age := range []time.Duration{0, 10 * time.Second} {
		sent, goOn := make(chan struct{}), make(chan struct{})
		o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
			close(sent)
			<-goOn
			return makes(items)
		})
		p := o.pool(Part{Service: "enc", Count: 1})
		p.since = p.since.Add(-age)
		with := task("a")
		with.Inputs = []string{"x/1"}
		begun := make(chan struct{})
		result := submit(o.Session(true), 1, with, func() { close(begun) })
		<-sent
		told := false
		o.mu.Lock()
		for _, open := range p.tasks {
			told = open.begun
		}
		o.mu.Unlock()
		assert.Check(t, told == (age > 0), "an owner for %v: inputs are said to be read: %v", age, told)
		if told {
			<-begun
		}
		close(goOn)
		<-result
	}
}

func TestAStoppingOwnerHandsBackWhatItHasNotBegun(t *testing.T) {
	sent, goOn := make(chan struct{}), make(chan struct{})
	o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-goOn
		return makes(items)
	})
	far := o.Session(false)
	running := submit(far, 1, task("a"), nil)
	<-sent
	waiting := submit(far, 2, task("b"), nil)
	o.Leave()
	assert.Equal(t, (<-waiting).Failure, OwnerLeft)
	assert.Equal(t, (<-submit(far, 3, task("c"), nil)).Failure, OwnerLeft)
	close(goOn)
	assert.DeepEqual(t, (<-running).Handles, []string{"h/a"})
}

func TestTheEndOfASessionCancelsItsTasks(t *testing.T) {
	o, w := newOwner(t, makes)
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

// learning is a fleet of which nothing is known until learn is called.
type learning struct {
	mu    sync.Mutex
	knows bool
	later Fleet
}

// Table implements Fleet.
func (l *learning) Table() *routes.Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.knows {
		return nil
	}
	return l.later.Table()
}

// UpstreamAsked implements Fleet.
func (l *learning) UpstreamAsked(view.Asked) {}

// Upstreams implements Fleet.
func (l *learning) Upstreams() *routes.Upstreams {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.knows {
		return nil
	}
	return l.later.Upstreams()
}

// learn makes the fleet known.
func (l *learning) learn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knows = true
}

// newOwnerThatKnowsNothing returns an owner whose fleet is known once learn is called.
func newOwnerThatKnowsNothing(t *testing.T) (*Owner, *learning, *stageWorker) {
	t.Helper()
	o, w := newOwner(t, makes)
	o.mu.Lock()
	defer o.mu.Unlock()
	fleet := &learning{later: o.fleet}
	o.fleet = fleet
	return o, fleet, w
}

// TestTasksThatComeEarlyWaitUntilTheConfigurationIsKnown: an owner that has just started
// does not fail them; one that was cancelled meanwhile is forgotten.
func TestTasksThatComeEarlyWaitUntilTheConfigurationIsKnown(t *testing.T) {
	o, fleet, _ := newOwnerThatKnowsNothing(t)
	s := o.Session(false)
	early := submit(s, 1, task("a"), nil)
	cancelled := submit(s, 2, task("b"), nil)
	s.Cancel(2)
	fleet.learn()
	o.Refresh()
	assert.DeepEqual(t, (<-early).Handles, []string{"h/a"})
	assert.Equal(t, len(cancelled), 0)
}

// TestAStoppingOwnerHandsBackWhatCameEarly: it will not know its pools any more.
// TestResultsThatAreFreedEarlyAreFreedOnceTheConfigurationIsKnown: an owner that has just started
// gets the wishes of all others; dropped, their results would fill the pool's room.
func TestResultsThatAreFreedEarlyAreFreedOnceTheConfigurationIsKnown(t *testing.T) {
	o, fleet, w := newOwnerThatKnowsNothing(t)
	w.freed = make(chan []string, 1)
	lies := fleet.later.Upstreams().Of("enc")[0].Address + "/1"
	o.Session(false).Free(task("a").Part, []string{lies})
	fleet.learn()
	o.Refresh()
	assert.DeepEqual(t, <-w.freed, []string{lies})
}

func TestAStoppingOwnerHandsBackWhatCameEarly(t *testing.T) {
	o, _, _ := newOwnerThatKnowsNothing(t)
	early := submit(o.Session(false), 1, task("a"), nil)
	o.Leave()
	assert.Equal(t, (<-early).Failure, OwnerLeft)
}

// TestATaskWithoutTimeIsRefusedAtOnce: no call is made that its own request would cut.
func TestATaskWithoutTimeIsRefusedAtOnce(t *testing.T) {
	o, w := newOwner(t, makes)
	short := task("a")
	short.Remaining = time.Millisecond
	assert.Equal(t, (<-submit(o.Session(true), 1, short, nil)).Failure, Late)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.calls), 0)
}

// TestACallCutByItsRequestsIsNoFault: an upstream is passed over only for calls that it
// had time for.
func TestACallCutByItsRequestsIsNoFault(t *testing.T) {
	const longest, expected = 400 * time.Millisecond, 500 * time.Millisecond
	assert.Assert(t, cutByDeadline(longest, longest, expected))
	assert.Assert(t, cutByDeadline(370*time.Millisecond, longest, expected), "the upstream's own word came first")
	assert.Assert(t, !cutByDeadline(100*time.Millisecond, longest, expected), "it failed before")
	assert.Assert(t, !cutByDeadline(longest, longest, 300*time.Millisecond), "it should have ended by then: it may be silent")
}

func TestWhatOwnersSaidOfWaitsGetsShorterWithAge(t *testing.T) {
	w, now := newWaits(), time.Unix(1000, 0)
	part := Part{Service: "enc", Count: 1}
	w.learn(part, Class{Rank: 1}, Result{Wait: time.Second, Backlog: 3 * time.Second}, now)
	assert.Equal(t, w.timely(part, Class{Rank: 1}, now.Add(400*time.Millisecond)), 600*time.Millisecond)
	assert.Equal(t, w.timely(part, Class{}, now), time.Duration(0), "another rank has its own wait")
	assert.Equal(t, w.timely(part, Class{Rank: 1, Priority: 1}, now), time.Duration(0), "and another priority")
	assert.Equal(t, w.backlog(part, now.Add(time.Second)), 2*time.Second)
	assert.Equal(t, w.backlog(part, now.Add(time.Minute)), time.Duration(0))
}

// TestAPartIsHandedOverOnceAnotherHasOwnedItForAWhile: what has not begun goes back, and
// what was sent is finished.
func TestAPartIsHandedOverOnceAnotherHasOwnedItForAWhile(t *testing.T) {
	sent, goOn := make(chan struct{}), make(chan struct{})
	o, _ := newOwner(t, func(items []stagecall.Item) (int, []stagecall.Result) {
		close(sent)
		<-goOn
		return makes(items)
	})
	running := submit(o.Session(true), 1, task("a"), nil)
	<-sent
	waiting := submit(o.Session(false), 2, task("b"), nil)
	part := Part{Service: "enc", Count: 1}
	assert.DeepEqual(t, o.busyParts(), []Part{part})
	assert.Equal(t, o.HandBack(part), 1)
	assert.Equal(t, (<-waiting).Failure, OwnerLeft)
	close(goOn)
	assert.DeepEqual(t, (<-running).Handles, []string{"h/a"})

	h, now := &handover{since: map[Part]time.Time{}}, time.Unix(1000, 0)
	assert.Assert(t, !h.due(part, false, now))
	assert.Assert(t, !h.due(part, false, now.Add(handOverAfter/2)))
	assert.Assert(t, h.due(part, false, now.Add(handOverAfter)))
	assert.Assert(t, !h.due(part, false, now.Add(handOverAfter+time.Millisecond)), "once for each wait")
	assert.Assert(t, !h.due(part, true, now.Add(2*handOverAfter)))
	assert.Assert(t, !h.due(part, false, now.Add(3*handOverAfter)), "the wait begins anew")
}
