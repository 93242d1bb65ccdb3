// Package relay decides which entries relay the platform's state to the other
// processes of the fleet, and to which entries each process subscribes for it. Every
// process decides from its own copy of the host list. While the copies differ, an
// update may at worst take a longer path.
package relay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/fleet"
)

// Relays returns the relays of every zone: those perZone entries that have the highest
// rendezvous scores for the zone and are not leaving. An entry that joins or leaves changes
// at most one relay of its zone. The result is ordered by zone, then by score.
func Relays(hosts []fleet.Host, perZone int) []fleet.Host {
	entries := activeEntries(hosts)
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

// IsRelay reports whether the entry with the given name is a relay.
func IsRelay(name string, hosts []fleet.Host, perZone int) bool {
	return slices.ContainsFunc(Relays(hosts, perZone), func(h fleet.Host) bool { return h.Name == name })
}

// Subscriber is a process that needs a relay.
type Subscriber struct {
	Name, Zone, Region string
}

// Order returns the entries to which the subscriber may subscribe, best first. Relays come
// before other entries; within these, entries of its zone come before those of its region
// and all others. Ties are ordered by the rendezvous scores for the subscriber's name, so
// that subscribers spread evenly over the relays, and those of a relay that leaves spread
// evenly over the remaining ones. The subscriber itself is left out.
func (s Subscriber) Order(hosts []fleet.Host, perZone int) []fleet.Host {
	relays := map[string]bool{}
	for _, host := range Relays(hosts, perZone) {
		relays[host.Name] = true
	}
	order := slices.DeleteFunc(activeEntries(hosts), func(h fleet.Host) bool { return h.Name == s.Name })
	slices.SortFunc(order, func(a, b fleet.Host) int {
		return cmp.Or(
			cmp.Compare(preference(relays[a.Name], s.zoneDistance(a)), preference(relays[b.Name], s.zoneDistance(b))),
			compareScores(s.Name, a.Name, b.Name))
	})
	return order
}

// zoneDistance returns 0 for a host in the subscriber's zone, 1 in its region, 2 elsewhere.
func (s Subscriber) zoneDistance(h fleet.Host) int {
	switch {
	case h.Zone == s.Zone:
		return 0
	case h.Region == s.Region:
		return 1
	}
	return 2
}

// preference returns the sort key of an entry: relays before others, then by zone distance.
func preference(isRelay bool, zoneDistance int) int {
	if isRelay {
		return zoneDistance
	}
	return zoneDistance + 3
}

// activeEntries returns the entries that are not leaving.
func activeEntries(hosts []fleet.Host) []fleet.Host {
	var entries []fleet.Host
	for _, host := range hosts {
		if host.Role == fleet.RoleEntry && !host.Leaving {
			entries = append(entries, host)
		}
	}
	return entries
}

// compareScores compares two hosts by their rendezvous scores for a key, highest first,
// then by name.
func compareScores(key, a, b string) int {
	return cmp.Or(cmp.Compare(score(key, b), score(key, a)), cmp.Compare(a, b))
}

// score returns the rendezvous score of a host for a key.
func score(key, host string) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key)))
	hash := xxhash.New()
	_, _ = hash.Write(length[:])  // hash writes never fail
	_, _ = hash.WriteString(key)  // hash writes never fail
	_, _ = hash.WriteString(host) // hash writes never fail
	return hash.Sum64()
}
