package streamversion

import "acaciawinch/core/rendezvous"

const (
	// Copies is how many gateways hold the record of a stream. They are of different zones where there are
	// enough, so that the loss of a zone, or of all gateways but one of five, leaves a copy of most.
	Copies = 4
	// Candidates is how many gateways are asked for a record: some that held it may have ended, and the lists of
	// gateways may differ.
	Candidates = 6
)

// Gateway is a gateway that may hold records.
type Gateway struct {
	Name, Incarnation, Zone string
}

// Fleet is a list of gateways that may hold records. It is immutable.
type Fleet struct {
	gateways []Gateway
	// hashes holds the hashes of their names.
	hashes []uint64
}

// NewFleet returns the Fleet of some gateways.
func NewFleet(gateways []Gateway) Fleet {
	hashes := make([]uint64, len(gateways))
	for i, g := range gateways {
		hashes[i] = rendezvous.Hash(g.Name)
	}
	return Fleet{gateways: gateways, hashes: hashes}
}

// Candidates returns the gateways that are asked for the record of a stream, in the order in which they hold it:
// the first Copies do. The order depends on the key, the names and the zones alone, so that all gateways compute
// the same.
func (f Fleet) Candidates(key Key) []Gateway {
	hash := rendezvous.Hash(key.Workspace + "\x00" + key.Attempt)
	chosen := make([]int, 0, Candidates)
	for len(chosen) < min(Candidates, len(f.gateways)) {
		next := -1
		if len(chosen) < Copies {
			next = f.best(hash, chosen, true)
		}
		if next < 0 {
			next = f.best(hash, chosen, false)
		}
		chosen = append(chosen, next)
	}
	list := make([]Gateway, len(chosen))
	for place, index := range chosen {
		list[place] = f.gateways[index]
	}
	return list
}

// Holders returns the gateways that hold the record of a stream.
func (f Fleet) Holders(key Key) []Gateway {
	candidates := f.Candidates(key)
	return candidates[:min(Copies, len(candidates))]
}

// best returns the index of the gateway with the highest score that is not chosen yet and, if newZone is set, of a
// zone that has none; below 0 if there is none.
func (f Fleet) best(hash uint64, chosen []int, newZone bool) int {
	found, highest := -1, uint64(0)
	for i, name := range f.hashes {
		score := rendezvous.Score(hash, name)
		if (found < 0 || score > highest) && f.fits(i, chosen, newZone) {
			found, highest = i, score
		}
	}
	return found
}

// fits reports whether a gateway is not chosen yet and, if newZone is set, of a zone that has none.
func (f Fleet) fits(index int, chosen []int, newZone bool) bool {
	for _, other := range chosen {
		if other == index || newZone && f.gateways[other].Zone == f.gateways[index].Zone {
			return false
		}
	}
	return true
}
