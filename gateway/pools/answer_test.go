package pools

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
	"acaciawinch/platform/stagecall"
)

// rawWorker answers stage calls with texts that stand for whole HTTP responses, one a call; the last one
// is repeated. It closes the connection after each.
type rawWorker struct {
	mu      sync.Mutex
	answers []string
	calls   [][]stagecall.Item
	// freed receives the handles of calls that free results.
	freed chan []string
}

// newRawWorker returns a rawWorker. In its answers, ADDRESS stands for the worker's address.
func newRawWorker(answers ...string) *rawWorker {
	return &rawWorker{answers: answers, freed: make(chan []string, 10)}
}

// ServeHTTP implements http.Handler.
func (w *rawWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var request struct {
		Items   []stagecall.Item
		Handles []string
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	if r.URL.Path == stagecall.FreePath {
		w.freed <- request.Handles
		return
	}
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()                                                     // the answer is sent or the caller is gone
	_, _ = buffer.WriteString(strings.ReplaceAll(w.next(request.Items), "ADDRESS", r.Host)) // Flush returns the error
	_ = buffer.Flush()                                                                      // the caller may be gone
}

// next records a call and returns its answer.
func (w *rawWorker) next(items []stagecall.Item) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, items)
	answer := w.answers[0]
	if len(w.answers) > 1 {
		w.answers = w.answers[1:]
	}
	return answer
}

// itemsOf returns the items of a call.
func (w *rawWorker) itemsOf(call int) []stagecall.Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[call]
}

// unframed returns an answer whose body ends with the connection.
func unframed(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body }

// twoItems returns a task with two items.
func twoItems() Task {
	pair := task("a")
	pair.Items = 2
	return pair
}

// TestResultsThatCameWholeOutliveABrokenAnswer: items whose results had arrived when the answer broke off
// are not run again.
func TestResultsThatCameWholeOutliveABrokenAnswer(t *testing.T) {
	const cut = `{"items":[{"handle":"ADDRESS/1"},{"hand`
	for name, broken := range map[string]string{
		"no length":            unframed(cut),
		"shorter than length":  "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + cut,
		"without last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n21\r\n\"items\":[{\"handle\":\"10.0.0.1/1\"},\r\n",
		"longer than accepted": unframed(`{"items":[{"handle":"ADDRESS/1"},{"handle":"` + strings.Repeat("x", maxResultBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			w := newRawWorker(broken, unframed(`{"items":[{"handle":"ADDRESS/2"}]}`))
			result := <-submit(newOwnerOf(t, w).Session(true), 1, twoItems(), nil)
			assert.Equal(t, result.Failure, Failure(""))
			assert.Assert(t, strings.HasSuffix(result.Handles[0], "/1") && strings.HasSuffix(result.Handles[1], "/2"), "%q", result.Handles)
			assert.Equal(t, len(w.itemsOf(1)), 1)
			assert.Equal(t, w.itemsOf(1)[0].Index, 1)
		})
	}
}

// TestResultsThatCanNotBeAssignedAreFreed: of an answer with another number of results than items, it is
// unknown which item each belongs to.
func TestResultsThatCanNotBeAssignedAreFreed(t *testing.T) {
	for _, body := range []string{
		`{"items":[{"handle":"ADDRESS/1"}]}`,
		`{"items":[{"handle":"ADDRESS/1"},{"reason":"room"},{"reason":"room"}]}`,
	} {
		w := newRawWorker(unframed(body), unframed(`{"items":[{"handle":"ADDRESS/2"},{"handle":"ADDRESS/3"}]}`))
		result := <-submit(newOwnerOf(t, w).Session(true), 1, twoItems(), nil)
		var freed []string
		select {
		case freed = <-w.freed:
		case <-time.After(10 * time.Second):
		}
		assert.Assert(t, len(freed) == 1 && strings.HasSuffix(freed[0], "/1"), "%q", freed)
		assert.Assert(t, strings.HasSuffix(result.Handles[0], "/2") && strings.HasSuffix(result.Handles[1], "/3"), "%q", result.Handles)
	}
}

// TestResultsOfAnEarlierCallAreNotUsed: an answer that comes twice must not give a second request the
// results of the first.
func TestResultsOfAnEarlierCallAreNotUsed(t *testing.T) {
	first := unframed(`{"items":[{"handle":"ADDRESS/1"}]}`)
	w := newRawWorker(first, first, unframed(`{"items":[{"handle":"ADDRESS/2"}]}`))
	s := newOwnerOf(t, w).Session(true)
	kept := <-submit(s, 1, task("a"), nil)
	assert.Assert(t, strings.HasSuffix(kept.Handles[0], "/1"), "%q", kept.Handles)
	other := <-submit(s, 2, task("b"), nil)
	assert.Assert(t, strings.HasSuffix(other.Handles[0], "/2"), "%q", other.Handles)
	assert.Equal(t, len(w.freed), 0, "the results of the first request must be kept")
}

// recordingFleet is a Fleet that passes on what upstreams report.
type recordingFleet struct {
	Fleet
	reports chan view.UpstreamReport
}

// RecordUpstreamReport implements Fleet.
func (f recordingFleet) RecordUpstreamReport(report view.UpstreamReport) { f.reports <- report }

// TestAnnouncementInTheHeadOutlivesABrokenAnswer: the head of an answer counts, also if its body breaks
// off.
func TestAnnouncementInTheHeadOutlivesABrokenAnswer(t *testing.T) {
	w := newRawWorker("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 500\r\n\r\n{")
	o := newOwnerOf(t, w)
	fleet := recordingFleet{Fleet: o.fleet, reports: make(chan view.UpstreamReport, 10)}
	o.mu.Lock()
	o.fleet = fleet
	o.mu.Unlock()
	result := submit(o.Session(true), 1, task("a"), nil)
	select {
	case report := <-fleet.reports:
		assert.Assert(t, report.Leaving)
	case failed := <-result:
		t.Fatalf("nothing was reported; the task ended with %+v", failed)
	}
}
