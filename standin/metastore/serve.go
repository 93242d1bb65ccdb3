package metastore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBody bounds what is read of a call.
const maxBody = 2 << 20

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.Silent:
		beSilent(r)
		return
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
		return
	}
	kind, name, found := split(r.URL.Path)
	switch {
	case faults.SilentKind != "" && kind == faults.SilentKind:
		beSilent(r)
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name, faults.LoseWrites)
	}
}

// beSilent keeps a call without an answer until its caller goes. The server sees that
// only once it has read the whole body.
func beSilent(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off ends the call too
	<-r.Context().Done()
}

// split returns the kind and the name of a path; the name is empty for a whole kind.
func split(path string) (kind, name string, found bool) {
	rest, found := strings.CutPrefix(path, "/objects/")
	kind, name, _ = strings.Cut(rest, "/") // without a slash there is no name
	return kind, name, found && kind != ""
}

// listAnswer is a page of a kind.
type listAnswer struct {
	Items    []Object `json:"items"`
	HasMore  bool     `json:"has_more"`
	Revision int64    `json:"store_revision"`
}

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	Events   []Event `json:"events"`
	Revision int64   `json:"store_revision"`
}

// serveList answers a list call.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	items, more, revision := s.list(kind, r.URL.Query().Get("after"))
	write(w, http.StatusOK, listAnswer{Items: items, HasMore: more, Revision: revision})
}

// serveWatch answers a watch.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	found, at, gone := s.watch(ctx, kind, revision)
	switch {
	case s.silent():
		<-r.Context().Done()
	case s.faulty():
		w.WriteHeader(http.StatusServiceUnavailable)
	case gone:
		w.WriteHeader(http.StatusGone)
	default:
		write(w, http.StatusOK, watchAnswer{Events: found, Revision: at})
	}
}

// serveGet answers with one object.
func (s *Store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, http.StatusOK, o)
}

// serveWrite carries out a write; with lose set its answer does not arrive.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, lose bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, o := s.write(r, body, kind, name)
	if lose {
		panic(http.ErrAbortHandler)
	}
	write(w, status, o)
}

// write carries out a write and returns its status and the object.
func (s *Store) write(r *http.Request, body []byte, kind, name string) (int, Object) {
	var sent Object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, Object{}
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64) // 0 is no object's revision
	}
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && condition != 0 && condition != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, Object{}
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	default:
		sent.Metadata.Name = name
		return http.StatusOK, s.put(kind, sent)
	}
}

// write writes an answer.
func write(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // a caller that is gone needs no answer
}
