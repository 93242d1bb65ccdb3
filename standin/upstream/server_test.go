package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/standin/ledger"
	"acaciawinch/standin/pool"
	"acaciawinch/standin/upstream"
)

// testServer is a plain service that listens on loopback and writes to the ledger at
// ledgerPath.
type testServer struct {
	t          *testing.T
	url        string
	ledgerPath string
	server     *upstream.Server
	conditions *upstream.Conditions
}

// newTestServer starts a service that is stopped at the end of the test.
func newTestServer(t *testing.T) *testServer {
	path := filepath.Join(t.TempDir(), "u.ledger")
	ledgerFile, err := ledger.Open(path, "u", "s")
	assert.NilError(t, err)
	conditions := upstream.NewConditions()
	server := upstream.NewServer(upstream.Options{
		Worker:     pool.New(pool.Options{Service: "s", Capacity: 1, Conditions: conditions}),
		Conditions: conditions,
		Ledger:     ledgerFile,
	})
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		httpServer.Close()
		_ = ledgerFile.Close()
	})
	return &testServer{t: t, url: httpServer.URL, ledgerPath: path, server: server, conditions: conditions}
}

// post sends a call and returns the status and the body of the response.
func (ts *testServer) post(ctx context.Context, call upstream.Call) (int, string, error) {
	body, err := json.Marshal(call)
	assert.NilError(ts.t, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, ts.url+"/v1/run", bytes.NewReader(body))
	assert.NilError(ts.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// awaitEvents waits until the ledger holds at least as many events as want, and
// checks that it holds exactly those.
func (ts *testServer) awaitEvents(want ...ledger.Event) []ledger.Record {
	var records []ledger.Record
	poll.WaitOn(ts.t, func(poll.LogT) poll.Result {
		var err error
		if records, err = ledger.Read(ts.ledgerPath); err != nil {
			return poll.Error(err)
		}
		if len(records) >= len(want) {
			return poll.Success()
		}
		return poll.Continue("%d records", len(records))
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(ts.t, len(records), len(want))
	for i, record := range records {
		assert.Equal(ts.t, record.Event, want[i])
	}
	return records
}

func TestCallIsAnsweredAndRecorded(t *testing.T) {
	ts := newTestServer(t)
	status, text, err := ts.post(t.Context(), upstream.Call{ID: "r/s/1", Input: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(text, `{"done":true,"cost":1}`+"\n"), text)
	records := ts.awaitEvents(ledger.Start, ledger.End)
	assert.Equal(t, records[0].ID, "r/s/1")
	assert.Equal(t, records[0].InputDigest, records[1].InputDigest)
}

func TestFailedCallReportsErrorAndIsRecorded(t *testing.T) {
	ts := newTestServer(t)
	ts.conditions.Set(upstream.Control{FailNext: 1})
	_, text, err := ts.post(t.Context(), upstream.Call{ID: "r/s/1"})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, `"error"`), text)
	ts.awaitEvents(ledger.Start, ledger.Error)
}

func TestDisconnectCancelsTheWork(t *testing.T) {
	ts := newTestServer(t)
	ts.conditions.Set(upstream.Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_, _, _ = ts.post(ctx, upstream.Call{ID: "r/s/1"})
		close(ended)
	}()
	ts.awaitEvents(ledger.Start)
	cancel()
	<-ended
	ts.awaitEvents(ledger.Start, ledger.Cancel)
}

func TestCancelByIDEndsOneCall(t *testing.T) {
	ts := newTestServer(t)
	ts.conditions.Set(upstream.Control{Hang: true})
	ended := make(chan struct{})
	go func() {
		_, _, _ = ts.post(t.Context(), upstream.Call{ID: "r/s/1"})
		close(ended)
	}()
	ts.awaitEvents(ledger.Start)
	for id, want := range map[string]int{"other": http.StatusNotFound, "r/s/1": http.StatusOK} {
		response, err := http.Post(ts.url+"/v1/cancel", "application/json", strings.NewReader(`{"id":"`+id+`"}`))
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, want)
	}
	<-ended
	ts.awaitEvents(ledger.Start, ledger.Cancel)
}

func TestStoppingUpstreamRejectsCalls(t *testing.T) {
	ts := newTestServer(t)
	ts.server.RejectNewCalls()
	status, _, err := ts.post(t.Context(), upstream.Call{ID: "r/s/1"})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict)
	ts.awaitEvents()
}

func TestPlainServiceTakesNoOrders(t *testing.T) {
	ts := newTestServer(t)
	response, err := http.Post(ts.url+"/v1/orders", "application/json", strings.NewReader(`{"fencing":1}`))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}
