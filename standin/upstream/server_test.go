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

// trial is one plain service with its ledger.
type trial struct {
	t          *testing.T
	url        string
	ledger     string
	server     *upstream.Server
	conditions *upstream.Conditions
}

// newTrial starts a service that ends with the test.
func newTrial(t *testing.T) *trial {
	path := filepath.Join(t.TempDir(), "u.ledger")
	book, err := ledger.Open(path, "u", "s")
	assert.NilError(t, err)
	conditions := upstream.NewConditions()
	server := upstream.NewServer(upstream.Options{
		Worker:     pool.New(pool.Options{Service: "s", Capacity: 1, Conditions: conditions}),
		Conditions: conditions,
		Ledger:     book,
	})
	listening := httptest.NewServer(server)
	t.Cleanup(func() {
		listening.Close()
		_ = book.Close()
	})
	return &trial{t: t, url: listening.URL, ledger: path, server: server, conditions: conditions}
}

// post sends a call and returns the status and the answer.
func (tr *trial) post(ctx context.Context, call upstream.Call) (int, string, error) {
	body, err := json.Marshal(call)
	assert.NilError(tr.t, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, tr.url+"/v1/run", bytes.NewReader(body))
	assert.NilError(tr.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// awaitEvents waits until the ledger holds as many events as given, and checks
// that it holds just these.
func (tr *trial) awaitEvents(want ...ledger.Event) []ledger.Record {
	var records []ledger.Record
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		var err error
		if records, err = ledger.Read(tr.ledger); err != nil {
			return poll.Error(err)
		}
		if len(records) >= len(want) {
			return poll.Success()
		}
		return poll.Continue("%d records", len(records))
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(tr.t, len(records), len(want))
	for i, record := range records {
		assert.Equal(tr.t, record.Event, want[i])
	}
	return records
}

func TestCallIsAnsweredAndRecorded(t *testing.T) {
	tr := newTrial(t)
	status, text, err := tr.post(t.Context(), upstream.Call{ID: "r/s/1", Input: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(text, `{"done":true,"cost":1}`+"\n"), text)
	records := tr.awaitEvents(ledger.Start, ledger.End)
	assert.Equal(t, records[0].ID, "r/s/1")
	assert.Equal(t, records[0].InputDigest, records[1].InputDigest)
}

func TestFailedCallSaysSoAndIsRecorded(t *testing.T) {
	tr := newTrial(t)
	tr.conditions.Set(upstream.Control{FailNext: 1})
	_, text, err := tr.post(t.Context(), upstream.Call{ID: "r/s/1"})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, `"error"`), text)
	tr.awaitEvents(ledger.Start, ledger.Error)
}

func TestDisconnectCancelsTheWork(t *testing.T) {
	tr := newTrial(t)
	tr.conditions.Set(upstream.Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_, _, _ = tr.post(ctx, upstream.Call{ID: "r/s/1"})
		close(ended)
	}()
	tr.awaitEvents(ledger.Start)
	cancel()
	<-ended
	tr.awaitEvents(ledger.Start, ledger.Cancel)
}

func TestCancelByIDEndsOneCall(t *testing.T) {
	tr := newTrial(t)
	tr.conditions.Set(upstream.Control{Hang: true})
	ended := make(chan struct{})
	go func() {
		_, _, _ = tr.post(t.Context(), upstream.Call{ID: "r/s/1"})
		close(ended)
	}()
	tr.awaitEvents(ledger.Start)
	for id, want := range map[string]int{"other": http.StatusNotFound, "r/s/1": http.StatusOK} {
		response, err := http.Post(tr.url+"/v1/cancel", "application/json", strings.NewReader(`{"id":"`+id+`"}`))
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, want)
	}
	<-ended
	tr.awaitEvents(ledger.Start, ledger.Cancel)
}

func TestStoppingUpstreamRefuses(t *testing.T) {
	tr := newTrial(t)
	tr.server.Refuse()
	status, _, err := tr.post(t.Context(), upstream.Call{ID: "r/s/1"})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusConflict)
	tr.awaitEvents()
}

func TestPlainServiceTakesNoOrders(t *testing.T) {
	tr := newTrial(t)
	response, err := http.Post(tr.url+"/v1/orders", "application/json", strings.NewReader(`{"fencing":1}`))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}
