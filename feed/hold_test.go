package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
)

// TestWhatAProcessHoldsOnlyRises brings versions of everything in any order, and
// checks that the state that others see is the newest brought so far.
func TestWhatAProcessHoldsOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feed := New(Options{Role: fleet.RoleEntry, Timing: fastTiming})
		feed.takeConfig(config.Empty(), "first")
		feed.takeHosts(fleet.List{}, "first")
		feed.begin("first")
		var newest [3]uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			kind, version := rapid.IntRange(0, 2).Draw(t, "kind"), rapid.Uint64Range(0, 12).Draw(t, "version")
			bring(feed, kind, version)
			newest[kind] = max(newest[kind], version)
			state := feed.State()
			_, placed := state.Placement()
			assert.Equal(t, [3]uint64{uint64(state.Revision), state.HostsVersion(), placed}, newest)
			assert.Equal(t, state.Drained("u"), newest[0] > 0, "the content is not that of the revision")
		}
	})
}

// bring brings one version of the configuration, the host list or the placement.
func bring(feed *Feed, kind int, version uint64) {
	switch kind {
	case 0:
		drained := config.Change{}
		if version > 0 {
			drained.Drain = []string{"u"}
		}
		feed.takeConfig(config.Empty().Change(drained, core.Revision(version), ""), "any")
	case 1:
		feed.takeHosts(fleet.List{Version: version}, "any")
	case 2:
		feed.takePlacement(placement.Plan{}, version, "any")
	}
}

func TestWaitsGrowAreBoundedAndDiffer(t *testing.T) {
	feed := New(Options{Seed: 1})
	seen := map[int64]bool{}
	for failures := 1; failures < 20; failures++ {
		whole := doubled(defaultTiming.FirstWait, failures-1, defaultTiming.LongestWait)
		assert.Assert(t, whole <= defaultTiming.LongestWait)
		wait := feed.backoff(failures)
		assert.Assert(t, wait >= whole/2 && wait <= whole, "%v of %v", wait, whole)
		seen[int64(wait)] = true
	}
	assert.Assert(t, len(seen) > 15, "the waits don't differ")
}

func TestAHostListThatChangesIsReadLessOften(t *testing.T) {
	hosts := &fakeHosts{}
	feed := New(Options{Role: fleet.RoleEntry, Hosts: hosts, Timing: Timing{HostsPoll: time.Second}})
	longest := func() time.Duration {
		last := feed.listed.Load()
		assert.NilError(t, feed.readHosts(t.Context()))
		return feed.hostsWait(last)
	}
	for range 2 {
		hosts.set([]fleet.Host{{Name: "a"}})
		assert.Equal(t, longest(), 2*time.Second)
		assert.Equal(t, longest(), time.Second)
	}
	// What another relay brought makes no difference: the platform is read whole.
	hosts.set([]fleet.Host{{Name: "b"}})
	feed.takeHosts(fleet.List{Version: 3, Hosts: []fleet.Host{{Name: "b"}}}, "e0")
	assert.Equal(t, longest(), 2*time.Second)
}
