package route_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/entry/route"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// patience bounds the waits of these tests; none depends on its length.
const patience = 20 * time.Second

// fleetState is a state of the fleet.
type fleetState struct {
	hosts   []fleet.Host
	drained string
}

func (s *fleetState) Hosts() []fleet.Host                 { return s.hosts }
func (s *fleetState) Drained(upstream string) bool        { return upstream == s.drained }
func (s *fleetState) Placement() (placement.Plan, uint64) { return placement.Plan{}, 0 }

// sides answers probes in place of side processes.
type sides struct {
	mu     sync.Mutex
	loads  map[string]*wirepb.Load
	silent map[string]bool
	asked  map[string]int
	// waits are what sides tell of workspaces that wait longer there than others.
	waits map[waiting]uint64
	// hold keeps all answers back until it is closed, whatever the probe's time.
	hold chan struct{}
	// stuck, if set, keeps back those of silent sides in the same way.
	stuck chan struct{}
}

// waiting is a request of a workspace before a side.
type waiting struct {
	addr, workspace string
	priority        int32
}

// Probe implements route.Prober. A silent side answers when the probe's time is over.
func (s *sides) Probe(ctx context.Context, addr string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	s.mu.Lock()
	s.asked[addr]++
	silent, load, hold := s.silent[addr], s.loads[addr], s.hold
	wait := load.GetWaitUs() + s.waits[waiting{addr, request.GetWorkspace(), request.GetPriority()}]
	if silent && s.stuck != nil {
		hold = s.stuck
	}
	s.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if silent {
		<-ctx.Done()
		return nil, fault.Wrap(fault.Unavailable, "route.probe", addr, ctx.Err())
	}
	return &wirepb.ProbeReply{Incarnation: 7, SideClockUs: 99, Load: load, WaitUs: wait}, nil
}

// set changes what a side does.
func (s *sides) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// count returns how often a side was asked.
func (s *sides) count(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[addr]
}

// fixture is a Router before controlled sides.
type fixture struct {
	*route.Router
	sides *sides
	state *fleetState
	scope tally.TestScope
	log   *lines
	// stopped is when the router's clock was stopped; zero while it goes.
	stopped time.Time
}

// lines keeps log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// logged is a log line of a routing event.
type logged struct {
	Fields struct {
		Event        int                 `json:"event"`
		Upstream     string              `json:"upstream"`
		Reason       string              `json:"reason"`
		Policy       string              `json:"policy"`
		Alternatives []route.Alternative `json:"alternatives"`
	} `json:"fields"`
}

// of returns the lines of one event.
func (l *lines) of(t *testing.T, e event.Event) []logged {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []logged
	for _, line := range strings.Split(l.text.String(), "\n") {
		if line == "" {
			continue
		}
		var parsed logged
		assert.NilError(t, json.Unmarshal([]byte(line), &parsed))
		if parsed.Fields.Event == e.Number {
			found = append(found, parsed)
		}
	}
	return found
}

// newFixture returns a Router with upstreams a-0… in its own zone.
func newFixture(t *testing.T, count int, settings route.Settings) *fixture {
	t.Helper()
	f := &fixture{
		sides: &sides{loads: map[string]*wirepb.Load{}, silent: map[string]bool{}, asked: map[string]int{}},
		state: &fleetState{},
		scope: tally.NewTestScope("", nil),
		log:   &lines{},
	}
	for i := range count {
		name := fmt.Sprintf("a-%d", i)
		f.state.hosts = append(f.state.hosts, fleet.Host{
			Name: name, Role: fleet.RoleUpstream, Service: "llm", Zone: "a", Region: "r", Addr: name,
		})
		f.sides.loads[name] = &wirepb.Load{Capacity: 4, ServiceP50Us: 1000, Finished: 10}
	}
	logger, err := observe.NewLogger(f.log, "entry-1", "debug")
	assert.NilError(t, err)
	f.Router = route.New(route.Options{
		Zone: "a", Region: "r", Prober: f.sides, Logger: logger, Scope: f.scope, Settings: settings, Seed: 1,
		Fleet: func() route.Fleet { return f.state },
		Now:   f.time,
	})
	return f
}

// time is the router's clock: the real one, or the moment at which it was stopped.
func (f *fixture) time() time.Time {
	if f.stopped.IsZero() {
		return time.Now()
	}
	return f.stopped
}

// choose chooses for a plain stage, and fails if that takes longer than patience.
func (f *fixture) choose(t *testing.T) route.Choice {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	choice, err := f.Choose(ctx, plain)
	assert.NilError(t, err)
	assert.NilError(t, ctx.Err(), "the decision waited for the end of its context")
	return choice
}

// counter returns a counter's value.
func (f *fixture) counter(name string) int64 {
	total := int64(0)
	for _, counter := range f.scope.Snapshot().Counters() {
		if counter.Name() == name {
			total += counter.Value()
		}
	}
	return total
}

// eventually waits until condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.After(patience)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatal("the condition never held")
		case <-tick.C:
		}
	}
}
