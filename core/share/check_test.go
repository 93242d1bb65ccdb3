package share_test

import (
	"strconv"
	"strings"
)

// partBound returns the largest bound, over all host lists, of the part in a home's key.
// The division into parts depends on the regions in the host list.
func (cl *cluster) partBound(key string) int {
	part, _ := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	largest := 0
	for gone := range entries + 1 {
		homes := views[gone][0]
		if part < homes.Parts(cl.bound) {
			largest = max(largest, homes.PartBound(cl.bound, part))
		}
	}
	return largest
}

// checkBounds fails the run if a bound is exceeded now.
func (cl *cluster) checkBounds() {
	running, localTotal := 0, 0
	byHome, localByEntry := map[string]int{}, map[int]int{}
	for _, r := range cl.requests {
		if !r.running {
			continue
		}
		running++
		if r.local {
			if !r.crashed {
				localByEntry[r.entry]++
			}
			localTotal++
		} else {
			byHome[r.grantedBy]++
		}
	}
	for key, count := range byHome {
		if bound := cl.partBound(key); count > bound {
			cl.fail("%d requests run with a bound of %d by permits of %s", count, bound, key)
		}
	}
	for entry, count := range localByEntry {
		if count > max((cl.bound+entries-2)/(entries-1), 1) {
			cl.fail("%d locally admitted requests run at entry %d", count, entry)
		}
	}
	if !cl.faulty && running > cl.bound {
		cl.fail("%d requests run without any fault, the bound is %d", running, cl.bound)
	}
	if running > cl.bound*len(byHome)+localTotal {
		cl.fail("%d requests run, the bound is %d: %d homes granted permits, %d requests were admitted locally", running, cl.bound, len(byHome), localTotal)
	}
}
