package harness

import (
	"encoding/json"
	"os"
	"time"

	"acaciawinch/standin/hostlist"
)

// Scope is a set of what an availability zone can be partitioned from.
type Scope int

// The scopes.
const (
	// OtherZones are the hosts of all other zones.
	OtherZones Scope = 1 << iota
	// HostList is the platform's host list.
	HostList
	// ObjectAPI is the platform's object API.
	ObjectAPI
)

// Everything is all of it.
const Everything = OtherZones | HostList | ObjectAPI

// Partition is how a zone is partitioned.
type Partition int

// The partitions.
const (
	// Refused breaks the zone's connections, and new ones as they come.
	Refused Partition = iota
	// Lost loses every byte both ways and keeps the connections open.
	Lost
	// InboundLost loses what is sent to the zone, OutboundLost what the zone sends.
	InboundLost
	OutboundLost
	// Slowed holds up every piece both ways.
	Slowed
)

// slowedBy is how long Slowed holds up each piece.
const slowedBy = 100 * time.Millisecond

// zoneLink is a relay between a zone and something outside of it.
type zoneLink struct {
	*Relay
	scope Scope
	// from is the zone of who dials; to is that of who is dialled, empty for the
	// platform.
	from, to string
	// host is who is dialled, own its own address and seen that of the relay.
	host, own, seen string
}

// joins tells whether the link is one of the zone's within the scope.
func (l zoneLink) joins(zone string, scope Scope) bool {
	return l.scope&scope != 0 && (l.from == zone || l.to == zone)
}

// partition partitions the zone at this link.
func (l zoneLink) partition(zone string, how Partition) {
	in, out := FromTarget, ToTarget
	if l.to == zone {
		in, out = out, in
	}
	switch how {
	case Refused:
		l.Cut()
	case Slowed:
		l.Delay(slowedBy)
	case InboundLost:
		l.Silence(in)
	case OutboundLost:
		l.Silence(out)
	case Lost:
		l.Silence(in)
		l.Silence(out)
	}
}

// PartitionZone cuts a zone off from what the scope names. Needs Relays.Zones.
func (f *Fleet) PartitionZone(zone string, scope Scope, how Partition) {
	for _, link := range f.linksOf(zone, scope) {
		link.partition(zone, how)
	}
}

// HealZone ends all partitions of a zone.
func (f *Fleet) HealZone(zone string) {
	for _, link := range f.linksOf(zone, Everything) {
		link.Heal()
	}
}

// linksOf returns the zone's links within the scope.
func (f *Fleet) linksOf(zone string, scope Scope) []zoneLink {
	var found []zoneLink
	for _, link := range f.zoneLinks {
		if link.joins(zone, scope) {
			found = append(found, link)
		}
	}
	return found
}

// Views returns the host list's views of all zones: how each reaches the hosts
// of the others.
func (f *Fleet) Views() []hostlist.View {
	var views []hostlist.View
	for _, zone := range f.Options.Deployment.Zones {
		view := hostlist.View{Zone: zone}
		for _, link := range f.zoneLinks {
			if link.from == zone && link.scope == OtherZones {
				view.Addresses = append(view.Addresses, hostlist.Address{Host: link.host, Addr: link.seen, Own: link.own})
			}
		}
		views = append(views, view)
	}
	return views
}

// prepareZones puts a relay between each zone and the host list at address.
func (f *Fleet) prepareZones(hosts string) error {
	if !f.Options.Relays.Zones {
		return nil
	}
	f.Hosts.args = append(f.Hosts.args, "--views", f.settingsPath("views.json"))
	for _, zone := range f.Options.Deployment.Zones {
		if err := f.linkZone(zoneLink{scope: HostList, from: zone, own: hosts}); err != nil {
			return err
		}
	}
	return nil
}

// hostsFor returns the host list's URL for the processes of a zone.
func (f *Fleet) hostsFor(zone string) string {
	for _, link := range f.zoneLinks {
		if link.from == zone && link.scope == HostList {
			return "http://" + link.seen + hostlist.ViewPath(zone)
		}
	}
	return f.hostsURL
}

// linkZone starts the relay of a link.
func (f *Fleet) linkZone(link zoneLink) error {
	var err error
	if link.Relay, link.seen, err = f.relay(true, link.own); err != nil {
		return err
	}
	f.zoneLinks = append(f.zoneLinks, link)
	return nil
}

// linkZones puts a relay between each zone and each host of another one, and
// takes in those between the processes and the object API.
func (f *Fleet) linkZones() error {
	if !f.Options.Relays.Zones {
		return nil
	}
	for _, zone := range f.Options.Deployment.Zones {
		for _, host := range f.HostList().Hosts {
			if host.Zone == zone {
				continue
			}
			link := zoneLink{scope: OtherZones, from: zone, to: host.Zone, host: host.Name, own: host.Addr}
			if err := f.linkZone(link); err != nil {
				return err
			}
		}
	}
	for i, e := range f.Options.Deployment.EntryList() {
		f.zoneLinks = append(f.zoneLinks, storeLink(f.Entries[i].Objects, e.Zone))
	}
	for _, u := range f.Upstreams {
		f.zoneLinks = append(f.zoneLinks, storeLink(u.Objects, u.Zone))
	}
	return nil
}

// storeLink is the way from one process to the object API.
func storeLink(relay *Relay, zone string) zoneLink {
	return zoneLink{Relay: relay, scope: ObjectAPI, from: zone}
}

// writeViews writes the views of the host list.
func (f *Fleet) writeViews() error {
	if !f.Options.Relays.Zones {
		return nil
	}
	data, err := json.MarshalIndent(f.Views(), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsPath("views.json"), data, 0o600)
}
