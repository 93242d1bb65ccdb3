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

// quickSettings makes rounds short. No test depends on their exact length.
var quickSettings = Settings{MaxLoads: 1, ModelsPerEngine: 1, RoundMS: 10, LeaseMS: 100, GraceMS: 50, LoadMS: 60000}

// store is an object API in memory. beforeWrite is called before each write and may block
// it or make it fail.
type store struct {
	*memory.Store
	mu          sync.Mutex
	beforeWrite func(key string) error
	// conflicts receives the proposer of the plan in force when a write of a plan failed
	// because its version had changed, unless it already holds one.
	conflicts chan string
}

// newStore returns an empty store.
func newStore() *store { return &store{Store: memory.New(), conflicts: make(chan string, 1)} }

// Create implements objects.API.
func (s *store) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return s.Update(ctx, key, value, 0)
}

// Update implements objects.API.
func (s *store) Update(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	before := s.beforeWrite
	s.mu.Unlock()
	if before != nil {
		if err := before(key); err != nil {
			return 0, err
		}
	}
	written, err := s.Store.Update(ctx, key, value, version)
	if key == placement.PlanKey && fault.Is(err, fault.Conflict) {
		s.noteConflict(s.plan().Proposer)
	}
	return written, err
}

// noteConflict records the proposer of the plan in force at a conflict.
func (s *store) noteConflict(proposer string) {
	select {
	case s.conflicts <- proposer:
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

// testFleet is a host list and a set of engines that load the models that the plan assigns
// to them. A load takes until the next probe.
type testFleet struct {
	store    *store
	settings Settings
	mu       sync.Mutex
	hosts    []fleet.Host
	// silent are the engines whose sidecars don't respond.
	silent map[string]bool
	loaded map[string][]placement.ModelVersion
	// maxUnfinished is the highest number of loads that were unfinished at the same time.
	maxUnfinished int
	// changed is closed when the hosts change.
	changed chan struct{}
}

// newTestFleet returns a fleet whose engines belong to one service in two zones.
func newTestFleet(engines int) *testFleet {
	f := &testFleet{
		store:    newStore(),
		silent:   make(map[string]bool),
		loaded:   make(map[string][]placement.ModelVersion),
		changed:  make(chan struct{}),
		settings: quickSettings,
	}
	for i := range engines {
		name := fmt.Sprintf("llm-%d", i)
		f.hosts = append(f.hosts, fleet.Host{Name: name, Role: fleet.RoleUpstream, Service: "llm", Zone: fmt.Sprint(i % 2), Addr: name})
	}
	return f
}

// Probe implements Prober.
func (f *testFleet) Probe(_ context.Context, addr string, _ *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
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

// load makes an engine load the models of the plan and counts the unfinished loads.
func (f *testFleet) load(addr string) {
	unfinished := 0
	var own []placement.ModelVersion
	for _, a := range f.store.plan().Assignments {
		if !slices.Contains(f.loaded[string(a.Upstream)], a.Assigned()) {
			unfinished++
		}
		if string(a.Upstream) == addr {
			own = append(own, a.Assigned())
		}
	}
	f.maxUnfinished = max(f.maxUnfinished, unfinished)
	f.loaded[addr] = own
}

// nextChange implements Options.Changed.
func (f *testFleet) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// remove removes an engine from the host list.
func (f *testFleet) remove(removed core.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.DeleteFunc(f.hosts, func(h fleet.Host) bool { return core.UpstreamID(h.Name) == removed })
	close(f.changed)
	f.changed = make(chan struct{})
}

// facts implements Options.Facts.
func (f *testFleet) facts() (Facts, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Facts{
		Revision: 1,
		Models:   []config.Model{{Name: "m", Version: "1", Service: "llm", Replicas: 3}},
		Hosts:    slices.Clone(f.hosts),
		Drained:  func(string) bool { return false },
	}, true
}

// start runs a proposer and returns the function that stops it.
func (f *testFleet) start(t *testing.T, name string) (stop func()) {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, name, "info")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	proposer := New(Options{Self: name, Objects: f.store, Prober: f, Log: logger, Facts: f.facts, Changed: f.nextChange, Settings: f.settings})
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

// serving reports whether all three replicas are loaded on engines that respond.
func (f *testFleet) serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, a := range f.store.plan().Assignments {
		if !f.silent[string(a.Upstream)] && slices.Contains(f.loaded[string(a.Upstream)], a.Assigned()) {
			count++
		}
	}
	return count == 3
}

func TestLoadsOneAtATimeAndReplacesASilentEngine(t *testing.T) {
	f := newTestFleet(5)
	f.start(t, "entry-a")
	f.start(t, "entry-b")
	eventually(t, "three replicas serve", f.serving)
	f.mu.Lock()
	assert.Equal(t, f.maxUnfinished, 1, "loads at once")
	silent := f.store.plan().Assignments[0].Upstream
	f.silent[string(silent)] = true
	f.mu.Unlock()
	eventually(t, "the silent engine is replaced", f.serving)
}

func TestAnotherEntryTakesOverAReleasedLease(t *testing.T) {
	f := newTestFleet(4)
	stop := f.start(t, "entry-a")
	eventually(t, "three replicas serve", f.serving)
	f.start(t, "entry-b")
	stop()
	eventually(t, "entry-b plans", func() bool { return f.store.plan().Proposer == "entry-b" })
	removed := f.store.plan().Assignments[0].Upstream
	f.remove(removed)
	eventually(t, "the removed engine is replaced", func() bool {
		return f.serving() && f.store.plan().Assignments[0].Upstream != removed
	})
}

// TestPausedHolderWritesTooLate blocks the first plan of a holder until another process has
// taken the lease and written a plan. The late plan must not take effect.
func TestPausedHolderWritesTooLate(t *testing.T) {
	f := newTestFleet(4)
	paused, resume := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	f.store.beforeWrite = func(key string) error {
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
	eventually(t, "the late plan is not written", func() bool { return len(f.store.conflicts) > 0 })
	// The plan in force later proves nothing: either process may have taken the lease
	// again.
	assert.Equal(t, <-f.store.conflicts, "entry-b")
}

// TestChangeDoesNotWaitForTheRound uses rounds of a minute, so that only the change can
// start the next round within the time of the test.
func TestChangeDoesNotWaitForTheRound(t *testing.T) {
	f := newTestFleet(4)
	f.settings.RoundMS, f.settings.LeaseMS, f.settings.MaxLoads = 60_000, 120_000, 3
	f.start(t, "entry-a")
	eventually(t, "a plan", func() bool { return len(f.store.plan().Assignments) == 3 })
	removed := f.store.plan().Assignments[0].Upstream
	f.remove(removed)
	eventually(t, "a plan without the engine", func() bool {
		return !slices.ContainsFunc(f.store.plan().Assignments, func(a placement.Assignment) bool { return a.Upstream == removed })
	})
}

func TestStoreOutage(t *testing.T) {
	f := newTestFleet(4)
	writes := make(chan struct{}, 1)
	f.store.beforeWrite = func(key string) error {
		select {
		case writes <- struct{}{}:
		default:
		}
		return fault.New(fault.Unavailable, "test.update", key, "down")
	}
	f.start(t, "entry-a")
	<-writes
	<-writes
	f.store.mu.Lock()
	f.store.beforeWrite = nil
	f.store.mu.Unlock()
	eventually(t, "three replicas serve", f.serving)
}

func TestSettings(t *testing.T) {
	assert.NilError(t, Settings{}.Validate())
	assert.ErrorContains(t, Settings{RoundMS: 5000, LeaseMS: 6000}.Validate(), "lease_ms")
	assert.ErrorContains(t, Settings{MaxLoads: -1}.Validate(), "max_loads")
}

// TestManyEnginesAreProbedInTurn checks that the probes of one round are bounded and that
// engines with unfinished loads come first.
func TestManyEnginesAreProbedInTurn(t *testing.T) {
	settings := quickSettings
	settings.ProbesPerRound = 2
	e := newEngines(settings)
	f := newTestFleet(5)
	facts, _ := f.facts()
	e.update(facts)
	probed := make(map[string]int)
	for range 5 {
		for _, host := range e.toProbe(placement.Plan{}) {
			probed[host.Name]++
			e.recordReply(time.Duration(len(probed)), core.UpstreamID(host.Name), &wirepb.ProbeReply{})
		}
	}
	assert.Equal(t, len(probed), 5)
	unfinished := placement.Plan{Assignments: []placement.Assignment{{Upstream: "llm-4", Model: "m", Version: "1"}}}
	assert.Equal(t, e.toProbe(unfinished)[0].Name, "llm-4")
}
