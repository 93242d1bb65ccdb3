package clean

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
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
	"acaciawinch/platform/objects/memory"
)

// store is an object API in memory. Its reads fail while down is set.
type store struct {
	*memory.Store
	down bool
}

// newStore returns an empty store.
func newStore() *store { return &store{Store: memory.New()} }

// Get implements objects.API.
func (s *store) Get(ctx context.Context, key string) (objects.Object, error) {
	if s.down {
		return objects.Object{}, fault.New(fault.Unavailable, "test.store", "", "down")
	}
	return s.Store.Get(ctx, key)
}

// change adds a configuration change that drains an upstream.
func (s *store) change(t *testing.T, number int) {
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
			object, err = s.Get(context.Background(), action.Key)
		} else {
			object.Version, err = s.Update(context.Background(), action.Key, action.Value, action.Version)
		}
		reply.Value, reply.Version = object.Value, object.Version
		if err != nil {
			reply.Code = fault.CodeOf(err)
		}
		machine.Handle(reply)
	}
}

// count returns the number of objects whose keys have a prefix.
func (s *store) count(prefix string) int {
	listed, _ := s.List(context.Background(), prefix, "", math.MaxInt)
	return len(listed)
}

// entries returns a host list of entries with the given names.
func entries(names ...string) []fleet.Host {
	var hosts []fleet.Host
	for _, name := range names {
		hosts = append(hosts, fleet.Host{Name: name, Role: fleet.RoleEntry})
	}
	return hosts
}

// cleaner returns a Cleaner of a store, and the buffer that its log is written to.
func cleaner(t *testing.T, store *store, self string, hosts []fleet.Host) (*Cleaner, *bytes.Buffer) {
	var text bytes.Buffer
	log, err := observe.NewLogger(&text, self, "info")
	assert.NilError(t, err)
	return New(Options{
		Self: self, Objects: store, Log: log, Rate: rate.Inf,
		Settings: Settings{Revisions: 100, Hours: 1},
		Hosts:    func() []fleet.Host { return hosts },
	}), &text
}

func TestPassKeepsTheConfiguredNumberOfRevisions(t *testing.T) {
	store := newStore()
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

func TestPassDuringAnOutageIsUnfinished(t *testing.T) {
	store := newStore()
	store.down = true
	c, log := cleaner(t, store, "e", entries("e"))
	assert.Assert(t, !c.pass(context.Background()))
	assert.Assert(t, strings.Contains(log.String(), "5013"), log)
}

func TestExactlyOneEntryOwnsTheCleaning(t *testing.T) {
	hosts := entries("a", "b", "c", "d")
	hosts = append(hosts, fleet.Host{Name: "u", Role: fleet.RoleUpstream})
	owner := ""
	for _, host := range hosts {
		c, _ := cleaner(t, nil, host.Name, hosts)
		if c.isOwner() {
			assert.Equal(t, owner, "", "two entries are owners")
			owner = host.Name
		}
	}
	assert.Assert(t, owner != "" && owner != "u")
	for i := range hosts {
		hosts[i].Leaving = hosts[i].Name == owner
	}
	c, _ := cleaner(t, nil, owner, hosts)
	assert.Assert(t, !c.isOwner(), "an entry that is leaving is the owner")
	c, _ = cleaner(t, nil, "a", nil)
	assert.Assert(t, !c.isOwner(), "an entry without a host list is the owner")
}

// TestUnknownHostListIsCheckedAgainSoon checks that an entry that has no host list yet
// does not wait for a whole passInterval before it tries again.
func TestUnknownHostListIsCheckedAgainSoon(t *testing.T) {
	c, _ := cleaner(t, newStore(), "e", nil)
	c.options.Settings.FirstPassSeconds = 7
	assert.Equal(t, c.passIfOwner(context.Background()), 7*time.Second)
	c.options.Hosts = func() []fleet.Host { return entries("another") }
	assert.Equal(t, c.passIfOwner(context.Background()), passInterval)
	c.options.Hosts = func() []fleet.Host { return entries("e") }
	assert.Equal(t, c.passIfOwner(context.Background()), passInterval)
}

func TestZeroRevisionsKeepsAll(t *testing.T) {
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
