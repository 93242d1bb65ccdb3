package pools

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/observe"
	"acaciawinch/platform/stagecall"
)

// changingFleet is a Fleet whose upstreams change.
type changingFleet struct {
	Fleet
	mu        sync.Mutex
	upstreams *routes.Upstreams
}

// Upstreams implements Fleet.
func (f *changingFleet) Upstreams() *routes.Upstreams {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams
}

// set replaces the upstreams. The owner learns of it only by Refresh, or by looking.
func (f *changingFleet) set(list ...routes.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = routes.NewUpstreams(list)
}

// newOwnerOfTwo returns an owner that prefers the first of two workers, its fleet, and the workers with their
// upstreams.
func newOwnerOfTwo(t *testing.T) (*Owner, *changingFleet, [2]*stageWorker, [2]routes.Upstream) {
	t.Helper()
	o, w := newOwner(t, succeed)
	other := &stageWorker{script: w.script}
	server := httptest.NewServer(other)
	t.Cleanup(server.Close)
	first := o.fleet.Upstreams().Of("enc")[0]
	second := routes.Upstream{ID: "x", Service: "enc", Address: strings.TrimPrefix(server.URL, "http://")}
	o.mu.Lock()
	defer o.mu.Unlock()
	fleet := &changingFleet{Fleet: o.fleet, upstreams: routes.NewUpstreams([]routes.Upstream{first, second})}
	o.fleet = fleet
	o.pool(task("").Part)
	return o, fleet, [2]*stageWorker{w, other}, [2]routes.Upstream{first, second}
}

// count returns the number of calls so far.
func (w *stageWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// TestABatchIsNotSentToAnUpstreamThatTakesNoWorkAnyMore: what is known when the connection is open decides,
// not what was known when the upstream was chosen.
func TestABatchIsNotSentToAnUpstreamThatTakesNoWorkAnyMore(t *testing.T) {
	for name, change := range map[string]func(first *routes.Upstream, second routes.Upstream){
		"leaving":    func(first *routes.Upstream, _ routes.Upstream) { first.Leaving = true },
		"removed":    func(first *routes.Upstream, second routes.Upstream) { *first = second },
		"backed off": func(first *routes.Upstream, _ routes.Upstream) { first.BackoffUntil = time.Now().Add(time.Hour) },
		"evacuated":  func(first *routes.Upstream, _ routes.Upstream) { first.Evacuated = true },
		"replaced": func(first *routes.Upstream, second routes.Upstream) {
			first.Incarnation++
			first.Address = second.Address
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, fleet, workers, upstreams := newOwnerOfTwo(t)
			changed := upstreams[0]
			change(&changed, upstreams[1])
			fleet.set(changed, upstreams[1])
			result := <-submit(o.Session(true), 1, task("a"), nil)
			assert.DeepEqual(t, result.Handles, []string{"h/a"})
			assert.Equal(t, workers[0].count(), 0)
			assert.Equal(t, workers[1].count(), 1)
		})
	}
}

// lineChannel receives the lines of a log.
type lineChannel chan string

// Write implements io.Writer.
func (c lineChannel) Write(line []byte) (int, error) {
	c <- string(line)
	return len(line), nil
}

// logTo makes the owner log to a new channel.
func (o *Owner) logTo(t *testing.T) lineChannel {
	t.Helper()
	lines := make(lineChannel, 100)
	logger, err := observe.NewLogger(lines, "test", "info")
	assert.NilError(t, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logger = logger
	return lines
}

// TestItemsOfWithdrawnBatchesAreNeverGivenUp: a batch that was not sent is no attempt.
func TestItemsOfWithdrawnBatchesAreNeverGivenUp(t *testing.T) {
	o, fleet, workers, upstreams := newOwnerOfTwo(t)
	leaving := upstreams[0]
	leaving.Leaving = true
	fleet.set(leaving)
	o.Refresh()
	result := submit(o.Session(true), 1, task("a"), nil)
	lines := o.logTo(t)
	o.mu.Lock()
	p := o.pools[task("").Part]
	o.mu.Unlock()
	for range 10 {
		o.mu.Lock()
		p.queue.SetUpstreams(upstreams[:1])
		o.sendCalls(p, time.Now())
		o.mu.Unlock()
		select {
		case line := <-lines:
			assert.Assert(t, strings.Contains(line, "pool_call_withdrawn"), line)
		case got := <-result:
			t.Fatalf("got %v while no upstream takes work", got)
		}
	}
	assert.Equal(t, workers[0].count(), 0)
	fleet.set(upstreams[0])
	o.Refresh()
	assert.DeepEqual(t, (<-result).Handles, []string{"h/a"})
}

// TestInputsAreReportedAsReadOnlyByABatchThatIsSent: the caller frees them then.
func TestInputsAreReportedAsReadOnlyByABatchThatIsSent(t *testing.T) {
	o, fleet, workers, upstreams := newOwnerOfTwo(t)
	o.mu.Lock()
	p := o.pools[task("").Part]
	p.ownedSince = p.ownedSince.Add(-time.Minute)
	o.mu.Unlock()
	lines := o.logTo(t)
	leaving := upstreams[0]
	leaving.Leaving = true
	fleet.set(leaving)
	withInputs := task("a")
	withInputs.Inputs = []string{"x/1"}
	callsWhenRead := make(chan int, 2)
	result := submit(o.Session(true), 1, withInputs, func() { callsWhenRead <- workers[1].count() })
	assert.Assert(t, strings.Contains(<-lines, "pool_call_withdrawn"))
	o.mu.Lock()
	for _, open := range p.tasks {
		assert.Check(t, !open.inputsReadNotified, "the batch was withdrawn")
	}
	o.mu.Unlock()
	workers[1].mu.Lock()
	workers[1].script = []func([]stagecall.Item) (int, []stagecall.Result){func(items []stagecall.Item) (int, []stagecall.Result) {
		assert.Check(t, <-callsWhenRead == 1)
		return succeed(items)
	}}
	workers[1].mu.Unlock()
	fleet.set(leaving, upstreams[1])
	o.Refresh()
	assert.DeepEqual(t, (<-result).Handles, []string{"h/a"})
}
