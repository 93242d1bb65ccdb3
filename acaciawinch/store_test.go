package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// fakeStore serves the object API from memory.
type fakeStore struct {
	mu      sync.Mutex
	values  map[string][]byte
	version map[string]uint64
	// loseHeadResponse drops the response to the next write of the head, after the
	// write took effect; dropHeadRequest drops the write itself.
	loseHeadResponse bool
	dropHeadRequest  bool
	down             bool
	// onUnavailable, if set, is called at each call while the store is down.
	onUnavailable func()
}

// newFakeStore starts an empty store and returns it with its URL.
func newFakeStore(t *testing.T) (*fakeStore, string) {
	s := &fakeStore{values: map[string][]byte{}, version: map[string]uint64{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

// ServeHTTP implements http.Handler.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case s.down:
		if s.onUnavailable != nil {
			s.onUnavailable()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet:
		s.get(w, key)
	default:
		s.put(w, r, key)
	}
}

// get handles a read.
func (s *fakeStore) get(w http.ResponseWriter, key string) {
	if s.version[key] == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Object-Version", strconv.FormatUint(s.version[key], 10))
	_, _ = w.Write(s.values[key])
}

// put handles a conditional write.
func (s *fakeStore) put(w http.ResponseWriter, r *http.Request, key string) {
	body, _ := io.ReadAll(r.Body)
	isHead := key == "config/head"
	if isHead && s.dropHeadRequest {
		s.dropHeadRequest = false
		panic(http.ErrAbortHandler)
	}
	condition := strings.Trim(r.Header.Get("If-Match"), `"`)
	if condition != "" && condition != strconv.FormatUint(s.version[key], 10) || condition == "" && s.version[key] != 0 {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.values[key] = body
	s.version[key]++
	if isHead && s.loseHeadResponse {
		s.loseHeadResponse = false
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Object-Version", strconv.FormatUint(s.version[key], 10))
}

// update edits the store under its lock.
func (s *fakeStore) update(edit func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

// deleteBefore does the same as the cleanup of old configurations: it sets the oldest
// revision in the head and deletes the copies of earlier revisions.
func (s *fakeStore) deleteBefore(oldest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := strings.Replace(string(s.values["config/head"]), "{", "{\"oldest\":"+strconv.Itoa(oldest)+",", 1)
	s.values["config/head"] = []byte(head)
	s.version["config/head"]++
	first := config.ChangeKey(core.Revision(oldest), "")
	for key := range s.values {
		if strings.HasPrefix(key, config.ChangePrefix) && key < first {
			delete(s.values, key)
			delete(s.version, key)
		}
	}
}
