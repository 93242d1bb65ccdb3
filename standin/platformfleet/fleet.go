// Package platformfleet runs gateways as real processes against stand-ins of the
// platform: its store and the workers of a small deployment.
package platformfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// Hosts and services of the deployment.
const (
	Host      = "bonos.example"
	Key       = "key-of-pensionistas"
	workspace = "pensionistas"

	engines  = "asistente-llm"
	desks    = "atencion-sucur"
	encoders = "libro-bonos"
	rankers  = "avisos-ahorro"
)

// Fleet is a running deployment.
type Fleet struct {
	Store    *metastore.Store
	Gateways []*Gateway

	mu sync.Mutex
	// workers holds all workers by service, also those that have ended.
	workers map[string][]*worker.Worker

	folder string
	ports  *harness.Ports
	server *http.Server
}

// Gateway is one gateway process.
type Gateway struct {
	*harness.Process
	// Clients is the address on which the gateway listens for clients.
	Clients string
}

// Options are the settings of a fleet.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Gateways is the number of gateways.
	Gateways int
	// WorkTime is how long a request takes at a plain service or an engine.
	WorkTime time.Duration
	// CrashBody is the body of requests that crash the workers that run them; empty for none.
	CrashBody string
	// CrashParts are the parts of prompts that crash engines. If there are any, there are enginesWithParts engines, or as many more for
	// each version.
	CrashParts []worker.CrashPart
	// Versions is the number of software versions of the engines, with enginesPerVersion engines each; 0 for engines
	// without a version.
	Versions int
	// Prepare sets fields of a worker before it is used; number is its number in its service. Nil for none.
	Prepare func(number int, w *worker.Worker)
	// Proxy starts a proxy in front of a target and returns the address of the proxy. It is called
	// for each worker with the id of the worker, and for the store once for each gateway with the name
	// of the gateway. Nil for no proxies.
	Proxy func(name, target string) (string, error)
}

// proxied returns the address at which callers reach a target.
func (o Options) proxied(name, target string) (string, error) {
	if o.Proxy == nil {
		return target, nil
	}
	return o.Proxy(name, target)
}

// Start starts the store, the workers and the gateways and waits until all gateways are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "acaciawinch-platform-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: metastore.New(), workers: make(map[string][]*worker.Worker), folder: folder, ports: harness.NewPorts()}
	if err := f.start(ctx, o); err != nil {
		err = errors.Join(err, f.lastLogLines())
		f.Kill()
		return nil, err
	}
	return f, nil
}

// lastLogLines returns an error with the last log line of each gateway that has ended, nil if none
// has.
func (f *Fleet) lastLogLines() error {
	var failed []error
	for _, g := range f.Gateways {
		if g.Running() {
			continue
		}
		content, err := os.ReadFile(g.Log)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		failed = append(failed, err, fmt.Errorf("%s exited; its last log line: %s", g.Name, lines[len(lines)-1]))
	}
	return errors.Join(failed...)
}

