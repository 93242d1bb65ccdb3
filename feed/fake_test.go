package feed

import (
	"context"
	"strings"
	"sync"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/platform/objects"
)

// fakeStore is an in-memory object API that can be made unavailable.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]objects.Object
	log     []objects.Change
	down    bool
	changed *signal
	waiting int
}

var _ objects.API = (*fakeStore)(nil)

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]objects.Object{}, changed: newSignal()}
}

// setDown makes all calls fail if down is true, and succeed if not.
func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.changed.send()
}

// errDown is the error of every call during an outage.
var errDown = fault.New(fault.Unavailable, "fake.store", "", "down")

// Get implements objects.API.
func (s *fakeStore) Get(_ context.Context, key string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Object{}, errDown
	}
	object, found := s.objects[key]
	if !found {
		return object, fault.New(fault.NotFound, "fake.get", "", "%s", key)
	}
	return object, nil
}

// put writes an object without a version check.
func (s *fakeStore) put(key string, value []byte) {
	s.mu.Lock()
	object := objects.Object{Key: key, Value: value, Version: uint64(len(s.log) + 1)}
	s.objects[key] = object
	s.log = append(s.log, objects.Change{Object: object})
	s.mu.Unlock()
	s.changed.send()
}

// Create implements objects.API. The feed never writes.
func (s *fakeStore) Create(context.Context, string, []byte) (uint64, error) { panic("a write") }

// Update implements objects.API.
func (s *fakeStore) Update(context.Context, string, []byte, uint64) (uint64, error) {
	panic("a write")
}

// Delete implements objects.API.
func (s *fakeStore) Delete(context.Context, string, uint64) error { panic("a write") }

// List implements objects.API.
func (s *fakeStore) List(context.Context, string, string, int) ([]objects.Object, error) {
	panic("a list")
}

// Watch implements objects.API. A cursor is one more than the length of the log.
func (s *fakeStore) Watch(ctx context.Context, prefix string, cursor uint64) (objects.WatchResult, error) {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		changed := s.changed.wait()
		result, done, err := s.since(prefix, cursor)
		if err != nil || done {
			return result, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objects.WatchResult{}, fault.Wrap(fault.Cancelled, "fake.watch", "", ctx.Err())
		}
	}
}

// addWaiting adds change to the number of waiting watches.
func (s *fakeStore) addWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
}

// watches returns the number of waiting watches.
func (s *fakeStore) watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// since returns the changes from a cursor on, and whether the watch call returns now.
func (s *fakeStore) since(prefix string, cursor uint64) (objects.WatchResult, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.WatchResult{}, true, errDown
	}
	result := objects.WatchResult{Next: uint64(len(s.log) + 1)}
	if cursor == 0 {
		return result, true, nil
	}
	for _, change := range s.log[cursor-1:] {
		if strings.HasPrefix(change.Key, prefix) {
			result.Changes = append(result.Changes, change)
		}
	}
	return result, len(result.Changes) > 0, nil
}

// fakeHosts is a host list that can be made unavailable.
type fakeHosts struct {
	mu   sync.Mutex
	list fleet.List
	down bool
}

// List implements hosts.Lister.
func (h *fakeHosts) List(context.Context) (fleet.List, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return fleet.List{}, errDown
	}
	return h.list, nil
}

// set replaces the hosts of the list and increments its version.
func (h *fakeHosts) set(hosts []fleet.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = fleet.List{Version: h.list.Version + 1, Hosts: hosts}
}
