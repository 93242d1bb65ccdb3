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

// configurationFiles are the configurations of the matrix, by their index.
var configurationFiles = []string{"first.toml", "second.toml", "third.toml", "fourth.toml"}

// Indexes of the configurations. The second and third change the same template;
// the fourth moves it to another model version, with the outputs of the first.
const (
	configFirst = iota
	configSecond
	configThird
	configFourth
)

// Names of the matrix's configuration.
const (
	workspace = "pensionistas"
	pipeline  = "pago"

	stageEncode  = "encode"
	stagePay     = "pay"
	stageConfirm = "confirm"
)

// services are the services of the stages.
var services = map[string]string{
	stageEncode:  "encoders",
	stagePay:     "tesoreria",
	stageConfirm: "asistente-llm",
}

// siteOptions select what stands between the processes of a site.
type siteOptions struct {
	// Bin is the folder of the binaries.
	Bin string
	// UpstreamRelays puts relays between sides and their upstreams.
	UpstreamRelays bool
	// Zones puts relays between the zones, and Regions each in a region of its own.
	Zones   bool
	Regions bool
	// OneZone puts all upstreams into the first zone.
	OneZone bool
	// HostLag is how late the host list is.
	HostLag time.Duration
	// IgnoreFencing makes the engines obey old orders.
	IgnoreFencing bool
	// EntrySettings and SideSettings are further TOML tables.
	EntrySettings string
	SideSettings  string
	// Asks bounds how often a refused request is asked again; zero means maxAsks.
	Asks int
}

// Site is the deployment of one cell with what the trial put into it.
type Site struct {
	Fleet *harness.Fleet
	// Sides holds the messages of all entries to all sides, Store the calls of
	// all processes to the object API.
	Sides *tap.Gate
	Store *storetap.Gate

	// taps and storeTaps are those of the present processes; closers end all.
	taps      map[string]*tap.Tap
	storeTaps map[string]*storetap.Tap
	closers   []func()
	files     []string
	catalogs  []catalog.Catalog
	// asks is how often a refused request is asked.
	asks int
	// firstPlan holds the first answer to a write of the placement plan.
	firstPlan *hold.Hold[storetap.Message]

	// heldRequests and heldClaims are those with a message that stands at a step.
	// Each belongs to the matches of one board, which are made one at a time.
	heldRequests names
	heldClaims   names

	mu        sync.Mutex
	controls  map[string]upstream.Control
	exchanges []Exchange
	number    int
	// gone tells why an entry can't answer; absence counts its absences.
	gone    map[int]string
	absence map[int]int
}

// names is a set of names.
type names map[string]bool

// add adds a name, or returns false if it is there already.
func (n names) add(name string) bool {
	if n[name] {
		return false
	}
	n[name] = true
	return true
}

// reportLag is how late the upstreams report their load.
const reportLag = 50 * time.Millisecond

// newSite starts a deployment with the first configuration in force.
func newSite(ctx context.Context, o siteOptions) (*Site, error) {
	s := &Site{
		Sides:        hold.NewGate[tap.Message](),
		Store:        hold.NewGate[storetap.Message](),
		taps:         map[string]*tap.Tap{},
		storeTaps:    map[string]*storetap.Tap{},
		controls:     map[string]upstream.Control{},
		gone:         map[int]string{},
		absence:      map[int]int{},
		heldRequests: names{},
		heldClaims:   names{},
		asks:         o.Asks,
	}
	if s.asks == 0 {
		s.asks = maxAsks
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

// writeConfigurations writes the operators' files of the matrix.
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

// intercept stands before sides and before the object API.
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

// Close kills all processes and removes the folder, or keeps it if keep is set.
func (s *Site) Close(keep bool) {
	s.Sides.Close()
	s.Store.Close()
	s.Fleet.Kill()
	s.closeTaps()
	if !keep {
		os.RemoveAll(s.Fleet.Dir)
	}
}

// closeTaps ends all taps.
func (s *Site) closeTaps() {
	for _, end := range s.closers {
		end()
	}
}

// control changes the switches of one stand-in upstream.
func (s *Site) control(ctx context.Context, name string, change func(*upstream.Control)) error {
	s.mu.Lock()
	control := s.controls[name]
	change(&control)
	s.controls[name] = control
	s.mu.Unlock()
	return s.Fleet.Upstream(name).Set(ctx, control)
}

// hang stops or resumes the work of all upstreams of a service that run.
func (s *Site) hang(ctx context.Context, service string, hanging bool) error {
	var group errgroup.Group
	for _, u := range s.Fleet.Service(service) {
		// All at once: one that is frozen must not hold up the others.
		group.Go(func() error {
			return s.control(ctx, u.Name, func(c *upstream.Control) { c.Hang = hanging })
		})
	}
	return group.Wait()
}

// awaitRecord waits until a ledger holds a matching record, and returns it.
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
		return errors.New("no such record")
	})
	return found, err
}

// newRequest returns a request that no other one is like.
func (s *Site) newRequest() caller.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	return caller.Request{
		Workspace:  workspace,
		Pipeline:   pipeline,
		Key:        fmt.Sprintf("key-%d", s.number),
		DeadlineMS: fmt.Sprint(deadline.Milliseconds()),
		Body:       fmt.Appendf(nil, `{"number":%d,"pago":"bono"}`, s.number),
		Stream:     true,
	}
}
