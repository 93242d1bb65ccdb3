// Package objectstore is a small stand-in for the platform's object API: versions,
// conditional updates and watches. Its fault switches simulate outages, delays and
// responses that are lost after the write took effect.
package objectstore

import (
	"sort"
	"strings"
	"sync"
)

// Limits on the size of a value, of a list and of the history of changes.
const (
	maxValueBytes = 1 << 20
	maxListLimit  = 1000
	maxChanges    = 1 << 16
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

// WatchResult is the response to one watch call. Reset means that the store can't
// return all changes after the cursor, so that the caller has to list the objects.
type WatchResult struct {
	Changes []Change `json:"changes"`
	Next    uint64   `json:"next"`
	Reset   bool     `json:"reset"`
}

// Store holds the objects in memory. All writes share one version counter, so the
// versions of a key also increase across a deletion. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	objects     map[string]Object
	lastVersion uint64
	// changes holds the latest changes in order, at most maxChanges of them.
	changes []Change
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	// Versions begin after 1, because a watch with cursor 0 requests the current
	// cursor.
	return &Store{objects: map[string]Object{}, lastVersion: 1, changed: make(chan struct{})}
}

// Get returns the object at key.
func (s *Store) Get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// Put writes value if the object's version equals version, where 0 means that
// the key must not exist. It returns the new version, or false if the condition
// failed.
func (s *Store) Put(key string, value []byte, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return 0, false
	}
	s.lastVersion++
	object := Object{Key: key, Version: s.lastVersion, Value: value}
	s.objects[key] = object
	s.recordChange(Change{Object: object})
	return s.lastVersion, true
}

// Delete removes the object if it exists with the given version, and reports
// whether it did.
func (s *Store) Delete(key string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok || object.Version != version {
		return false
	}
	s.lastVersion++
	delete(s.objects, key)
	s.recordChange(Change{Object: Object{Key: key, Version: s.lastVersion}, Deleted: true})
	return true
}

// recordChange records a change and wakes the watches. The caller holds mu.
func (s *Store) recordChange(change Change) {
	s.changes = append(s.changes, change)
	if len(s.changes) > maxChanges {
		s.changes = append([]Change(nil), s.changes[maxChanges/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects whose keys have prefix and sort after the key after, in
// key order and at most limit of them.
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

// Since returns the changes after cursor of the keys with prefix, and a channel
// that is closed at the next change of any key. For cursor 0 it returns no changes,
// only the current cursor.
func (s *Store) Since(prefix string, cursor uint64) (WatchResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := WatchResult{Changes: []Change{}, Next: s.lastVersion}
	if cursor == 0 {
		return result, s.changed
	}
	if cursor > s.lastVersion || s.oldest() > cursor+1 {
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

// oldest returns the version of the oldest change that is kept, or the next version
// if there is none. The caller holds mu.
func (s *Store) oldest() uint64 {
	if len(s.changes) == 0 {
		return s.lastVersion + 1
	}
	return s.changes[0].Version
}
