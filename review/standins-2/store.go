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

// store is a stand-in of the platform's metadata store. It serves objects by kind and name, with
// lists, watches and conditional writes. Its responses are linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	silent   bool
	woken    chan struct{}
	listener net.Listener
}

// object is a stored object as it is sent to callers.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// metadata is what the store keeps with an object.
type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// change is one event of a watch.
type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// startStore starts a store on a free port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), woken: make(chan struct{}), listener: listener}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

// address returns the address of the store.
func (s *store) address() string { return s.listener.Addr().String() }

// silence makes the store silent or ends that. A call that arrives while the store is silent is never
// answered; one that was already waiting is answered when the silence ends.
func (s *store) silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == on {
		return
	}
	s.silent = on
	if !on {
		close(s.woken)
		s.woken = make(chan struct{})
	}
}

// put writes an object as the operator and the workers do, and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Metadata: metadata{Name: name}, Spec: content})
	return time.Now()
}

// set stores an object. s.mu must be held.
func (s *store) set(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.Metadata.Created = s.revision
	if old, exists := s.objects[kind][o.Metadata.Name]; exists {
		o.Metadata.Created = old.Metadata.Created
	}
	o.Metadata.Revision = s.revision
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	rest, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.answer(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

// list answers a list.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

// watch answers a watch as soon as there is a change, or at the end of its wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-end.C:
			over = true
		}
	}
}

// write answers a write, which is carried out if its condition holds.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseInt(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status, result := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		old.Metadata.Revision = s.revision
		s.history = append(s.history, change{Object: old, Deleted: true, kind: kind})
		close(s.changed)
		s.changed = make(chan struct{})
	default:
		sent.Metadata.Name = name
		result = s.set(kind, sent)
	}
	s.mu.Unlock()
	s.answer(w, status, result)
}

// answer writes an answer; while the store is silent, it waits for the end of that.
func (s *store) answer(w http.ResponseWriter, status int, content any) {
	s.mu.Lock()
	silent, woken := s.silent, s.woken
	s.mu.Unlock()
	if silent {
		<-woken
	}
	time.Sleep(4 * time.Millisecond) // the store takes 4 ms an answer
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}
