package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// metadata is what the store keeps with an object's content.
type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object for the operator or a worker.
func (s *store) put(kind, name string, spec any) {
	content, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, content)
}

// write stores an object and records the change. s.mu must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	old, known := s.kinds[kind][name]
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if known {
		o.Metadata.Created = old.Metadata.Created
	}
	s.kinds[kind][name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

// record appends a change and wakes the watches. s.mu must be held.
func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseInt(query.Get("revision"), 10, 64)
		s.delete(w, parts[0], parts[1], revision)
	default:
		s.change(w, r, parts)
	}
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	content, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// list returns all objects of a kind in one page.
func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

// watch returns the changes of a kind after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

// get returns one object.
func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

// delete removes an object, under a condition if a revision is given.
func (s *store) delete(w http.ResponseWriter, kind, name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	switch {
	case !known:
		reply(w, http.StatusNotFound, map[string]any{})
		return
	case revision != 0 && revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
	reply(w, http.StatusOK, o)
}

// change creates or replaces an object.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.kinds[parts[0]][body.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !known:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodPut && body.Metadata.Revision != 0 && body.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		reply(w, http.StatusOK, s.write(parts[0], body.Metadata.Name, body.Spec))
	}
}
