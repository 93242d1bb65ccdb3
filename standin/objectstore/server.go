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

// Default and maximum of the timeout of a watch call.
const (
	defaultWatchTimeout = 30 * time.Second
	maxWatchTimeout     = 60 * time.Second
)

// versionHeader is the response header that carries an object's version.
const versionHeader = "Object-Version"

// Server serves the object API over HTTP.
type Server struct {
	store  *Store
	faults *faults
	mux    *http.ServeMux
}

// NewServer returns a Server with an empty store.
func NewServer(limits Limits) *Server {
	s := &Server{store: NewStore(), faults: newFaults(), mux: http.NewServeMux()}
	reads := newLimiter(limits.ReadsPerSecond)
	writes := newLimiter(limits.WritesPerSecond)
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.withFaults(reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.withFaults(writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.withFaults(writes, s.delete))
	s.mux.HandleFunc("GET /v1/list", s.withFaults(reads, s.list))
	s.mux.HandleFunc("GET /v1/watch", s.withFaults(reads, s.watch))
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /control/stats", s.stats)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stop ends the watches in progress, so that a planned stop need not wait for them.
func (s *Server) Stop() { s.faults.set(Control{Down: true}) }

// withFaults adds the delay, the outage and the rate limit to a handler.
func (s *Server) withFaults(rateLimit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !sleep(r.Context(), s.faults.delay()) {
			return
		}
		if s.faults.down() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if rateLimit != nil && !rateLimit.Allow() {
			s.faults.count(func(c *Stats) { c.Limited++ })
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// sleep waits for delay. It returns false if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
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

// get handles GET /v1/objects/{key}.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Reads++ })
	object, ok := s.store.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatUint(object.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value) // a disconnected caller needs no response
}

// put handles PUT /v1/objects/{key}.
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
	version, written := s.store.Put(r.PathValue("key"), value, expected)
	if !written {
		http.Error(w, "condition failed", http.StatusPreconditionFailed)
		return
	}
	s.respondToWrite(w, version)
}

// delete handles DELETE /v1/objects/{key}.
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
	s.respondToWrite(w, 0)
}

// respondToWrite sends the response to a write that took effect, or closes the
// connection instead if LoseResponses is above 0. A version of 0 is left out.
func (s *Server) respondToWrite(w http.ResponseWriter, version uint64) {
	if s.faults.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	if version != 0 {
		w.Header().Set(versionHeader, strconv.FormatUint(version, 10))
	}
	w.WriteHeader(http.StatusOK)
}

// expectedVersion returns the version that the request's condition names, where 0
// means that the key must not exist. It returns false if there is no valid condition.
func expectedVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil && version > 0
}

// list handles GET /v1/list.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.faults.count(func(c *Stats) { c.Reads++ })
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	objects := s.store.List(query.Get("prefix"), query.Get("after"), limit)
	jsonhttp.Write(w, http.StatusOK, listResponse{Objects: objects})
}

// listResponse is the response to GET /v1/list.
type listResponse struct {
	Objects []Object `json:"objects"`
}

// watch handles GET /v1/watch: it waits for a change of a key with the prefix.
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
	result, outage := s.awaitChange(ctx, query.Get("prefix"), cursor)
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	jsonhttp.Write(w, http.StatusOK, result)
}

// watchTimeout parses the requested timeout of a watch and limits it to the maximum.
func watchTimeout(text string) time.Duration {
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 {
		return defaultWatchTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)
}

// awaitChange returns when there is a change after cursor or when ctx ends. It
// returns true if an outage ended the wait.
func (s *Server) awaitChange(ctx context.Context, prefix string, cursor uint64) (WatchResult, bool) {
	outage := s.faults.outageStarted()
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

// control handles POST /control.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var control Control
	if jsonhttp.Read(w, r, &control) {
		s.faults.set(control)
	}
}

// stats handles GET /control/stats.
func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.faults.snapshot())
}
