package admit

import (
	"acaciawinch/core/fleet"
)

// Share returns this entry's part of a workspace's bound: the bound split
// evenly over the live entries of the host list, the remainder to the first by
// name. It is at least 1, so a bound below the number of entries holds as one
// request per entry. A bound of zero means none.
func Share(bound int, self string, hosts []fleet.Host) int {
	if bound <= 0 {
		return 0
	}
	entries, rank := 0, 0
	for _, h := range hosts {
		if h.Role != fleet.RoleEntry || h.Leaving {
			continue
		}
		entries++
		if h.Name < self {
			rank++
		}
	}
	if entries == 0 {
		return bound
	}
	share := bound / entries
	if rank < bound%entries {
		share++
	}
	return max(share, 1)
}