// start starts all parts of the fleet.
func (f *Fleet) start(ctx context.Context, o Options) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.Store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.server.Serve(listener) }() // it returns when Kill closes the server
	for service, kind := range map[string]worker.Kind{engines: worker.Engine, desks: worker.Plain, encoders: worker.Stage, rankers: worker.Stage} {
		if err := f.startWorkers(o, service, kind); err != nil {
			return err
		}
	}
	f.Store.Put("config", "main", Configuration())
	for i := range o.Gateways {
		if err := f.startGateway(o, i, listener.Addr().String()); err != nil {
			return err
		}
	}
	for _, g := range f.Gateways {
		if err := g.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// workersPerService is the number of workers of each service, but for engines with versions.
const (
	workersPerService = 2
	enginesPerVersion = 2
	enginesWithParts  = 4
)

// startWorkers starts and registers the workers of a service.
func (f *Fleet) startWorkers(o Options, service string, kind worker.Kind) error {
	count := workersPerService
	if service == engines && o.Versions > 0 {
		count = enginesPerVersion * o.Versions
	}
	if service == engines && len(o.CrashParts) > 0 {
		count = enginesWithParts * max(1, o.Versions)
	}
	for i := range count {
		listener, err := f.ports.Listen() // on a port that no outgoing connection takes while the worker is down
		if err != nil {
			return err
		}
		w := worker.StartOn(listener, fmt.Sprintf("%s-%d", service, i+1), kind)
		w.CallTime, w.WorkTime, w.CrashBody, w.CrashParts = 20*time.Millisecond, o.WorkTime, o.CrashBody, o.CrashParts
		if service == engines && o.Versions > 0 {
			w.Version = VersionName(i % o.Versions)
		}
		if o.Prepare != nil {
			o.Prepare(i, w)
		}
		f.Add(service, w)
		if w.Advertised, err = o.proxied(w.ID, w.ListenAddress()); err != nil {
			return err
		}
		f.Register(service, w, "ready")
	}
	return nil
}

// VersionName returns the name of a software version.
func VersionName(number int) string { return fmt.Sprintf("v1.%d", number) }

// Add adds a worker of a service, such as one that restarted under another id. It does not register
// the worker.
func (f *Fleet) Add(service string, w *worker.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[service] = append(f.workers[service], w)
}

// Each calls visit for each worker of the fleet, also those that have ended, with its service.
func (f *Fleet) Each(visit func(service string, w *worker.Worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, list := range f.workers {
		for _, w := range list {
			visit(service, w)
		}
	}
}

// WorkerIDs returns the ids of the workers of a service.
func (f *Fleet) WorkerIDs(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, w := range f.workers[service] {
		ids = append(ids, w.ID)
	}
	return ids
}

// Register writes the entry of a worker with a state.
func (f *Fleet) Register(service string, w *worker.Worker, state string) {
	f.RegisterIn(zone, service, w, state)
}

// RegisterIn writes the entry of a worker that is in an availability zone.
func (f *Fleet) RegisterIn(zone, service string, w *worker.Worker, state string) {
	f.Store.Put("servers", w.ID, platformdoc.Worker{Service: service, Address: w.Address(), Zone: zone, Slots: 8, State: state, Version: w.Version})
}

// Evacuate starts the evacuation of an availability zone.
func (f *Fleet) Evacuate(zone string) { f.Store.Put("evacuations", zone, struct{}{}) }

// EndEvacuation ends the evacuation of an availability zone.
func (f *Fleet) EndEvacuation(zone string) { f.Store.Remove("evacuations", zone) }

// startGateway writes the settings of a gateway and starts its process.
func (f *Fleet) startGateway(o Options, number int, store string) error {
	var ports [4]string
	for i := range ports {
		address, err := f.ports.Address()
		if err != nil {
			return err
		}
		ports[i] = address
	}
	name := fmt.Sprintf("gateway-%d", number+1)
	store, err := o.proxied(name, store)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".toml")
	if err := os.WriteFile(path, []byte(settings(name, store, ports)), 0o600); err != nil {
		return err
	}
	process := harness.NewProcess(name, filepath.Join(f.folder, name+".log"), "http://"+ports[1]+"/readyz",
		filepath.Join(o.Bin, "acaciawinchd"), "gateway", "--config", path)
	f.Gateways = append(f.Gateways, &Gateway{Process: process, Clients: ports[0]})
	return process.Start()
}

// Stop stops the gateways with SIGTERM and waits until they have ended. It returns an error if one did
// not exit with status 0.
func (f *Fleet) Stop(ctx context.Context) error {
	var failed []error
	for _, g := range f.Gateways {
		failed = append(failed, g.SignalTerminate())
	}
	for _, g := range f.Gateways {
		failed = append(failed, g.AwaitExit(ctx))
	}
	return errors.Join(failed...)
}

// Kill stops everything at once and removes the folder of the fleet.
func (f *Fleet) Kill() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	f.Each(func(_ string, w *worker.Worker) { w.Close() })
	if f.server != nil {
		_ = f.server.Close() // nobody needs its last responses
	}
	_ = f.ports.Close()        // a port that stays taken does no harm: the end of this process releases it
	_ = os.RemoveAll(f.folder) // a folder that stays does no harm
}

// ServiceOf returns the service of a route; empty for an unknown route.
func (f *Fleet) ServiceOf(route string) string {
	for _, r := range Configuration().Routes {
		if r.Name == route {
			return r.Service
		}
	}
	return ""
}

// KeepLogs copies the logs of the gateways to a folder.
func (f *Fleet) KeepLogs(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, g := range f.Gateways {
		content, err := os.ReadFile(g.Log)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, g.Name+".log"), content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// RemoveWorker removes the entry of the first worker of a service and stops that worker.
func (f *Fleet) RemoveWorker(service string) {
	f.mu.Lock()
	w := f.workers[service][0]
	f.mu.Unlock()
	f.Store.Remove("servers", w.ID)
	w.Close()
}

// Runs counts the runs of each request, by its id.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	f.Each(func(_ string, w *worker.Worker) {
		for _, run := range w.Runs() {
			runs[run.ID]++
		}
	})
	return runs
}
