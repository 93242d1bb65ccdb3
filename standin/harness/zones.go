package harness

import (
	"encoding/json"
	"os"
	"time"

	"acaciawinch/standin/hostlist"
)

// Scope is a set of targets from which an availability zone can be partitioned.
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

// Everything is the set of all scopes.
const Everything = OtherZones | HostList | ObjectAPI

// Partition is the kind of a partition: what happens to the connections of the zone.
type Partition int

// The partitions.
const (
	// Refused closes the zone's connections, and new ones as they are accepted.
	Refused Partition = iota
	// Lost drops all bytes in both directions and keeps the connections open.
	Lost
	// InboundLost drops the bytes sent to the zone, OutboundLost those sent by it.
	InboundLost
	OutboundLost
	// Slowed delays the data in both directions.
	Slowed
)

// slowedDelay is the delay that Slowed adds to each chunk of data.
const slowedDelay = 100 * time.Millisecond

// zoneLink is a relay between a zone and a target outside of the zone.
type zoneLink struct {
	*Relay
	scope Scope
	// from is the zone of the dialing process, to the zone of the target host; to is
	// empty if the target is the platform.
	from, to string
	// host is the name of the target host, empty for the platform. targetAddr is the
	// target's own address, relayAddr that of the relay.
	host, targetAddr, relayAddr string
}

// matches reports whether the scope contains the link's target and the link starts or ends in the
// zone.
func (l zoneLink) matches(zone string, scope Scope) bool {
	return l.scope&scope != 0 && (l.from == zone || l.to == zone)
}

// partition applies a partition of the zone to this link.
func (l zoneLink) partition(zone string, kind Partition) {
	inbound, outbound := FromTarget, ToTarget
	if l.to == zone {
		inbound, outbound = outbound, inbound
	}
	switch kind {
	case Refused:
		l.Cut()
	case Slowed:
		l.Delay(slowedDelay)
	case InboundLost:
		l.Silence(inbound)
	case OutboundLost:
		l.Silence(outbound)
	case Lost:
		l.Silence(inbound)
		l.Silence(outbound)
	}
}

// PartitionZone partitions a zone from the targets of the scope. It requires
// Relays.Zones.
func (f *Fleet) PartitionZone(zone string, scope Scope, kind Partition) {
	for _, link := range f.linksOf(zone, scope) {
		link.partition(zone, kind)
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
		if link.matches(zone, scope) {
			found = append(found, link)
		}
	}
	return found
}

// Views returns the host list's views of all zones: the relay addresses at which each
// zone reaches the hosts of the others.
func (f *Fleet) Views() []hostlist.View {
	var views []hostlist.View
	for _, zone := range f.Options.Deployment.Zones {
		view := hostlist.View{Zone: zone}
		for _, link := range f.zoneLinks {
			if link.from == zone && link.scope == OtherZones {
				view.Addresses = append(view.Addresses, hostlist.Address{Host: link.host, Addr: link.relayAddr, HostAddr: link.targetAddr})
			}
		}
		views = append(views, view)
	}
	return views
}

// prepareViews makes the host list serve views and starts a relay to it, at the address hosts,
// from each zone. It does nothing unless Relays.Zones is set.
func (f *Fleet) prepareViews(hosts string) error {
	if !f.Options.Relays.Zones {
		return nil
	}
	f.Hosts.args = append(f.Hosts.args, "--views", f.settingsPath("views.json"))
	for _, zone := range f.Options.Deployment.Zones {
		if err := f.addZoneLink(zoneLink{scope: HostList, from: zone, targetAddr: hosts}); err != nil {
			return err
		}
	}
	return nil
}

// hostListURL returns the host list's URL for the processes of a zone: that of the zone's
// view if Relays.Zones is set.
func (f *Fleet) hostListURL(zone string) string {
	for _, link := range f.zoneLinks {
		if link.from == zone && link.scope == HostList {
			return "http://" + link.relayAddr + hostlist.ViewPath(zone)
		}
	}
	return f.hostsURL
}

// addZoneLink starts the relay of a link and records the link.
func (f *Fleet) addZoneLink(link zoneLink) error {
	var err error
	if link.Relay, link.relayAddr, err = f.startRelay(true, link.targetAddr); err != nil {
		return err
	}
	f.zoneLinks = append(f.zoneLinks, link)
	return nil
}

// addZoneLinks starts a relay from each zone to each host of the other zones, and adds
// the existing relays from the processes to the object API.
func (f *Fleet) addZoneLinks() error {
	if !f.Options.Relays.Zones {
		return nil
	}
	for _, zone := range f.Options.Deployment.Zones {
		for _, host := range f.HostList().Hosts {
			if host.Zone == zone {
				continue
			}
			link := zoneLink{scope: OtherZones, from: zone, to: host.Zone, host: host.Name, targetAddr: host.Addr}
			if err := f.addZoneLink(link); err != nil {
				return err
			}
		}
	}
	for i, e := range f.Options.Deployment.EntryList() {
		f.zoneLinks = append(f.zoneLinks, objectAPILink(f.Entries[i].Objects, e.Zone))
	}
	for _, u := range f.Upstreams {
		f.zoneLinks = append(f.zoneLinks, objectAPILink(u.Objects, u.Zone))
	}
	return nil
}

// objectAPILink returns the link for the relay from one process to the object API.
func objectAPILink(relay *Relay, zone string) zoneLink {
	return zoneLink{Relay: relay, scope: ObjectAPI, from: zone}
}

// writeViews writes the host list's views if Relays.Zones is set.
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
