package objectstore

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"acaciawinch/standin/internal/jsonhttp"
)

// Bounds of one watch's wait.
const (
	defaultWatch = 30 * time.Second
	maxWatch     = 60 * time.Second
)

// versionHeader carries an object's version.
const versionHeader = "Object-Version"

// Server speaks the object API over HTTP.
type Server struct {
	store  *Store
	faults *faults
	mux    *http.ServeMux
}

// NewServer returns a server over an empty store.
func NewServer(limits Limits) *Server {
	s := &Server{store: NewStore(), faults: newFaults(), mux: http.NewServeMux()}
	reads := limiter(limits.ReadsPerSecond)
	writes := limiter(limits.WritesPerSecond)
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.guard(reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.guard(writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.guard(writes, s.delete))
	s.mux.HandleFunc("GET /v1/list", s.guard(reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.guard(reads, s.watch))
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /control/stats", s.stats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stop ends the waiting watches, so that a planned stop need not wait for them.
func (s *Server) Stop() { s.faults.set(Control{Down: true}) }

// guard adds the delay, the outage and the bound on calls to a handler.
func (s *Server) guard(bound *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !pause(r.Context(), s.faults.delay()) {
			return
		}
		if s.faults.down() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if bound != nil && !bound.Allow() {
			s.faults.count(func(c *Stats) { c.Limited++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// pause waits for delay and tells whether ctx still lives.
func pause(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// get answers GET /v1/objects/{key}.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Reads++ })
	object, ok := s.store.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatUint(object.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value) // a caller that is gone needs no answer
}

// put answers PUT /v1/objects/{key}.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Writes++ })
	expected, ok := expectedVersion(r)
	if !ok {
		http.Error(w, `If-None-Match: * or If-Match: "N" is required`, http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(value) > maxValueBytes {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	version, done := s.store.Put(r.PathValue("key"), value, expected)
	if !done {
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return
	}
	s.answerWrite(w, version)
}

// delete answers DELETE /v1/objects/{key}.
func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Writes++ })
	expected, ok := expectedVersion(r)
	if !ok || expected == 0 {
		http.Error(w, `If-Match: "N" is required`, http.StatusBadRequest)
		return
	}
	if !s.store.Delete(r.PathValue("key"), expected) {
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return
	}
	s.answerWrite(w, 0)
}

// answerWrite answers a write that took effect, or cuts the connection instead.
func (s *Server) answerWrite(w http.ResponseWriter, version uint64) {
	if s.faults.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if version != 0 {
		w.Header().Set(versionHeader, strconv.FormatUint(version, 10))
	}
	w.WriteHeader(http.StatusOK)
}

// expectedVersion reads the condition: 0 means that the key must not exist.
func expectedVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil && version > 0
}

// list answers GET /v1/list.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Reads++ })
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	objects := s.store.List(query.Get("prefix"), query.Get("after"), limit)
	jsonhttp.Write(w, http.StatusOK, listResult{Objects: objects})
}

// listResult is the answer of GET /v1/list.
type listResult struct {
	Objects []Object `json:"objects"`
}

// watch answers GET /v1/watch: it waits for a change below the prefix.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Watches++; c.Waiting++ })
	defer s.faults.count(func(c *Stats) { c.Waiting-- })
	query := r.URL.Query()
	cursor, err := strconv.ParseUint(query.Get("cursor"), 10, 64)
	if err != nil {
		http.Error(w, "cursor must be a number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchTimeout(query.Get("timeout_ms")))
	defer cancel()
	result, outage := s.await(ctx, query.Get("prefix"), cursor)
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	jsonhttp.Write(w, http.StatusOK, result)
}

// watchTimeout bounds the wait that a watch asked for.
func watchTimeout(text string) time.Duration {
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return defaultWatch
	}
	return min(time.Duration(ms)*time.Millisecond, maxWatch)
}

// await returns at the first change behind cursor, when ctx ends, or with true
// when an outage begins.
func (s *Server) await(ctx context.Context, prefix string, cursor uint64) (WatchResult, bool) {
	outage := s.faults.outageBegins()
	for {
		result, changed := s.store.Since(prefix, cursor)
		if cursor == 0 || result.Reset || len(result.Changes) > 0 {
			return result, false
		}
		select {
		case <-changed:
		case <-outage:
			return result, true
		case <-ctx.Done():
			return result, false
		}
	}
}

// control answers POST /control.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var control Control
	if jsonhttp.Read(w, r, &control) {
		s.faults.set(control)
	}
}

// stats answers GET /control/stats.
func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.faults.snapshot())
}
