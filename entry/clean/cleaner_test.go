package clean

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/platform/objects"
)

// memory is an object API in memory.
type memory struct {
	mu       sync.Mutex
	objects  map[string]objects.Object
	sequence uint64
	// down makes every call fail.
	down bool
}

// errDown is the error of a store that is down.
var errDown = fault.New(fault.Unavailable, "objects", "", "down")

// Get implements objects.API.
func (m *memory) Get(_ context.Context, key string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, found := m.objects[key]
	switch {
	case m.down:
		return object, errDown
	case !found:
		return object, fault.New(fault.NotFound, "objects.get", "", "%s", key)
	}
	return object, nil
}

// put writes an object if it has the version.
func (m *memory) put(key string, value []byte, version uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errDown
	}
	if m.objects[key].Version != version {
		return 0, fault.New(fault.Conflict, "objects.put", "", "%s", key)
	}
	m.sequence++
	m.objects[key] = objects.Object{Key: key, Value: value, Version: m.sequence}
	return m.sequence, nil
}

// Create implements objects.API.
func (m *memory) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return m.put(key, value, 0)
}

// Update implements objects.API.
func (m *memory) Update(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	return m.put(key, value, version)
}

// Delete implements objects.API.
func (m *memory) Delete(_ context.Context, key string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != version {
		return fault.New(fault.Conflict, "objects.delete", "", "%s", key)
	}
	delete(m.objects, key)
	return nil
}

// List implements objects.API.
func (m *memory) List(_ context.Context, prefix, after string, limit int) ([]objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []objects.Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b objects.Object) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))], nil
}

// Watch implements objects.API.
func (m *memory) Watch(ctx context.Context, _ string, _ uint64) (objects.WatchResult, error) {
	<-ctx.Done()
	return objects.WatchResult{}, ctx.Err()
}

// change accepts one change of a drained upstream.
func (m *memory) change(t *testing.T, number int) {
	upstream := fmt.Sprint("u", number)
	machine := accept.New(accept.Request{ChangeID: upstream, Change: config.Change{Drain: []string{upstream}}})
	for {
		result, ended := machine.Result()
		if ended {
			assert.Equal(t, result.Outcome, accept.Accepted)
			return
		}
		action := machine.Next()
		var reply accept.Reply
		var object objects.Object
		var err error
		if action.Kind == accept.ActionGet {
			object, err = m.Get(context.Background(), action.Key)
		} else {
			object.Version, err = m.put(action.Key, action.Value, action.Version)
		}
		reply.Value, reply.Version = object.Value, object.Version
		if err != nil {
			reply.Code = fault.CodeOf(err)
		}
		machine.Handle(reply)
	}
}

// count returns how many objects there are below a prefix.
func (m *memory) count(prefix string) int {
	listed, _ := m.List(context.Background(), prefix, "", len(m.objects))
	return len(listed)
}

// entries returns a host list of entries.
func entries(names ...string) []fleet.Host {
	var hosts []fleet.Host
	for _, name := range names {
		hosts = append(hosts, fleet.Host{Name: name, Role: fleet.RoleEntry})
	}
	return hosts
}

// cleaner returns a Cleaner of a store, and its log.
func cleaner(t *testing.T, store *memory, self string, hosts []fleet.Host) (*Cleaner, *bytes.Buffer) {
	var text bytes.Buffer
	log, err := observe.NewLogger(&text, self, "info")
	assert.NilError(t, err)
	return New(Options{
		Self: self, Objects: store, Log: log, Rate: rate.Inf,
		Settings: Settings{Revisions: 100, Hours: 1},
		Hosts:    func() []fleet.Host { return hosts },
	}), &text
}

func TestAPassKeepsTheSettingsNumberOfRevisions(t *testing.T) {
	store := &memory{objects: map[string]objects.Object{}}
	for i := range 130 {
		store.change(t, i)
	}
	c, log := cleaner(t, store, "e", entries("e"))
	assert.Assert(t, c.pass(context.Background()))
	assert.Equal(t, store.count(config.ChangePrefix), 100)
	assert.Equal(t, store.count(config.PartPrefix), 100)
	assert.Assert(t, strings.Contains(log.String(), "5012"), log)
	store.change(t, 130)
}

func TestAPassBehindAnOutageIsUnfinished(t *testing.T) {
	store := &memory{objects: map[string]objects.Object{}, down: true}
	c, log := cleaner(t, store, "e", entries("e"))
	assert.Assert(t, !c.pass(context.Background()))
	assert.Assert(t, strings.Contains(log.String(), "5013"), log)
}

func TestOneEntryCleans(t *testing.T) {
	hosts := entries("a", "b", "c", "d")
	hosts = append(hosts, fleet.Host{Name: "u", Role: fleet.RoleUpstream})
	owner := ""
	for _, host := range hosts {
		c, _ := cleaner(t, nil, host.Name, hosts)
		if c.owns() {
			assert.Equal(t, owner, "", "two entries clean")
			owner = host.Name
		}
	}
	assert.Assert(t, owner != "" && owner != "u")
	for i := range hosts {
		hosts[i].Leaving = hosts[i].Name == owner
	}
	c, _ := cleaner(t, nil, owner, hosts)
	assert.Assert(t, !c.owns(), "an entry that is leaving cleans")
	c, _ = cleaner(t, nil, "a", nil)
	assert.Assert(t, !c.owns(), "an entry without a host list cleans")
}

func TestAllIsKeptIfTheSettingsSaySo(t *testing.T) {
	c, _ := cleaner(t, nil, "e", entries("e"))
	c.options.Settings.Revisions = 0
	assert.NilError(t, c.Run(context.Background()))
}

func TestSettingsOutOfRangeAreRefused(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Revisions = 99 },
		func(s *Settings) { s.Revisions = -1 },
		func(s *Settings) { s.Revisions = maxRevisions + 1 },
		func(s *Settings) { s.Hours = -1 },
		func(s *Settings) { s.FirstPassSeconds = 0 },
		func(s *Settings) { s.FirstPassSeconds = maxFirstPassSeconds + 1 },
		func(s *Settings) { s.CallsPerSecond = 0 },
		func(s *Settings) { s.CallsPerSecond = maxCallsPerSecond + 1 },
	} {
		bad := DefaultSettings()
		change(&bad)
		assert.Assert(t, bad.Validate() != nil, "%+v", bad)
	}
	assert.NilError(t, DefaultSettings().Validate())
	assert.Equal(t, DefaultSettings().policy().Age, defaultHours*time.Hour)
}
