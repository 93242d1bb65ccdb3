package harness

import (
	"encoding/json"
	"os"
	"strings"

	"acaciawinch/core/fleet"
)

// HostList returns the host list with the current addresses of all processes.
func (f *Fleet) HostList() fleet.List {
	list := fleet.List{Version: 1}
	for i, e := range f.Options.Deployment.EntryList() {
		list.Hosts = append(list.Hosts, fleet.Host{
			Name:   e.Name,
			Role:   fleet.RoleEntry,
			Zone:   e.Zone,
			Region: f.Options.Deployment.RegionOf(e.Zone),
			Addr:   f.Entries[i].listen.fleet,
		})
	}
	for _, u := range f.Upstreams {
		list.Hosts = append(list.Hosts, fleet.Host{
			Name:    u.Name,
			Role:    fleet.RoleUpstream,
			Service: u.Group.Service,
			Zone:    u.Zone,
			Region:  f.Options.Deployment.RegionOf(u.Zone),
			Addr:    u.listen.fleet,
		})
	}
	return list
}

// writeHosts writes the initial host list and its views.
func (f *Fleet) writeHosts() error {
	data, err := json.MarshalIndent(f.HostList(), "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.settingsPath("hosts.json"), data, 0o600); err != nil {
		return err
	}
	return f.writeViews()
}

// writeCommandSettings writes the settings of the operators' command.
func (f *Fleet) writeCommandSettings() error {
	objects, err := f.intercept(LinkObjects, OperatorsCommand, strings.TrimPrefix(f.objectsURL, "http://"))
	if err != nil {
		return err
	}
	settings := commandSettings{
		Platform: platformTable{Objects: "http://" + objects, Hosts: f.hostsURL},
		Fleet:    fleetTable{Key: FleetKey},
	}
	for _, entry := range f.Entries {
		settings.Entries.Admin = append(settings.Entries.Admin, entry.AdminURL)
	}
	return writeSettings(f.settingsPath("acaciawinch.toml"), settings, "")
}
