package metastore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestASilentCallEndsWithItsCaller: also that of a write, whose body nobody needs.
func TestASilentCallEndsWithItsCaller(t *testing.T) {
	store := New()
	store.SetFaults(Faults{Silent: true})
	came, ended := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(came)
		defer close(ended)
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-came
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/objects/k", strings.NewReader(`{"metadata":{"name":"n"}}`))
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}
