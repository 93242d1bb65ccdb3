package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestASilentWorkerKeepsItsConnectionsOpen guards against a stand-in that shows a crash in place of silence: one that
// ends a response before the caller disconnects.
func TestASilentWorkerKeepsItsConnectionsOpen(t *testing.T) {
	for sent, faults := range map[string]Faults{"": {Silent: 1}, "id: 1\ndata: r 1\n\n": {Stalled: 1}} {
		synctest.Test(t, func(t *testing.T) {
			w := &Worker{ID: "e", Kind: Engine, Events: 5, faults: faults}
			ctx, disconnect := context.WithCancel(t.Context())
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", http.NoBody)
			request.Header.Set("X-Attempt-Id", "r")
			out, ended := httptest.NewRecorder(), false
			go func() {
				defer func() { ended = recover() == http.ErrAbortHandler }()
				w.ServeHTTP(out, request)
			}()
			synctest.Wait()
			assert.Assert(t, !ended)
			assert.Equal(t, out.Body.String(), sent)
			assert.Equal(t, len(w.Runs()), 1)
			disconnect()
			synctest.Wait()
			assert.Assert(t, ended)
			assert.Equal(t, out.Body.String(), sent)
		})
	}
}
