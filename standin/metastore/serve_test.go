package metastore

import (
	"context"
	"net/http"
	"net/http/httptest"
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
