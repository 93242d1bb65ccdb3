package place

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/platform/objects/memory"
	"acaciawinch/wire/wirepb"
)

// quick makes rounds short. No test asserts on them.
var quick = Settings{MaxLoads: 1, ModelsPerEngine: 1, RoundMS: 10, LeaseMS: 100, GraceMS: 50, LoadMS: 60000}

// store is an object API in memory. Before is called ahead of each write and may
// block it or make it fail.
type store struct {
	*memory.Store
	mu     sync.Mutex
	before func(key string) error
	// refused gets the proposer in force when the condition of a plan did not hold,
	// unless it holds one already.
	refused chan string
}

// newStore returns an empty store.
func newStore() *store { return &store{Store: memory.New(), refused: make(chan string, 1)} }

// Create implements objects.API.
func (s *store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, value, 0)
}

// Update implements objects.API.
func (s *store) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	before := s.before
	s.mu.Unlock()
	if before != nil {
		if err := before(key); err != nil {
			return 0, err
		}
	}
	written, err := s.Store.Update(ctx, key, value, version)
	if key == placement.PlanKey && fault.Is(err, fault.Conflict) {
		s.noteRefused(s.plan().Proposer)
	}
	return written, err
}

// noteRefused notes who is in force at a refusal.
func (s *store) noteRefused(proposer string) {
	select {
	case s.refused <- proposer:
	default:
	}
}

// plan returns the plan in force.
func (s *store) plan() placement.Plan {
	var plan placement.Plan
	if object, err := s.Get(context.Background(), placement.PlanKey); err == nil {
		_ = json.Unmarshal(object.Value, &plan)
	}
	return plan
}

// fleetUnderTest is a set of engines that load what the plan tells them, each
// load taking one question, and a host list.
type fleetUnderTest struct {
	store    *store
	settings Settings
	mu       sync.Mutex
	hosts    []fleet.Host
	// silent are the engines whose sides do not answer.
	silent map[string]bool
	loaded map[string][]placement.ModelVersion
	// most is the most loads that were unfinished at once.
	most int
	// changed is closed when the hosts change.
	changed chan struct{}
}

// newFleetUnderTest returns engines of one service in two zones.
func newFleetUnderTest(engines int) *fleetUnderTest {
	f := &fleetUnderTest{
		store:    newStore(),
		silent:   make(map[string]bool),
		loaded:   make(map[string][]placement.ModelVersion),
		changed:  make(chan struct{}),
		settings: quick,
	}
	for i := range engines {
		name := fmt.Sprintf("llm-%d", i)
		f.hosts = append(f.hosts, fleet.Host{Name: name, Role: fleet.RoleUpstream, Service: "llm", Zone: fmt.Sprint(i % 2), Addr: name})
	}
	return f
}

// Probe implements Prober.
func (f *fleetUnderTest) Probe(_ context.Context, addr string, _ *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[addr] {
		return nil, fault.New(fault.Unavailable, "test.probe", addr, "")
	}
	reply := &wirepb.ProbeReply{Load: &wirepb.Load{}}
	for _, m := range f.loaded[addr] {
		reply.Load.Models = append(reply.Load.Models, &wirepb.LoadedModel{Model: m.Model, Version: m.Version})
	}
	f.load(addr)
	return reply, nil
}

// load brings an engine in line with the plan and counts unfinished loads.
func (f *fleetUnderTest) load(addr string) {
	unfinished := 0
	var own []placement.ModelVersion
	for _, a := range f.store.plan().Assignments {
		if !slices.Contains(f.loaded[string(a.Upstream)], a.Holds()) {
			unfinished++
		}
		if string(a.Upstream) == addr {
			own = append(own, a.Holds())
		}
	}
	f.most = max(f.most, unfinished)
	f.loaded[addr] = own
}

// next implements Options.Changed.
func (f *fleetUnderTest) next() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// remove takes an engine off the host list.
func (f *fleetUnderTest) remove(gone core.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.DeleteFunc(f.hosts, func(h fleet.Host) bool { return core.UpstreamID(h.Name) == gone })
	close(f.changed)
	f.changed = make(chan struct{})
}

// facts implements Options.Facts.
func (f *fleetUnderTest) facts() (Facts, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Facts{
		Revision: 1,
		Models:   []config.Model{{Name: "m", Version: "1", Service: "llm", Replicas: 3}},
		Hosts:    slices.Clone(f.hosts),
		Drained:  func(string) bool { return false },
	}, true
}

// start runs a proposer and returns how to end it.
func (f *fleetUnderTest) start(t *testing.T, name string) (stop func()) {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, name, "info")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	proposer := New(Options{Self: name, Objects: f.store, Prober: f, Log: logger, Facts: f.facts, Changed: f.next, Settings: f.settings})
	done := make(chan error, 1)
	go func() { done <- proposer.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	t.Cleanup(stop)
	return stop
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// serving tells whether all three replicas are loaded on engines that answer.
func (f *fleetUnderTest) serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, a := range f.store.plan().Assignments {
		if !f.silent[string(a.Upstream)] && slices.Contains(f.loaded[string(a.Upstream)], a.Holds()) {
			count++
		}
	}
	return count == 3
}

