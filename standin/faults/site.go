package faults

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/faults/hold"
	"acaciawinch/standin/faults/storetap"
	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/upstream"
)

//go:embed configuration/*.toml
var configurations embed.FS

// configurationFiles holds the configurations of the matrix by their index.
var configurationFiles = []string{"first.toml", "second.toml", "third.toml", "fourth.toml"}

// Indexes of the configurations. The second and third change the same template; the
// fourth moves it to another model version, with the outputs of the first.
const (
	configFirst = iota
	configSecond
	configThird
	configFourth
)

// Names in the configuration of the matrix.
const (
	workspace = "pensionistas"
	pipeline  = "pago"

	stageEncode  = "encode"
	stagePay     = "pay"
	stageConfirm = "confirm"
)

// services holds the service of each stage.
var services = map[string]string{
	stageEncode:  "encoders",
	stagePay:     "tesoreria",
	stageConfirm: "asistente-llm",
}

// siteOptions are the settings of a site.
type siteOptions struct {
	// Bin is the directory of the binaries.
	Bin string
	// UpstreamRelays puts relays between the sidecars and their upstreams.
	UpstreamRelays bool
	// Zones puts relays between the zones; Regions additionally puts each zone in a
	// region of its own.
	Zones   bool
	Regions bool
	// OneZone puts all upstreams in the first zone.
	OneZone bool
	// HostLag is the delay of the host list.
	HostLag time.Duration
	// IgnoreFencing makes the engines obey orders with a stale fencing token.
	IgnoreFencing bool
	// EntrySettings and SideSettings are additional TOML tables.
	EntrySettings string
	SideSettings  string
	// Tries bounds how often a refused request is sent; zero means maxTries.
	Tries int
}

// Site is the deployment of one cell with the proxies (taps) between its processes.
type Site struct {
	Fleet *harness.Fleet
	// Sides holds the messages of all entries to all sidecars, Store the calls of all
	// processes to the object API.
	Sides *tap.Gate
	Store *storetap.Gate

	// taps and storeTaps are the proxies of the running processes by name; closers close
	// all proxies, also those of replaced processes.
	taps      map[string]*tap.Tap
	storeTaps map[string]*storetap.Tap
	closers   []func()
	files     []string
	catalogs  []catalog.Catalog
	// tries is how often a refused request is sent.
	tries int
	// firstPlan matches the response to the first write of the placement plan.
	firstPlan *hold.Hold[storetap.Message]

	// heldRequests are the requests, and heldClaims the paths of the claims, with a
	// message that is stopped at a step. Each is used only by the match functions of one
	// gate, which run one at a time.
	heldRequests nameSet
	heldClaims   nameSet

	mu           sync.Mutex
	controls     map[string]upstream.Control
	exchanges    []Exchange
	requestCount int
	// outageReason holds why an entry is down now; outageCount counts how often the test has
	// taken it down.
	outageReason map[int]string
	outageCount  map[int]int
}

// nameSet is a set of names.
type nameSet map[string]bool

// add adds a name and returns true, or returns false if the set holds it already.
func (s nameSet) add(name string) bool {
	if s[name] {
		return false
	}
	s[name] = true
	return true
}

// reportLag is the delay of the upstreams' load reports.
const reportLag = 50 * time.Millisecond

