// Package objectstore is a small stand-in of the platform's object API: versions,
// conditional updates and watches, with a switch for outage, slowness and
// answers that are lost after the write took effect.
package objectstore

import (
	"sort"
	"strings"
	"sync"
)

// Limits of the stand-in.
const (
	maxValueBytes = 1 << 20
	maxListLimit  = 1000
	keptChanges   = 1 << 16
)

// Object is one value with its version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Change is one write or deletion.
type Change struct {
	Object
	Deleted bool `json:"deleted"`
}

// WatchResult answers one watch call.
type WatchResult struct {
	Changes []Change `json:"changes"`
	Next    uint64   `json:"next"`
	Reset   bool     `json:"reset"`
}

// Store holds the objects in memory. A single sequence numbers all writes, so a
// key's versions rise also over a deletion. It may be used by many goroutines.
type Store struct {
	mu       sync.Mutex
	objects  map[string]Object
	sequence uint64
	// changes holds the last keptChanges changes in order.
	changes []Change
	// changed is closed at the next change and then replaced.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	// The sequence begins at 1: cursor 0 asks a watch for the present cursor.
	return &Store{objects: map[string]Object{}, sequence: 1, changed: make(chan struct{})}
}

// Get returns the object at key.
func (s *Store) Get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// Put writes value if the object's version equals version, where 0 means that
// the key must not exist. It returns the new version, or false.
func (s *Store) Put(key string, value []byte, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return 0, false
	}
	s.sequence++
	object := Object{Key: key, Version: s.sequence, Value: value}
	s.objects[key] = object
	s.note(Change{Object: object})
	return s.sequence, true
}

// Delete removes the object if it exists with the given version.
func (s *Store) Delete(key string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok || object.Version != version {
		return false
	}
	s.sequence++
	delete(s.objects, key)
	s.note(Change{Object: Object{Key: key, Version: s.sequence}, Deleted: true})
	return true
}

// note records a change and wakes the watches. The caller holds mu.
func (s *Store) note(change Change) {
	s.changes = append(s.changes, change)
	if len(s.changes) > keptChanges {
		s.changes = append([]Change(nil), s.changes[keptChanges/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns at most limit objects below prefix, in order of key, from after
// the key after.
func (s *Store) List(prefix, after string, limit int) []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Object{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit <= 0 || limit > maxListLimit {
		limit = maxListLimit
	}
	return found[:min(limit, len(found))]
}

// Since returns the changes below prefix behind cursor, and a channel that is
// closed at the next change of any key. Cursor 0 returns no change but the
// present cursor.
func (s *Store) Since(prefix string, cursor uint64) (WatchResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := WatchResult{Changes: []Change{}, Next: s.sequence}
	if cursor == 0 {
		return result, s.changed
	}
	if cursor > s.sequence || s.oldest() > cursor+1 {
		result.Reset = true
		return result, s.changed
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > cursor })
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			result.Changes = append(result.Changes, change)
		}
	}
	return result, s.changed
}

// oldest returns the version of the oldest change kept. The caller holds mu.
func (s *Store) oldest() uint64 {
	if len(s.changes) == 0 {
		return s.sequence + 1
	}
	return s.changes[0].Version
}
