package harness

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"acaciawinch/standin/deployment"
)

// prepare creates the folder, the addresses and the settings of a trial. It starts
// the relays, but no process.
func prepare(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Dir: options.Dir, ports: NewPorts()}
	steps := []func() error{
		f.makeDirs,
		f.preparePlatform,
		f.prepareEntries,
		f.prepareUpstreams,
		f.addZoneLinks,
		f.writeHosts,
		f.writeCommandSettings,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			for _, relay := range f.relays {
				relay.Close()
			}
			f.ports.Close()
			return nil, err
		}
	}
	return f, nil
}

// makeDirs creates the trial's folder and its subfolders.
func (f *Fleet) makeDirs() error {
	if f.Dir == "" {
		dir, err := os.MkdirTemp("", "acaciawinch-trial-")
		if err != nil {
			return err
		}
		f.Dir = dir
		f.temporary = true
	}
	for _, part := range []string{"settings", "logs", "ledgers"} {
		if err := os.MkdirAll(filepath.Join(f.Dir, part), 0o755); err != nil {
			return err
		}
	}
	return nil
}

// binary returns the path of a built program.
func (f *Fleet) binary(name string) string {
	dir := f.Options.Bin
	if dir == "" {
		dir = os.Getenv(BinEnvironment)
	}
	if dir == "" {
		dir = "bin"
	}
	return filepath.Join(dir, name)
}

// newProcess returns a process that has not been started.
func (f *Fleet) newProcess(name, binary, readyURL string, args ...string) *Process {
	return &Process{
		Name:     name,
		Log:      filepath.Join(f.Dir, "logs", name+".log"),
		ReadyURL: readyURL,
		path:     f.binary(binary),
		args:     args,
	}
}

// settingsPath returns the path of a file in the settings folder.
func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.Dir, "settings", name)
}

// reserveAddresses reserves the addresses of a process's listeners.
func (f *Fleet) reserveAddresses() (addresses, error) {
	var a addresses
	for _, address := range []*string{&a.callers, &a.fleet, &a.admin} {
		var err error
		if *address, err = f.ports.Address(); err != nil {
			return a, err
		}
	}
	return a, nil
}

// startRelay starts a relay to target if wanted is set. It returns the relay or nil, and
// the address to dial.
func (f *Fleet) startRelay(wanted bool, target string) (*Relay, string, error) {
	if !wanted {
		return nil, target, nil
	}
	address, err := f.ports.Address()
	if err != nil {
		return nil, "", err
	}
	relay, err := NewRelay(address, target)
	if err != nil {
		return nil, "", err
	}
	f.relays = append(f.relays, relay)
	return relay, address, nil
}

// preparePlatform prepares the processes of the object API and the host list.
func (f *Fleet) preparePlatform() error {
	objects, err := f.ports.Address()
	if err != nil {
		return err
	}
	hosts, err := f.ports.Address()
	if err != nil {
		return err
	}
	f.objectsURL = "http://" + objects
	f.hostsURL = "http://" + hosts
	f.Objects = f.newProcess("objects", "standin", f.objectsURL+"/control/stats",
		"objects", "--listen", objects,
		"--reads-per-second", strconv.Itoa(f.Options.Objects.ReadsPerSecond),
		"--writes-per-second", strconv.Itoa(f.Options.Objects.WritesPerSecond))
	f.Hosts = f.newProcess("hosts", "standin", f.hostsURL+"/v1/hosts",
		"hosts", "--listen", hosts, "--file", f.settingsPath("hosts.json"),
		"--lag", f.Options.HostLag.String())
	return f.prepareViews(hosts)
}

// prepareEntries prepares the processes of the entries.
func (f *Fleet) prepareEntries() error {
	for _, e := range f.Options.Deployment.EntryList() {
		entry, err := f.prepareEntry(e)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, entry)
	}
	return nil
}

// prepareEntry prepares the process of one entry and writes its settings.
func (f *Fleet) prepareEntry(e deployment.Entry) (*Entry, error) {
	listen, err := f.reserveAddresses()
	if err != nil {
		return nil, err
	}
	entry := &Entry{AdminURL: "http://" + listen.admin}
	var callers string
	if entry.Callers, callers, err = f.startRelay(f.Options.Relays.Callers, listen.callers); err != nil {
		return nil, err
	}
	entry.URL = "http://" + callers
	if entry.Fleet, entry.listen.fleet, err = f.startRelay(f.Options.Relays.Fleet, listen.fleet); err != nil {
		return nil, err
	}
	objects, err := f.relayObjectAPI(e.Name, &entry.Objects)
	if err != nil {
		return nil, err
	}
	path := f.settingsPath(e.Name + ".toml")
	entry.Process = f.newProcess(e.Name, "acaciawinchd", entry.AdminURL+"/readyz", "entry", "--config", path)
	return entry, writeSettings(path, entrySettings{
		Process:  f.processTable(e.Name, e.Zone),
		Listen:   listenTable{Callers: listen.callers, Fleet: listen.fleet, Admin: listen.admin},
		Platform: platformTable{Objects: objects, Hosts: f.hostListURL(e.Zone)},
		Fleet:    fleetTable{Key: FleetKey},
	}, f.Options.EntrySettings)
}

