package pools

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/view"
)

// many returns a snapshot with n upstreams of one service.
func many(n int) *routes.Upstreams {
	list := make([]routes.Upstream, n)
	for i := range list {
		list[i] = routes.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "enc", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
	}
	return routes.NewUpstreams(list)
}

func TestEachUpstreamBelongsToOnePart(t *testing.T) {
	for _, n := range []int{0, 1, 24, 25, partUpstreams, partUpstreams + 1, 220} {
		upstreams := many(n)
		count := partsOf(n)
		seen := map[string]int{}
		for index := range count {
			own := Part{Service: "enc", Index: index, Count: count}.of(upstreams)
			assert.Assert(t, n < 2 || len(own) > 0, "part %d of %d has no upstream", index, count)
			assert.Assert(t, len(own) <= 2*partUpstreams)
			for _, upstream := range own {
				seen[upstream.ID]++
			}
		}
		assert.Equal(t, len(seen), n)
		for id, times := range seen {
			assert.Equal(t, times, 1, id)
		}
	}
	assert.Equal(t, partsOf(partUpstreams), 1)
	assert.Equal(t, partsOf(partUpstreams+1), 2)
}

func TestResultsGoBackToThePartThatHasTheirUpstream(t *testing.T) {
	upstreams := many(60)
	var handles []string
	for _, upstream := range upstreams.Of("enc") {
		handles = append(handles, upstream.Address+"/1")
	}
	found := 0
	for part, own := range byPart(upstreams, "enc", handles) {
		ids := map[string]bool{}
		for _, upstream := range part.of(upstreams) {
			ids[upstream.Address+"/1"] = true
		}
		for _, handle := range own {
			assert.Assert(t, ids[handle], "%s is not of part %d", handle, part.Index)
			found++
		}
	}
	assert.Equal(t, found, 60)
}

// TestTheProcessWithTheMostCoresOwns: the smallest machines own pools only if there are no
// others.
func TestTheProcessWithTheMostCoresOwns(t *testing.T) {
	const key = 7
	small, large := view.Member{Name: "a", Cores: 0.1}, view.Member{Name: "b", Cores: 0.8}
	assert.Assert(t, ownsBefore(key, large, small) && !ownsBefore(key, small, large))
	alike := view.Member{Name: "c", Cores: 0.8}
	assert.Assert(t, ownsBefore(key, large, alike) != ownsBefore(key, alike, large), "one of the two owns")
	assert.Assert(t, !ownsBefore(key, large, large))
}
