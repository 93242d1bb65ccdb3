// Package metastore is a stand-in of the platform's metadata store. It serves objects by kind
// and name over HTTP, with paged lists, watches and revisions, and injects the faults that tests
// need. It can be replaced by an older copy of itself, which begins a new era.
package metastore

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"
)

// Object is a stored object, in the form in which clients write it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the metadata of an object.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool

	kind string
}

// Store holds objects. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	events   []Event
	// forgotten is the newest revision up to which the history is gone.
	forgotten int64
	changed   chan struct{}
	faults    Faults
	calls     int
	// kindCalls counts the calls for the objects of each kind.
	kindCalls map[string]int
	// loses holds the kinds of which the next answer with changes gets lost.
	loses map[string]bool
	// era rises each time the store returns from a copy. kept is the latest copy.
	era  int64
	kept copied
}

// copied is a copy of the store's content at a revision.
type copied struct {
	revision int64
	objects  map[string]map[string]Object
	events   []Event
}

// Faults are the faults that the store injects into calls.
type Faults struct {
	// Refuse is the status with which every call fails; 0 for none.
	Refuse int
	// Silent leaves all calls without a response.
	Silent bool
	// Unheard leaves calls that begin meanwhile without a response. Watches that began before are answered
	// after it.
	Unheard bool
	// SilentKind leaves the calls for one kind of objects without a response; empty for none.
	SilentKind string
	// LoseWrites carries out writes and closes their connections without a response.
	LoseWrites bool
}

// New returns an empty Store.
func New() *Store {
	return &Store{revision: 1, era: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), kindCalls: make(map[string]int), loses: make(map[string]bool)}
}

// SetFaults replaces the faults and wakes the waiting watches, which end if calls fail now.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// Forget drops the history of all changes so far.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
	s.events = nil
	s.notifyWatches()
}

// PutForgotten writes an object as Put does and drops the history with it, so that a waiting watch
// learns only that its history is gone.
func (s *Store) PutForgotten(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: cannot encode the spec: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: content})
	s.forgotten = s.revision
	s.events = nil
}

// Era returns the number of the store's present history, which counts from 1.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy keeps a copy of the present content, for ReturnFromCopy.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = copied{revision: s.revision, objects: clonedObjects(s.objects), events: slices.Clone(s.events)}
}

// ReturnFromCopy replaces the content with the latest copy, or with nothing if there is none, and begins a
// new era. Everything written since the copy is lost, and its revisions are given out again. The calls
// in flight end without a response.
func (s *Store) ReturnFromCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = max(s.kept.revision, 1)
	s.objects = clonedObjects(s.kept.objects)
	s.events = slices.Clone(s.kept.events)
	s.forgotten = min(s.forgotten, s.revision)
	s.notifyWatches()
}

// clonedObjects returns a copy of objects by kind and name.
func clonedObjects(kinds map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		clone[kind] = maps.Clone(objects)
	}
	return clone
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CallsFor returns the number of calls for the objects of a kind so far.
func (s *Store) CallsFor(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kindCalls[kind]
}

// LoseNextAnswer makes the next answer to a watch of a kind that has changes get lost.
func (s *Store) LoseNextAnswer(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses[kind] = true
}

// losesAnswer reports whether an answer to a watch of a kind gets lost.
func (s *Store) losesAnswer(kind string, found []Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	loses := s.loses[kind] && len(found) > 0
	if loses {
		delete(s.loses, kind)
	}
	return loses
}

// notifyWatches wakes the watches that wait for a change. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object unconditionally, as the operator and the workers do, and returns its revision.
func (s *Store) Put(kind, name string, spec any) int64 {
	content, err := json.Marshal(spec)
	if err != nil {
		panic("metastore: cannot encode the spec: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: content}).Metadata.Revision
}

// PutText writes an object unconditionally whose spec is a text, which need not be what JSON decoders read.
func (s *Store) PutText(kind, name, spec string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: json.RawMessage(spec)}).Metadata.Revision
}

// Get returns an object, and false if it does not exist.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	return o, exists
}

// Remove removes an object unconditionally.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// put stores an object under the next revision. The caller holds the lock.
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
	s.notifyWatches()
	return o
}

// remove removes an object. The caller holds the lock.
func (s *Store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.events = append(s.events, Event{Object: o, Deleted: true, kind: kind})
	s.notifyWatches()
}

// pageSize is the maximum number of objects of a page; small, so that tests see several pages.
const pageSize = 3

// list returns one page of the objects of a kind, those with names after the given one, and the current
// revision of the store; more is set if further objects follow.
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

// eventsSince returns the events of a kind after a revision, and the current revision of the store;
// gone is set if the history does not reach back that far, or the store does not have the revision. The channel is closed at the next change.
func (s *Store) eventsSince(kind string, revision int64) (found []Event, current int64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.events {
		if event.kind == kind && event.Object.Metadata.Revision > revision {
			found = append(found, event)
		}
	}
	return found, s.revision, revision < s.forgotten || revision > s.revision, s.changed
}

// watch waits for events of a kind until ctx ends, and returns them as eventsSince does. It returns
// early if the history is gone, calls fail or the era in which the call began has ended.
func (s *Store) watch(ctx context.Context, kind string, revision, era int64) ([]Event, int64, bool) {
	for {
		found, current, gone, changed := s.eventsSince(kind, revision)
		if gone || len(found) > 0 || s.faulty() || s.Era() != era {
			return found, current, gone
		}
		select {
		case <-ctx.Done():
			return nil, current, false
		case <-changed:
		}
	}
}

// faulty reports whether calls fail now.
func (s *Store) faulty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Refuse != 0 || s.faults.Silent
}

// awaitHeard waits until calls are heard again or ctx ends.
func (s *Store) awaitHeard(ctx context.Context) {
	for {
		s.mu.Lock()
		unheard, changed := s.faults.Unheard, s.changed
		s.mu.Unlock()
		if !unheard {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// silent reports whether calls get no response now.
func (s *Store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent
}