func TestPlacesInWavesAndReplacesASilentEngine(t *testing.T) {
	f := newFleetUnderTest(5)
	f.start(t, "entry-a")
	f.start(t, "entry-b")
	eventually(t, "three replicas serve", f.serving)
	f.mu.Lock()
	assert.Equal(t, f.most, 1, "loads at once")
	silent := f.store.plan().Assignments[0].Upstream
	f.silent[string(silent)] = true
	f.mu.Unlock()
	eventually(t, "the silent engine is replaced", f.serving)
}

func TestAnotherEntryTakesOver(t *testing.T) {
	f := newFleetUnderTest(4)
	stop := f.start(t, "entry-a")
	eventually(t, "three replicas serve", f.serving)
	f.start(t, "entry-b")
	stop()
	eventually(t, "entry-b plans", func() bool { return f.store.plan().Proposer == "entry-b" })
	gone := f.store.plan().Assignments[0].Upstream
	f.remove(gone)
	eventually(t, "the gone engine is replaced", func() bool {
		return f.serving() && f.store.plan().Assignments[0].Upstream != gone
	})
}

// TestPausedHolderWritesTooLate holds up a holder's first plan until another
// process has taken the lease and planned.
func TestPausedHolderWritesTooLate(t *testing.T) {
	f := newFleetUnderTest(4)
	paused, resume := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	f.store.before = func(key string) error {
		if key == placement.PlanKey && first.CompareAndSwap(false, true) {
			close(paused)
			<-resume
		}
		return nil
	}
	f.start(t, "entry-a")
	<-paused
	f.start(t, "entry-b")
	eventually(t, "entry-b plans", func() bool { return f.store.plan().Proposer == "entry-b" })
	close(resume)
	eventually(t, "the late plan is refused", func() bool { return len(f.store.refused) > 0 })
	// What is in force later tells nothing: either may have taken the lease anew.
	assert.Equal(t, <-f.store.refused, "entry-b")
}

// TestChangeDoesNotWaitForTheRound has rounds of a minute, so that only the
// change can be what brings the next one in time.
func TestChangeDoesNotWaitForTheRound(t *testing.T) {
	f := newFleetUnderTest(4)
	f.settings.RoundMS, f.settings.LeaseMS, f.settings.MaxLoads = 60_000, 120_000, 3
	f.start(t, "entry-a")
	eventually(t, "a plan", func() bool { return len(f.store.plan().Assignments) == 3 })
	gone := f.store.plan().Assignments[0].Upstream
	f.remove(gone)
	eventually(t, "a plan without the engine", func() bool {
		return !slices.ContainsFunc(f.store.plan().Assignments, func(a placement.Assignment) bool { return a.Upstream == gone })
	})
}

func TestStoreOutage(t *testing.T) {
	f := newFleetUnderTest(4)
	asked := make(chan struct{}, 1)
	f.store.before = func(key string) error {
		select {
		case asked <- struct{}{}:
		default:
		}
		return fault.New(fault.Unavailable, "test.update", key, "down")
	}
	f.start(t, "entry-a")
	<-asked
	<-asked
	f.store.mu.Lock()
	f.store.before = nil
	f.store.mu.Unlock()
	eventually(t, "three replicas serve", f.serving)
}

func TestSettings(t *testing.T) {
	assert.NilError(t, Settings{}.Validate())
	assert.ErrorContains(t, Settings{RoundMS: 5000, LeaseMS: 6000}.Validate(), "lease_ms")
	assert.ErrorContains(t, Settings{MaxLoads: -1}.Validate(), "max_loads")
}

// TestManyEnginesAreAskedInTurn bounds the questions of one round and asks first
// where something is unfinished.
func TestManyEnginesAreAskedInTurn(t *testing.T) {
	settings := quick
	settings.ProbesPerRound = 2
	e := newEngines(settings)
	f := newFleetUnderTest(5)
	facts, _ := f.facts()
	e.update(facts)
	asked := make(map[string]int)
	for range 5 {
		for _, host := range e.toAsk(placement.Plan{}) {
			asked[host.Name]++
			e.note(time.Duration(len(asked)), core.UpstreamID(host.Name), &wirepb.ProbeReply{})
		}
	}
	assert.Equal(t, len(asked), 5)
	unfinished := placement.Plan{Assignments: []placement.Assignment{{Upstream: "llm-4", Model: "m", Version: "1"}}}
	assert.Equal(t, e.toAsk(unfinished)[0].Name, "llm-4")
}
