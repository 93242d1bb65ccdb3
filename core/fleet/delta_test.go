package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawList draws a list from few names, so that two lists have many hosts in common.
func drawList(t *rapid.T, version uint64) List {
	list := List{Version: version}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 20), 0, 15, rapid.ID).Draw(t, "hosts") {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("h", i), Leaving: rapid.Bool().Draw(t, "leaving")})
	}
	return list.Sorted()
}

func TestADeltaLeadsToTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawList(t, 1), drawList(t, 2)
		assert.DeepEqual(t, from.Apply(Between(from, to)), to)
		assert.DeepEqual(t, from.Apply(Between(List{}, to)), to)
	})
}

func TestADeltaHoldsOnlyWhatChanged(t *testing.T) {
	from := List{Version: 1, Hosts: []Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	to := List{Version: 2, Hosts: []Host{{Name: "a"}, {Name: "b", Leaving: true}}}
	assert.DeepEqual(t, Between(from, to), Delta{Version: 2, Base: 1, Changed: []Host{{Name: "b", Leaving: true}}, Removed: []string{"c"}})
}
