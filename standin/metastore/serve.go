package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBody bounds how much of a request body is read.
const maxBody = 2 << 20

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, found := splitPath(r.URL.Path)
	s.mu.Lock()
	s.calls++
	s.kindCalls[kind]++
	faults, era := s.faults, s.era
	s.mu.Unlock()
	w = &eraWriter{ResponseWriter: w, store: s, era: era}
	switch {
	case faults.Silent, faults.Unheard:
		hang(r)
		return
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
		return
	}
	switch {
	case faults.SilentKind != "" && kind == faults.SilentKind:
		hang(r)
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind, era)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name, faults.LoseWrites)
	}
}

// eraHeader is the header of all responses that holds the store's era.
const eraHeader = "Store-Era"

// eraWriter writes the response to a call that began in an era. If the store has returned from a copy
// since, it closes the connection instead: the content may be that of either era.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	era   int64
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if w.store.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.FormatInt(w.era, 10))
	w.ResponseWriter.WriteHeader(status)
}

// hang leaves a call without a response until its caller disconnects. The server notices the
// disconnection only after it has read the whole body.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // an incomplete body ends the call too
	<-r.Context().Done()
}

// splitPath returns the kind and the name of a path; the name is empty if the path is that of a kind.
func splitPath(path string) (kind, name string, found bool) {
	rest, found := strings.CutPrefix(path, "/objects/")
	kind, name, _ = strings.Cut(rest, "/") // without a slash there is no name
	return kind, name, found && kind != ""
}

// listResponse is the response to a list: one page of a kind.
type listResponse struct {
	Items    []Object
	HasMore  bool
	Revision int64
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Events   []Event
	Revision int64
}

// serveList handles a list.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	items, more, revision := s.list(kind, r.URL.Query().Get("after"))
	writeJSON(w, http.StatusOK, listResponse{Items: items, HasMore: more, Revision: revision})
}

// serveWatch handles a watch that began in an era.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, era int64) {
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
	found, current, gone := s.watch(ctx, kind, revision, era)
	s.awaitHeard(r.Context())
	switch {
	case s.silent(), s.losesAnswer(kind, found):
		<-r.Context().Done()
	case s.faulty():
		w.WriteHeader(http.StatusServiceUnavailable)
	case gone:
		w.WriteHeader(http.StatusGone)
	default:
		writeJSON(w, http.StatusOK, watchResponse{Events: found, Revision: current})
	}
}

// serveGet handles a read of one object.
func (s *Store) serveGet(w http.ResponseWriter, kind, name string) {
	o, exists := s.Get(kind, name)
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// serveWrite handles a write; if lose is set, the write is carried out and its response is lost.
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
	writeJSON(w, status, o)
}

// write carries out a write and returns the status of the response and the object.
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
		condition, _ = strconv.ParseInt(text, 10, 64) // on an error 0, which is the revision of no object
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

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, status int, content encoded) {
	var text bytes.Buffer
	content.appendTo(&text)
	text.WriteString("\n")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text.Bytes()) // a caller that has disconnected needs no response
}
