package pools

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/view"
)

// upstreamList returns a snapshot with n upstreams of one service.
func upstreamList(n int) *routes.Upstreams {
	list := make([]routes.Upstream, n)
	for i := range list {
		list[i] = routes.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "enc", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
	}
	return routes.NewUpstreams(list)
}

func TestEachUpstreamBelongsToOnePart(t *testing.T) {
	for _, n := range []int{0, 1, 24, 25, maxUpstreamsPerPart, maxUpstreamsPerPart + 1, 220} {
		upstreams := upstreamList(n)
		count := partsOf(n)
		seen := map[string]int{}
		for index := range count {
			own := Part{Service: "enc", Index: index, Count: count}.of(upstreams)
			assert.Assert(t, n < 2 || len(own) > 0, "part %d of %d has no upstream", index, count)
			assert.Assert(t, len(own) <= 2*maxUpstreamsPerPart)
			for _, upstream := range own {
				seen[upstream.ID]++
			}
		}
		assert.Equal(t, len(seen), n)
		for id, times := range seen {
			assert.Equal(t, times, 1, id)
		}
	}
	assert.Equal(t, partsOf(maxUpstreamsPerPart), 1)
	assert.Equal(t, partsOf(maxUpstreamsPerPart+1), 2)
}

func TestResultsGoBackToThePartThatHasTheirUpstream(t *testing.T) {
	upstreams := upstreamList(60)
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
			assert.Assert(t, ids[handle], "%s does not belong to part %d", handle, part.Index)
			found++
		}
	}
	assert.Equal(t, found, 60)
}

// TestMemberWithTheMostCoresIsOwner: the smallest machines own pools only if there are no
// others.
func TestMemberWithTheMostCoresIsOwner(t *testing.T) {
	const key = 7
	small, large := view.Member{Name: "a", Cores: 0.1}, view.Member{Name: "b", Cores: 0.8}
	assert.Assert(t, preferredOwner(key, large, small) && !preferredOwner(key, small, large))
	equal := view.Member{Name: "c", Cores: 0.8}
	assert.Assert(t, preferredOwner(key, large, equal) != preferredOwner(key, equal, large), "exactly one of the two is preferred")
	assert.Assert(t, !preferredOwner(key, large, large))
}
