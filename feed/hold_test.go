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

// TestVersionsOfTheStateOnlyIncrease applies versions of everything in random order, and
// checks that the published state always has the newest version applied so far.
func TestVersionsOfTheStateOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feed := New(Options{Role: fleet.RoleEntry, Timing: fastTiming})
		feed.applyConfig(config.Empty(), "first")
		feed.applyHosts(fleet.List{}, "first")
		feed.finishStart("first")
		var newest [3]uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			kind, version := rapid.IntRange(0, 2).Draw(t, "kind"), rapid.Uint64Range(0, 12).Draw(t, "version")
			applyVersion(feed, kind, version)
			newest[kind] = max(newest[kind], version)
			state := feed.State()
			_, placed := state.Placement()
			assert.Equal(t, [3]uint64{uint64(state.Revision), state.HostsVersion(), placed}, newest)
			assert.Equal(t, state.Drained("u"), newest[0] > 0, "the content does not match the revision")
		}
	})
}

// applyVersion applies one version of the configuration, the host list or the placement.
func applyVersion(feed *Feed, kind int, version uint64) {
	switch kind {
	case 0:
		drained := config.Change{}
		if version > 0 {
			drained.Drain = []string{"u"}
		}
		feed.applyConfig(config.Empty().Change(drained, core.Revision(version), ""), "any")
	case 1:
		feed.applyHosts(fleet.List{Version: version}, "any")
	case 2:
		feed.applyPlacement(placement.Plan{}, version, "any")
	}
}

func TestBackoffGrowsIsBoundedAndJittered(t *testing.T) {
	feed := New(Options{Seed: 1})
	seen := map[int64]bool{}
	for failures := 1; failures < 20; failures++ {
		whole := doubled(defaultTiming.MinBackoff, failures-1, defaultTiming.MaxBackoff)
		assert.Assert(t, whole <= defaultTiming.MaxBackoff)
		wait := feed.backoff(failures)
		assert.Assert(t, wait >= whole/2 && wait <= whole, "%v of %v", wait, whole)
		seen[int64(wait)] = true
	}
	assert.Assert(t, len(seen) > 15, "the backoffs are not jittered")
}

func TestAChangingHostListIsReadLessOften(t *testing.T) {
	hosts := &fakeHosts{}
	feed := New(Options{Role: fleet.RoleEntry, Hosts: hosts, Timing: Timing{HostsPollInterval: time.Second}})
	longest := func() time.Duration {
		last := feed.platformHostsVersion.Load()
		assert.NilError(t, feed.readHosts(t.Context()))
		return feed.hostsPollWait(last)
	}
	for range 2 {
		hosts.set([]fleet.Host{{Name: "a"}})
		assert.Equal(t, longest(), 2*time.Second)
		assert.Equal(t, longest(), time.Second)
	}
	// A version that another relay delivered first still counts as a change: the
	// platform returns the whole list.
	hosts.set([]fleet.Host{{Name: "b"}})
	feed.applyHosts(fleet.List{Version: 3, Hosts: []fleet.Host{{Name: "b"}}}, "e0")
	assert.Equal(t, longest(), 2*time.Second)
}
