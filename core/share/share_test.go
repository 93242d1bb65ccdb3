package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
	"acaciawinch/core/share"
)

// TestPartsAddUp grants exactly the bound over all of its parts.
func TestPartsAddUp(t *testing.T) {
	hosts := []fleet.Host{{Name: "u", Role: fleet.RoleUpstream}, {Name: "gone", Role: fleet.RoleEntry, Leaving: true}}
	for i := range 5 {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry})
	}
	homes := share.NewHomes(hosts, "")
	assert.Equal(t, homes.Len(), 5)
	now := time.Unix(1000, 0)
	for _, bound := range []int{1, 31, 64, 70, 400, 2001} {
		ledgers := make(map[string]*share.Ledger)
		asker := share.NewAsker()
		for i := range bound + 1 {
			search, step := asker.Begin(now, homes, "w", bound, uint64(i*i))
			for step.Kind == share.StepAsk {
				ledger, ok := ledgers[step.Home.Name]
				if !ok {
					ledger = share.NewLedger()
					ledgers[step.Home.Name] = ledger
				}
				answer := ledger.Acquire(now, share.Ask{
					Workspace: "w", Part: step.Part, Bound: step.Bound, Permit: share.PermitID(i + 1), Life: time.Second,
				})
				step = search.Answered(now, answer)
			}
			assert.Equal(t, step.Kind == share.StepGranted, i < bound, "request %d of %d", i, bound)
		}
	}
}

// TestAHomeThatGoesMovesOnlyItsOwn removes one of twenty homes.
func TestAHomeThatGoesMovesOnlyItsOwn(t *testing.T) {
	var hosts []fleet.Host
	for i := range 20 {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry})
	}
	before, after := share.NewHomes(hosts, ""), share.NewHomes(hosts[1:], "")
	led := 0
	for i := range 2000 {
		workspace := fmt.Sprint("w", i)
		old, now := before.Of(workspace, 0), after.Of(workspace, 0)
		if old[0].Name != "e0" {
			assert.Equal(t, now[0].Name, old[0].Name)
			continue
		}
		led++
		assert.Equal(t, now[0].Name, old[1].Name, "the deputy does not follow")
	}
	assert.Assert(t, led > 50 && led < 200, "e0 led %d of 2000", led)
}

// TestACutOffRegionAgrees takes one of three regions away: after a few silences all
// entries of the region ask the same home, one of their own.
func TestACutOffRegionAgrees(t *testing.T) {
	var hosts []fleet.Host
	for i := range 30 {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry, Region: fmt.Sprint(i % 3)})
	}
	homes := share.NewHomes(hosts, "0")
	one, two := share.NewAsker(), share.NewAsker()
	now := time.Unix(1000, 0)
	for i := range 50 {
		workspace := fmt.Sprint("w", i)
		a, b := findHome(now, one, homes, workspace), findHome(now, two, homes, workspace)
		if i >= 4 { // by then two homes of each lost region were silent
			assert.Equal(t, a.Region, "0")
			assert.Equal(t, a.Name, b.Name)
		}
	}
}

// findHome returns the home that answers an entry of region 0, empty if none does.
func findHome(now time.Time, asker *share.Asker, homes *share.Homes, workspace string) share.Home {
	search, step := asker.Begin(now, homes, workspace, 1, 0)
	for step.Kind == share.StepAsk {
		if step.Home.Region == "0" {
			return step.Home
		}
		step = search.Silent(now)
	}
	return share.Home{}
}
