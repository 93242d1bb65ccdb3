package share_test

import (
	"strconv"
	"strings"
)

// partBound returns the bound of the part that a home's key names. While host lists
// differ in their regions, parts differ too.
func (w *world) partBound(key string) int {
	part, _ := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	most := 0
	for gone := range entries + 1 {
		homes := views[gone][0]
		if part < homes.Parts(w.bound) {
			most = max(most, homes.PartBound(w.bound, part))
		}
	}
	return most
}

// check checks the bounds at this moment.
func (w *world) check() {
	running, aloneAll := 0, 0
	by, alone := map[string]int{}, map[int]int{}
	for _, c := range w.calls {
		if !c.runs {
			continue
		}
		running++
		if c.alone {
			if !c.dead {
				alone[c.at]++
			}
			aloneAll++
		} else {
			by[c.grantedBy]++
		}
	}
	for key, count := range by {
		if bound := w.partBound(key); count > bound {
			w.fail("%d of %d run by %s", count, bound, key)
		}
	}
	for at, count := range alone {
		if count > max((w.bound+entries-2)/(entries-1), 1) {
			w.fail("%d run alone at %d", count, at)
		}
	}
	if !w.faulty && running > w.bound {
		w.fail("%d of %d run without any fault", running, w.bound)
	}
	if running > w.bound*len(by)+aloneAll {
		w.fail("%d of %d run by %d homes and %d alone", running, w.bound, len(by), aloneAll)
	}
}
