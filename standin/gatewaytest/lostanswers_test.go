package gatewaytest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"acaciawinch/standin/worker"
)

// lossyStore passes calls to a store and, while losing is set, drops the responses to watches of crash records.
type lossyStore struct {
	store  http.Handler
	losing atomic.Bool
}

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, r)
	if s.losing.Load() && strings.HasPrefix(r.URL.Path, "/objects/acaciawinch-crashes") && r.URL.Query().Has("watch") {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a caller that has disconnected needs no response
}

// TestALostAnswerDoesNotHideCrashRecords: the store's response with a record of another gateway is lost, while the
// watches of all other kinds go on.
func TestALostAnswerDoesNotHideCrashRecords(t *testing.T) {
	f := newFleet(t)
	lossy := &lossyStore{store: f.store}
	server := httptest.NewServer(lossy)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.startCrashingEngines(1)
	f.startWorker("llm-9", "llm", worker.Engine)
	f.apply(baseConfig(1))
	g1 := f.start("g1")
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.startIn("g2", "z2")
	lossy.losing.Store(true)
	for found := false; !found; {
		f.send(g1, "crash", "POST", "/strict/x", crashBody)
		lines, _ := f.log.lines("crash_found")
		found = len(lines) > 0
	}
	f.waitLines(1, "crashes_written", `"process":"g1"`)
	lossy.losing.Store(false)
	f.waitLines(1, "crashes_learned", `"process":"g2"`, `"gateway":"g1"`)
}
