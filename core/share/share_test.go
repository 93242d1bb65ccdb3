package share_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
	"acaciawinch/core/share"
)

// TestPartsAddUp checks that the parts of a bound together grant exactly the bound.
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
		client := share.NewClient()
		for i := range bound + 1 {
			search, step := client.Begin(now, homes, "w", bound, uint64(i*i))
			for step.Kind == share.StepAcquire {
				ledger, ok := ledgers[step.Home.Name]
				if !ok {
					ledger = share.NewLedger()
					ledgers[step.Home.Name] = ledger
				}
				response := ledger.Acquire(now, share.AcquireRequest{
					Workspace: "w", Part: step.Part, Bound: step.Bound, Permit: share.PermitID(i + 1), TTL: time.Second,
				})
				step = search.Responded(now, response)
			}
			assert.Equal(t, step.Kind == share.StepGranted, i < bound, "request %d of %d", i, bound)
		}
	}
}

// TestRemovedHomeMovesOnlyItsParts removes one of twenty homes: only its parts move, to
// their backups.
func TestRemovedHomeMovesOnlyItsParts(t *testing.T) {
	var hosts []fleet.Host
	for i := range 20 {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry})
	}
	before, after := share.NewHomes(hosts, ""), share.NewHomes(hosts[1:], "")
	moved := 0
	for i := range 2000 {
		workspace := fmt.Sprint("w", i)
		oldHomes, newHomes := before.Of(workspace, 0), after.Of(workspace, 0)
		if oldHomes[0].Name != "e0" {
			assert.Equal(t, newHomes[0].Name, oldHomes[0].Name)
			continue
		}
		moved++
		assert.Equal(t, newHomes[0].Name, oldHomes[1].Name, "the part did not move to its backup")
	}
	assert.Assert(t, moved > 50 && moved < 200, "e0 was the home of %d of 2000 parts", moved)
}

// TestIsolatedRegionAgreesOnHome isolates one of three regions: after a few failures all
// entries of the region request permits from the same home, which is in their region.
func TestIsolatedRegionAgreesOnHome(t *testing.T) {
	var hosts []fleet.Host
	for i := range 30 {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprint("e", i), Role: fleet.RoleEntry, Region: fmt.Sprint(i % 3)})
	}
	homes := share.NewHomes(hosts, "0")
	clientA, clientB := share.NewClient(), share.NewClient()
	now := time.Unix(1000, 0)
	for i := range 50 {
		workspace := fmt.Sprint("w", i)
		a, b := findHome(now, clientA, homes, workspace), findHome(now, clientB, homes, workspace)
		if i >= 4 { // two homes of each unreachable region have failed to respond
			assert.Equal(t, a.Region, "0")
			assert.Equal(t, a.Name, b.Name)
		}
	}
}

// findHome returns the first home in region 0 that an entry of that region queries; the
// other regions do not respond. It returns the zero Home if there is none.
func findHome(now time.Time, client *share.Client, homes *share.Homes, workspace string) share.Home {
	search, step := client.Begin(now, homes, workspace, 1, 0)
	for step.Kind == share.StepAcquire {
		if step.Home.Region == "0" {
			return step.Home
		}
		step = search.Failed(now)
	}
	return share.Home{}
}
