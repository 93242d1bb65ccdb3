package view

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
)

// objectStore is a store with at most one object, following the published protocol of the platform's
// store.
type objectStore struct {
	t  *testing.T
	mu sync.Mutex
	// revision is that of the object, 0 if there is none.
	revision    int64
	incarnation string
}

// storedMember is a gateway's object on the wire.
type storedMember struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec memberSpec `json:"spec"`
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored storedMember
	stored.Metadata.Name, stored.Metadata.Revision, stored.Spec.Incarnation = "self", s.revision, s.incarnation
	condition, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case s.revision == 0:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete && condition != s.revision:
		w.WriteHeader(http.StatusConflict)
	case r.Method == http.MethodDelete:
		s.revision = 0
	}
	assert.Check(s.t, json.NewEncoder(w).Encode(stored))
}

// newRegisteredView returns a View of the incarnation "own" whose object had a revision when it was
// written, 0 if that is not known, and whose store holds an object.
func newRegisteredView(t *testing.T, written int64, holds *objectStore) *View {
	t.Helper()
	server := httptest.NewServer(holds)
	t.Cleanup(server.Close)
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	v := New(Options{Logger: logger, Self: Member{Name: "self", Incarnation: "own"},
		Store: StoreOptions{Store: strings.TrimPrefix(server.URL, "http://"), ConfirmWithin: 4500 * time.Millisecond}})
	v.ownRevision.Store(written)
	return v
}

// TestAStoppingGatewayRemovesItsOwnObjectAtAnotherRevision: a store that returned from a copy may hold the
// object at a revision that the gateway does not know.
func TestAStoppingGatewayRemovesItsOwnObjectAtAnotherRevision(t *testing.T) {
	for _, written := range []int64{0, 5, 7} {
		holds := &objectStore{t: t, revision: 7, incarnation: "own"}
		newRegisteredView(t, written, holds).Leave(t.Context())
		assert.Equal(t, holds.revision, int64(0), "written at %d", written)
	}
}

// TestAStoppingGatewayKeepsTheObjectOfItsSuccessor: the others would send the successor no work.
func TestAStoppingGatewayKeepsTheObjectOfItsSuccessor(t *testing.T) {
	for _, written := range []int64{0, 5} {
		holds := &objectStore{t: t, revision: 7, incarnation: "successor"}
		newRegisteredView(t, written, holds).Leave(t.Context())
		assert.Equal(t, holds.revision, int64(7), "written at %d", written)
	}
}
