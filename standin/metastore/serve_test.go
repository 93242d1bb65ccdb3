package metastore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestASilentCallEndsWithItsCaller: a call without a response must end when its caller disconnects.
// For a write, the server notices the disconnect only once the unused body has been read.
func TestASilentCallEndsWithItsCaller(t *testing.T) {
	store := New()
	store.SetFaults(Faults{Silent: true})
	arrived, ended := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		defer close(ended)
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/objects/k", strings.NewReader(`{"metadata":{"name":"n"}}`))
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

// eraOf makes a call and returns the status and the era of its response.
func eraOf(t *testing.T, server *httptest.Server, path string) (status int, era string) {
	t.Helper()
	response, err := http.Get(server.URL + path)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, response.Header.Get(eraHeader)
}

// TestAReturnFromACopyLosesWhatWasWrittenSince: objects, revisions and history are those of the copy, the era
// rises, and a watch from a revision that the store no longer has is refused.
func TestAReturnFromACopyLosesWhatWasWrittenSince(t *testing.T) {
	store := New()
	server := httptest.NewServer(store)
	defer server.Close()
	kept := store.Put("k", "kept", 1)
	store.Copy()
	lost := store.Put("k", "lost", 1)
	store.Put("k", "kept", 2)
	_, era := eraOf(t, server, "/objects/k")
	assert.Equal(t, era, "1")

	store.ReturnFromCopy()
	status, era := eraOf(t, server, "/objects/k?wait_ms=1&watch="+strconv.FormatInt(lost, 10))
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, era, "2")
	_, exists := store.Get("k", "lost")
	assert.Assert(t, !exists)
	found, _ := store.Get("k", "kept")
	assert.Equal(t, found.Metadata.Revision, kept)
	assert.Equal(t, store.Put("k", "later", 1), lost, "a revision must be given out again")
	status, era = eraOf(t, server, "/objects/k/absent")
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, era, "2", "an error has an era too")
	store.ReturnFromCopy()
	_, exists = store.Get("k", "later")
	assert.Assert(t, !exists, "a copy serves for several returns")
	assert.Equal(t, store.Era(), int64(3))
}

// TestAWaitingWatchEndsAsTheStoreReturnsFromACopy: its response would mix two eras.
func TestAWaitingWatchEndsAsTheStoreReturnsFromACopy(t *testing.T) {
	store := New()
	server := httptest.NewServer(store)
	defer server.Close()
	store.Copy()
	ended := make(chan error, 1)
	go func() {
		response, err := http.Get(server.URL + "/objects/k?wait_ms=20000&watch=1")
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}()
	for store.Calls() == 0 {
		runtime.Gosched()
	}
	store.ReturnFromCopy()
	assert.ErrorContains(t, <-ended, "EOF")
}
