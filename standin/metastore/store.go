// Package metastore is a stand-in of the platform's metadata store: objects by kind
// and name over HTTP, with pages, watches, revisions and the faults that tests need.
package metastore

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
)

// Object is one object as it stands on the wire.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store keeps of an object.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// Event is one change.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
}

// Store holds objects. It may be used by many goroutines.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	events   []Event
	// forgotten is the newest revision of which the history is gone.
	forgotten int64
	changed   chan struct{}
	faults    Faults
	calls     int
}

// Faults are what goes wrong with calls.
type Faults struct {
	// Refuse answers each call with this status, unless it is 0.
	Refuse int
	// Silent keeps calls without an answer.
	Silent bool
	// SilentKind keeps calls for one kind of objects without an answer; empty for none.
	SilentKind string
	// LoseWrites carries writes out and ends their connections without an answer.
	LoseWrites bool
}

// New returns an empty Store.
func New() *Store {
	return &Store{revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// SetFaults replaces the faults; waiting watches end with them.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Forget drops the history up to now.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
	s.events = nil
	s.wake()
}

// PutForgotten writes an object as Put does, and drops the history with it, so that a watch
// that waits learns only that its history is gone.
func (s *Store) PutForgotten(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: a spec that can't be encoded: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: content})
	s.forgotten = s.revision
	s.events = nil
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake ends the waits of watches. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object as the operator or a worker does, without a condition.
func (s *Store) Put(kind, name string, spec any) int64 {
	content, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: a spec that can't be encoded: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: content}).Metadata.Revision
}

// Remove removes an object as its writer does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// put stores an object under the next revision. The lock is held.
func (s *Store) put(kind string, o Object) Object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	o.Metadata.Created = s.revision
	if old, exists := s.objects[kind][o.Metadata.Name]; exists {
		o.Metadata.Created = old.Metadata.Created
	}
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, Event{Object: o, kind: kind})
	s.wake()
	return o
}

// remove removes an object. The lock is held.
func (s *Store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, Event{Object: o, Deleted: true, kind: kind})
	s.wake()
}

// pageSize is how many objects one page holds; small, so that tests see several.
const pageSize = 3

// list returns one page of a kind.
func (s *Store) list(kind, after string) (items []Object, more bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more = len(names) > pageSize
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	return items, more, s.revision
}

// since returns the events of a kind after a revision; gone is set if the history does
// not reach back. Changed is closed at the next change.
func (s *Store) since(kind string, revision int64) (found []Event, at int64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.events {
		if event.kind == kind && event.Object.Metadata.Revision > revision {
			found = append(found, event)
		}
	}
	return found, s.revision, revision < s.forgotten, s.changed
}

// watch waits for events of a kind until ctx ends.
func (s *Store) watch(ctx context.Context, kind string, revision int64) ([]Event, int64, bool) {
	for {
		found, at, gone, changed := s.since(kind, revision)
		if gone || len(found) > 0 || s.faulty() {
			return found, at, gone
		}
		select {
		case <-ctx.Done():
			return nil, at, false
		case <-changed:
		}
	}
}

// faulty tells whether calls fail now.
func (s *Store) faulty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Refuse != 0 || s.faults.Silent
}

// silent tells whether calls get no answer now.
func (s *Store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent
}