// relayObjectAPI starts the relay from the named process to the object API if
// Relays.Objects is set, and returns the URL at which the process reaches the object API.
// It stores the relay, or nil, in *relay.
func (f *Fleet) relayObjectAPI(name string, relay **Relay) (string, error) {
	target, err := f.intercept(LinkObjects, name, strings.TrimPrefix(f.objectsURL, "http://"))
	if err != nil {
		return "", err
	}
	started, address, err := f.startRelay(f.Options.Relays.Objects, target)
	*relay = started
	return "http://" + address, err
}

// processTable returns the [process] table.
func (f *Fleet) processTable(name, zone string) processTable {
	level := f.Options.LogLevel
	if level == "" {
		level = "info"
	}
	return processTable{Name: name, Zone: zone, Region: f.Options.Deployment.RegionOf(zone), LogLevel: level}
}

// prepareUpstreams prepares the processes of the workers and sidecars.
func (f *Fleet) prepareUpstreams() error {
	for _, u := range f.Options.Deployment.Upstreams() {
		upstream, err := f.prepareUpstream(u)
		if err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, upstream)
	}
	return nil
}

// prepareUpstream prepares the processes of one upstream: its worker and its sidecar.
func (f *Fleet) prepareUpstream(u deployment.Upstream) (*Upstream, error) {
	listen, err := f.reserveAddresses()
	if err != nil {
		return nil, err
	}
	upstream := &Upstream{Upstream: u, SideURL: "http://" + listen.admin}
	if err := f.prepareWorker(upstream); err != nil {
		return nil, err
	}
	side, err := f.intercept(LinkSide, u.Name, listen.fleet)
	if err != nil {
		return nil, err
	}
	if upstream.Fleet, upstream.listen.fleet, err = f.startRelay(f.Options.Relays.Fleet, side); err != nil {
		return nil, err
	}
	worker := strings.TrimPrefix(upstream.WorkerURL, "http://")
	return upstream, f.prepareSide(upstream, worker, listen)
}

// prepareWorker prepares the worker of an upstream. If the upstream's group shares
// one worker, all but the first upstream of the group reuse it.
func (f *Fleet) prepareWorker(u *Upstream) error {
	if first := f.Service(u.Group.Service); u.Group.Shared && len(first) > 0 {
		u.Worker, u.WorkerURL, u.Ledger = first[0].Worker, first[0].WorkerURL, first[0].Ledger
		return nil
	}
	address, err := f.ports.Address()
	if err != nil {
		return err
	}
	u.WorkerURL = "http://" + address
	u.Ledger = filepath.Join(f.Dir, "ledgers", u.Name+".ledger")
	u.Worker = f.newProcess(u.Name, "standin", u.WorkerURL+"/v1/status",
		f.workerArgs(u.Upstream, address, u.Ledger)...)
	return nil
}

// prepareSide prepares an upstream's sidecar and writes its settings; worker is the
// IP:port of the upstream's worker.
func (f *Fleet) prepareSide(u *Upstream, worker string, listen addresses) error {
	var err error
	if u.Link, worker, err = f.startRelay(f.Options.Relays.Upstreams, worker); err != nil {
		return err
	}
	name := "side-" + u.Name
	objects, err := f.relayObjectAPI(name, &u.Objects)
	if err != nil {
		return err
	}
	path := f.settingsPath(name + ".toml")
	u.Side = f.newProcess(name, "acaciawinchd", u.SideURL+"/readyz", "side", "--config", path)
	return writeSettings(path, sideSettings{
		Process:  f.processTable(name, u.Zone),
		Listen:   listenTable{Fleet: listen.fleet, Admin: listen.admin},
		Platform: platformTable{Objects: objects, Hosts: f.hostListURL(u.Zone)},
		Fleet:    fleetTable{Key: FleetKey},
		Upstream: upstreamTable{
			Name:    u.Name,
			Service: u.Group.Service,
			Kind:    u.Group.Kind,
			URL:     "http://" + worker,
		},
	}, f.Options.SideSettings)
}

// workerArgs returns the command-line arguments of a worker.
func (f *Fleet) workerArgs(u deployment.Upstream, listen, ledger string) []string {
	fencing := "honour"
	if u.Group.IgnoreFencing {
		fencing = "ignore"
	}
	return []string{
		"upstream",
		"--listen", listen,
		"--name", u.Name,
		"--service", u.Group.Service,
		"--kind", string(u.Group.Kind),
		"--capacity", strconv.Itoa(u.Group.Capacity),
		"--service-ms", decimal(u.Group.ServiceMS),
		"--token-ms", decimal(u.Group.TokenMS),
		"--first-ms", decimal(u.Group.FirstMS),
		"--batch-slope", decimal(u.Group.BatchSlope),
		"--spread", decimal(u.Group.Spread),
		"--fencing", fencing,
		"--models", strings.Join(u.Group.Models, ","),
		"--ledger", ledger,
		"--report-lag", f.Options.ReportLag.String(),
	}
}

// decimal formats a number as the value of a command-line flag.
func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