// newSite starts a deployment in which the first configuration is in force.
func newSite(ctx context.Context, o siteOptions) (*Site, error) {
	s := &Site{
		Sides:        hold.NewGate[tap.Message](),
		Store:        hold.NewGate[storetap.Message](),
		taps:         map[string]*tap.Tap{},
		storeTaps:    map[string]*storetap.Tap{},
		controls:     map[string]upstream.Control{},
		outageReason: map[int]string{},
		outageCount:  map[int]int{},
		heldRequests: nameSet{},
		heldClaims:   nameSet{},
		tries:        o.Tries,
	}
	if s.tries == 0 {
		s.tries = maxTries
	}
	s.firstPlan = s.Store.Hold(planWritten)
	s.firstPlan.Release()
	dir, err := os.MkdirTemp("", "acaciawinch-faults-")
	if err != nil {
		return nil, err
	}
	if err := s.writeConfigurations(dir); err != nil {
		return nil, err
	}
	s.Fleet, err = harness.Start(ctx, harness.Options{
		Deployment:    deploymentOf(o),
		Bin:           o.Bin,
		Dir:           dir,
		Configuration: s.files[:1],
		HostLag:       o.HostLag,
		ReportLag:     reportLag,
		Relays:        harness.Relays{Upstreams: o.UpstreamRelays, Zones: o.Zones, Objects: o.Zones},
		EntrySettings: o.EntrySettings,
		SideSettings:  o.SideSettings,
		Intercept:     s.intercept,
	})
	if err != nil {
		s.closeTaps()
		return nil, err
	}
	s.rewriteAddresses()
	return s, nil
}

// writeConfigurations writes the configuration files of the matrix to dir and loads
// them.
func (s *Site) writeConfigurations(dir string) error {
	for _, name := range configurationFiles {
		data, err := configurations.ReadFile("configuration/" + name)
		if err != nil {
			return err
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
		loaded, err := catalog.Load(path)
		if err != nil {
			return err
		}
		s.files = append(s.files, path)
		s.catalogs = append(s.catalogs, loaded)
	}
	return nil
}

// intercept starts a proxy to a sidecar or to the object API.
func (s *Site) intercept(link harness.Link, name, address, target string) (string, error) {
	if link == harness.LinkObjects {
		t, err := storetap.New(name, address, target, s.Store)
		if err != nil {
			return "", err
		}
		s.storeTaps[name] = t
		s.closers = append(s.closers, t.Close)
		return address, nil
	}
	t, err := tap.New(name, address, target, harness.FleetKey, s.Sides)
	if err != nil {
		return "", err
	}
	s.taps[name] = t
	s.closers = append(s.closers, t.Refuse)
	return address, nil
}

// Close kills all processes and removes the directory unless keep is set.
func (s *Site) Close(keep bool) {
	s.Sides.Close()
	s.Store.Close()
	s.Fleet.Kill()
	s.closeTaps()
	if !keep {
		os.RemoveAll(s.Fleet.Dir)
	}
}

// closeTaps closes all proxies.
func (s *Site) closeTaps() {
	for _, end := range s.closers {
		end()
	}
}

// control changes the controls of one stand-in upstream.
func (s *Site) control(ctx context.Context, name string, change func(*upstream.Control)) error {
	s.mu.Lock()
	control := s.controls[name]
	change(&control)
	s.controls[name] = control
	s.mu.Unlock()
	return s.Fleet.Upstream(name).SetControl(ctx, control)
}

// hang stops or resumes the work of all running upstreams of a service.
func (s *Site) hang(ctx context.Context, service string, hanging bool) error {
	var group errgroup.Group
	for _, u := range s.Fleet.Service(service) {
		// In parallel, so that a frozen upstream does not delay the others.
		group.Go(func() error {
			return s.control(ctx, u.Name, func(c *upstream.Control) { c.Hang = hanging })
		})
	}
	return group.Wait()
}

// awaitRecord waits until a ledger holds a matching record and returns that record.
func (s *Site) awaitRecord(ctx context.Context, what string, match func(ledger.Record) bool) (ledger.Record, error) {
	var found ledger.Record
	err := harness.Await(ctx, what, func(context.Context) error {
		records, err := s.Fleet.Records()
		if err != nil {
			return err
		}
		for _, r := range records {
			if match(r) {
				found = r
				return nil
			}
		}
		return errors.New("no matching record")
	})
	return found, err
}

// newRequest returns a request with a key and a body of its own.
func (s *Site) newRequest() caller.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCount++
	return caller.Request{
		Workspace:  workspace,
		Pipeline:   pipeline,
		Key:        fmt.Sprintf("key-%d", s.requestCount),
		DeadlineMS: fmt.Sprint(deadline.Milliseconds()),
		Body:       fmt.Appendf(nil, `{"number":%d,"pago":"bono"}`, s.requestCount),
		Stream:     true,
	}
}
