// Package relay decides which entries relay the platform's state to the rest of
// the fleet, and whom each process asks for it. Every process decides from its
// own copy of the host list; lists that differ for a while cost a detour at most.
package relay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/fleet"
)

// Relays returns the relays of every zone: of its entries that are not leaving
// the perZone ones that score highest for the zone. One that comes or goes
// changes at most one relay of its zone. The order is by zone, then score.
func Relays(hosts []fleet.Host, perZone int) []fleet.Host {
	entries := liveEntries(hosts)
	slices.SortFunc(entries, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), compareScores(a.Zone, a.Name, b.Name))
	})
	var relays []fleet.Host
	inZone := 0
	for i, host := range entries {
		if i > 0 && entries[i-1].Zone != host.Zone {
			inZone = 0
		}
		if inZone < perZone {
			relays = append(relays, host)
		}
		inZone++
	}
	return relays
}

// IsRelay tells whether the entry is one of the relays.
func IsRelay(name string, hosts []fleet.Host, perZone int) bool {
	return slices.ContainsFunc(Relays(hosts, perZone), func(h fleet.Host) bool { return h.Name == name })
}

// Subscriber is a process that looks for a relay.
type Subscriber struct {
	Name, Zone, Region string
}

// Order returns whom the subscriber asks, the best first: relays before other
// entries, among these its own zone before its region before the rest, among
// these by its own rendezvous scores, so that subscribers spread evenly and move
// evenly when a relay goes. The subscriber itself is left out.
func (s Subscriber) Order(hosts []fleet.Host, perZone int) []fleet.Host {
	relays := map[string]bool{}
	for _, host := range Relays(hosts, perZone) {
		relays[host.Name] = true
	}
	order := slices.DeleteFunc(liveEntries(hosts), func(h fleet.Host) bool { return h.Name == s.Name })
	slices.SortFunc(order, func(a, b fleet.Host) int {
		return cmp.Or(
			cmp.Compare(distance(relays[a.Name], s.farness(a)), distance(relays[b.Name], s.farness(b))),
			compareScores(s.Name, a.Name, b.Name))
	})
	return order
}

// farness is 0 in the subscriber's zone, 1 in its region, 2 elsewhere.
func (s Subscriber) farness(h fleet.Host) int {
	switch {
	case h.Zone == s.Zone:
		return 0
	case h.Region == s.Region:
		return 1
	}
	return 2
}

// distance orders relays before others, then by farness.
func distance(isRelay bool, farness int) int {
	if isRelay {
		return farness
	}
	return farness + 3
}

// liveEntries returns the entries that are not leaving.
func liveEntries(hosts []fleet.Host) []fleet.Host {
	var entries []fleet.Host
	for _, host := range hosts {
		if host.Role == fleet.RoleEntry && !host.Leaving {
			entries = append(entries, host)
		}
	}
	return entries
}

// compareScores orders two hosts by their rendezvous scores for a key, the
// highest first, and by name if these are equal.
func compareScores(key, a, b string) int {
	return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
}

// score is the rendezvous hash of a host for a key.
func score(key, host string) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	hash := xxhash.New()
	_, _ = hash.Write(length[:])  // a hash takes every byte
	_, _ = hash.WriteString(key)  // a hash takes every byte
	_, _ = hash.WriteString(host) // a hash takes every byte
	return hash.Sum64()
}
