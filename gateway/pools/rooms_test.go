package pools

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/platform/stagecall"
)

// Sizes of the upstream of newOwner: 20 results of resultSize leave room for three more.
const (
	resultSize = 44 << 10
	stored     = 20
	fitting    = 3
)

// reportingWorker is a stageWorker that also answers calls that ask for its room.
type reportingWorker struct {
	stageWorker
	// report is the answer, with status 500 if it is empty. asked counts the calls.
	report string
	asked  atomic.Int32
}

// ServeHTTP implements http.Handler.
func (w *reportingWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != stagecall.ReportPath {
		w.stageWorker.ServeHTTP(out, r)
		return
	}
	w.asked.Add(1)
	if r.Method != http.MethodGet || w.report == "" {
		out.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(out, w.report) // the caller may be gone
}

// newReportingOwner returns an owner with one worker, which sends the sizes of its calls to sizes.
func newReportingOwner(t *testing.T, report string) (o *Owner, w *reportingWorker, sizes chan int) {
	t.Helper()
	sizes = make(chan int, 100)
	w = &reportingWorker{report: report}
	w.script = append(w.script, func(items []stagecall.Item) (int, []stagecall.Result) {
		sizes <- len(items)
		return succeed(items)
	})
	o = newOwnerOf(t, w)
	o.reportWait = time.Hour // the test waits for the report however slow the machine is
	return o, w, sizes
}

// heldAt returns the handles and the sizes of results that are stored at the upstream of an owner.
func heldAt(o *Owner, count int) (handles []string, bytes []uint64) {
	for i := range count {
		handles = append(handles, fmt.Sprintf("%s/held-%d", o.fleet.Upstreams().Of("enc")[0].Address, i))
		bytes = append(bytes, resultSize)
	}
	return handles, bytes
}

// fourItems returns a task with as many items as fit into a call.
func fourItems(id string) Task {
	four := task(id)
	four.Items, four.ResultBytes = 4, resultSize
	return four
}

// TestANewOwnersFirstCallFitsBesideOldResults: the owner before has left 20 results at the upstream. Its
// successor learns of them from a gateway, from two gateways that name the same ones, or from the upstream.
// If nobody tells it, its first call is full and an item finds no room.
func TestANewOwnersFirstCallFitsBesideOldResults(t *testing.T) {
	free := fmt.Sprintf(`{"queued":0,"busy":0,"free_mb":%g}`, float64(1<<20-stored*resultSize)/1e6)
	for name, c := range map[string]struct {
		report        string
		tellers, size int
	}{
		"nobody tells":         {"", 0, 4},
		"the report is bad":    {`{"free_mb":-3}`, 0, 4},
		"a gateway tells":      {"", 1, fitting},
		"two gateways tell":    {"", 2, fitting},
		"the upstream tells":   {free, 0, fitting},
		"all tell, and agree":  {free, 2, fitting},
		"more room than known": {`{"free_mb":1000}`, 1, fitting},
	} {
		t.Run(name, func(t *testing.T) {
			o, w, sizes := newReportingOwner(t, c.report)
			handles, bytes := heldAt(o, stored)
			for range c.tellers {
				o.Session(false).Held(task("").Part, handles, bytes)
			}
			submit(o.Session(false), 1, fourItems("a"), nil)
			assert.Equal(t, <-sizes, c.size)
			assert.Equal(t, int(w.asked.Load()), 1)
		})
	}
}

// TestHeldResultsAreFreed: results that a gateway reported are freed by it at their upstream, and take no
// room then. Those at addresses that are not of the part are passed over.
func TestHeldResultsAreFreed(t *testing.T) {
	o, w, _ := newReportingOwner(t, "")
	w.freed = make(chan []string, 1)
	handles, bytes := heldAt(o, stored)
	s := o.Session(false)
	s.Held(task("").Part, append(handles, "10.9.9.9:1/x"), append(bytes, resultSize))
	assert.Equal(t, keptCount(o), stored)
	s.Free(task("").Part, handles)
	assert.Equal(t, len(<-w.freed), stored)
	large := task("large")
	large.ResultBytes = stored * resultSize // it fits only once the room is free
	assert.Equal(t, (<-submit(s, 1, large, nil)).Failure, Failure(""))
}

// TestUpstreamsAreAskedForTheirRoomOnce: a report has a price. It is asked for once after a change of owner,
// if there is work, and not in the first start of a fleet, when nothing can be stored.
func TestUpstreamsAreAskedForTheirRoomOnce(t *testing.T) {
	o, w, _ := newReportingOwner(t, `{"free_mb":1}`)
	s := o.Session(false)
	s.Free(task("").Part, []string{"x/1"})
	s.Held(task("").Part, nil, nil)
	assert.Equal(t, int(w.asked.Load()), 0, "there is no work")
	for number := range uint64(5) {
		<-submit(s, number, task(fmt.Sprint("r", number)), nil)
	}
	s.Held(task("").Part, nil, nil)
	<-submit(s, 9, task("r9"), nil)
	assert.Equal(t, int(w.asked.Load()), 1)
	o.mu.Lock()
	o.pools[task("").Part].roomAskedAt = time.Now().Add(-time.Hour)
	o.mu.Unlock()
	s.Held(task("").Part, nil, nil)
	<-submit(s, 10, task("r10"), nil)
	assert.Equal(t, int(w.asked.Load()), 2, "another owner had the part in between")

	first, asked, _ := newReportingOwner(t, `{"free_mb":1}`)
	first.StartsFirst()
	<-submit(first.Session(true), 1, task("a"), nil)
	assert.Equal(t, int(asked.asked.Load()), 0, "the first start of the fleet")
}

// TestUpstreamsThatTakeNoWorkAreNotAskedForTheirRoom: an upstream that leaves or is backed off gets no call
// that it need not have.
func TestUpstreamsThatTakeNoWorkAreNotAskedForTheirRoom(t *testing.T) {
	for name, change := range map[string]func(*routes.Upstream){
		"leaving":    func(u *routes.Upstream) { u.Leaving = true },
		"backed off": func(u *routes.Upstream) { u.BackoffUntil = time.Now().Add(time.Hour) },
		"evacuated":  func(u *routes.Upstream) { u.Evacuated = true },
	} {
		o, w, _ := newReportingOwner(t, `{"free_mb":1}`)
		other := &reportingWorker{report: `{"free_mb":1}`}
		other.script = w.script
		otherOwner := newOwnerOf(t, other) // its server is the second upstream
		changed, working := o.fleet.Upstreams().Of("enc")[0], otherOwner.fleet.Upstreams().Of("enc")[0]
		working.ID = "x"
		change(&changed)
		o.mu.Lock()
		o.fleet = staticFleet{table: o.fleet.Table(), upstreams: routes.NewUpstreams([]routes.Upstream{changed, working})}
		o.mu.Unlock()
		assert.Equal(t, (<-submit(o.Session(true), 1, task("a"), nil)).Failure, Failure(""), name)
		assert.Equal(t, int(w.asked.Load()), 0, name)
		assert.Equal(t, int(other.asked.Load()), 1, name)
	}
}

// TestHeldResultsAreNamedToTheNextOwner: a gateway names what it still uses of a part, and neither what it
// has freed nor what upstreams have lost with an earlier incarnation or dropped by themselves.
func TestHeldResultsAreNamedToTheNextOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	first := routes.Upstream{ID: "a", Service: "enc", Address: "10.0.0.1:1"}
	second := routes.Upstream{ID: "b", Service: "enc", Address: "10.0.0.2:1"}
	list := routes.NewUpstreams([]routes.Upstream{first, second})
	h := newHeld()
	mine := task("r")
	mine.ResultBytes = 7
	h.add(list, mine, []string{"10.0.0.1:1/1", "10.0.0.1:1/2", "10.0.0.2:1/1"}, now.Add(4*time.Second))
	h.add(list, mine, []string{"10.0.0.1:1/0"}, now.Add(-time.Second))
	other := mine
	other.Service = "rank"
	h.add(list, other, []string{"10.0.0.1:1/9"}, now.Add(4*time.Second))
	h.remove([]string{"10.0.0.1:1/1"})
	second.Incarnation++
	handles, bytes := h.of(mine.Part, routes.NewUpstreams([]routes.Upstream{first, second}), now)
	assert.DeepEqual(t, handles, []string{"10.0.0.1:1/2"})
	assert.DeepEqual(t, bytes, []uint64{7})
	h.expire(now.Add(5 * time.Second))
	assert.Equal(t, len(h.results), 0)
	for i := range maxHeld + 10 {
		h.add(list, mine, []string{fmt.Sprint("10.0.0.1:1/", i)}, now)
	}
	assert.Equal(t, len(h.results), maxHeld)
}

// TestALongListOfHeldResultsIsSentInParts: a message has a largest size. An empty list tells of the change
// of owner alone.
func TestALongListOfHeldResultsIsSentInParts(t *testing.T) {
	for count, messages := range map[int]int{0: 1, 1: 1, heldPerMessage: 1, heldPerMessage + 1: 2, 3 * heldPerMessage: 3} {
		l, _, cancel := newSilentLink(time.Unix(1000, 0))
		cancel(nil)
		l.held(task("").Part, strings.Split(strings.Repeat("h,", count), ",")[:count], make([]uint64, count))
		assert.Equal(t, len(l.send), messages, "%d results", count)
		total := 0
		for range messages {
			total += len((<-l.send).GetHeld().GetHandles())
		}
		assert.Equal(t, total, count)
	}
}
