package streamversion

import (
	"slices"
	"sort"

	"acaciawinch/core/rendezvous"
)

const (
	// Copies is how many gateways hold the record of a stream. They are of different zones where there are
	// enough, so that the loss of a zone leaves a copy.
	Copies = 3
	// Candidates is how many gateways are asked for a record: some that held it may have ended, and the lists of
	// gateways may differ.
	Candidates = 5
)

// Gateway is a gateway that may hold records.
type Gateway struct {
	Name, Incarnation, Zone string
}

// Holders returns the gateways in the order in which they hold the record of a stream. The order depends on
// the key, the names and the zones alone, so that all gateways compute the same.
func Holders(key Key, gateways []Gateway) []Gateway {
	hash := rendezvous.Hash(key.Workspace + "\x00" + key.Attempt)
	scores := make(map[string]uint64, len(gateways))
	for _, g := range gateways {
		scores[g.Name] = rendezvous.Score(hash, rendezvous.Hash(g.Name))
	}
	order := slices.Clone(gateways)
	sort.Slice(order, func(i, j int) bool { return scores[order[i].Name] > scores[order[j].Name] })
	spreadZones(order)
	return order
}

// spreadZones moves gateways of zones that have none yet to the first places.
func spreadZones(order []Gateway) {
	used := make(map[string]bool)
	for place := range min(Copies, len(order)) {
		next := slices.IndexFunc(order[place:], func(g Gateway) bool { return !used[g.Zone] })
		if next < 0 {
			return
		}
		moved := order[place+next]
		copy(order[place+1:place+next+1], order[place:place+next])
		order[place] = moved
		used[moved.Zone] = true
	}
}
