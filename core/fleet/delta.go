package fleet

import (
	"cmp"
	"slices"
)

// Delta brings a process from one version of the host list to a later one.
type Delta struct {
	Version uint64
	// Base is the version that the delta starts from; 0 if the delta is the whole list.
	Base uint64
	// Changed are the hosts that are new or changed; Removed are the names of the removed ones.
	Changed []Host
	Removed []string
}

// Sorted returns the list with its hosts sorted by name.
func (l List) Sorted() List {
	hosts := slices.Clone(l.Hosts)
	slices.SortStableFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return List{Version: l.Version, Hosts: hosts}
}

// find returns the host of a name in a sorted list.
func (l List) find(name string) (Host, bool) {
	i, found := slices.BinarySearchFunc(l.Hosts, name, func(h Host, name string) int { return cmp.Compare(h.Name, name) })
	if !found {
		return Host{}, false
	}
	return l.Hosts[i], true
}

// Between returns the delta from one sorted list to another. A from list of version 0 counts as
// empty.
func Between(from, to List) Delta {
	d := Delta{Version: to.Version, Base: from.Version}
	for _, host := range to.Hosts {
		if old, found := from.find(host.Name); !found || old != host {
			d.Changed = append(d.Changed, host)
		}
	}
	for _, host := range from.Hosts {
		if _, found := to.find(host.Name); !found {
			d.Removed = append(d.Removed, host.Name)
		}
	}
	return d
}

// Apply returns the list after the delta. The version of l must be the delta's base, unless the
// delta is the whole list.
func (l List) Apply(d Delta) List {
	replaced := map[string]bool{}
	for _, name := range d.Removed {
		replaced[name] = true
	}
	for _, host := range d.Changed {
		replaced[host.Name] = true
	}
	next := List{Version: d.Version, Hosts: slices.Clone(d.Changed)}
	for _, host := range l.Hosts {
		if d.Base != 0 && !replaced[host.Name] {
			next.Hosts = append(next.Hosts, host)
		}
	}
	return next.Sorted()
}
