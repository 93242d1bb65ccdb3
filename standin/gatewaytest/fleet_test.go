// Package gatewaytest runs whole gateways against stand-ins of the platform's store
// and workers, and checks what clients and workers see.
package gatewaytest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

// fleet is a store, workers and gateways.
type fleet struct {
	t       *testing.T
	store   *metastore.Store
	address string
	log     *logbook
	ports   *harness.Ports

	mu       sync.Mutex
	gateways []*running
}

// running is one gateway.
type running struct {
	settings gateway.Settings
	stop     context.CancelFunc
	ended    chan error
}

// logbook takes log lines and wakes who waits for one.
type logbook struct {
	mu    sync.Mutex
	text  bytes.Buffer
	grown chan struct{}
}

// Write implements io.Writer.
func (l *logbook) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.grown)
	l.grown = make(chan struct{})
	return l.text.Write(p)
}

// lines returns the lines that hold all of the texts, and what is closed when there
// are more.
func (l *logbook) lines(texts ...string) ([]string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if containsAll(line, texts) {
			found = append(found, line)
		}
	}
	return found, l.grown
}

// containsAll tells whether text holds all of the parts.
func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// waitLines waits until count lines hold all of the texts.
func (f *fleet) waitLines(count int, texts ...string) []string {
	f.t.Helper()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		found, grown := f.log.lines(texts...)
		if len(found) >= count {
			return found
		}
		select {
		case <-grown:
		case <-limit.C:
			f.t.Fatalf("%d lines with %q, not %d", len(found), texts, count)
		}
	}
}

// patience bounds waits that only a broken program reaches.
const patience = 20 * time.Second

// newFleet returns a fleet with a store and no gateway.
func newFleet(t *testing.T) *fleet {
	t.Parallel()
	store := metastore.New()
	server := httptest.NewServer(store)
	f := &fleet{t: t, store: store, address: strings.TrimPrefix(server.URL, "http://"), log: &logbook{grown: make(chan struct{})}, ports: harness.NewPorts()}
	t.Cleanup(func() {
		f.stopAll()
		assert.Check(t, f.ports.Close())
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// worker starts a worker and registers it.
func (f *fleet) worker(id, service string, kind worker.Kind) *worker.Worker {
	f.t.Helper()
	w, err := worker.Start(id, kind)
	assert.NilError(f.t, err)
	f.t.Cleanup(w.Close)
	f.register(w, service, "ready")
	return w
}

// register writes a worker's entry.
func (f *fleet) register(w *worker.Worker, service, state string) {
	f.registerIn("z1", w, service, state)
}

// registerIn writes the entry of a worker in a zone.
func (f *fleet) registerIn(zone string, w *worker.Worker, service, state string) {
	f.store.Put("servers", w.ID, platformdoc.Worker{Service: service, Address: w.Address(), Zone: zone, Slots: 8, State: state})
}

// base returns a configuration with a route of each kind.
func base(version int64) platformdoc.Document {
	return platformdoc.Document{
		Version: version,
		Routes: []platformdoc.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: "unsafe", TimeoutMS: 5000, GoalMS: 300, Service: "desk", MaxAttempts: 2},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: "safe", TimeoutMS: 5000, GoalMS: 300, Service: "desk", MaxAttempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", TimeoutMS: 9000, GoalMS: 3000, Service: "llm", MaxAttempts: 2, Resumable: true,
				Stages: []platformdoc.Stage{{Service: "enc", After: []int{}, ByteCount: 1000}, {Service: "enc", After: []int{0}, ByteCount: 1000}}},
			{Name: "strict", Host: "h", Prefix: "/strict/", Kind: "streaming", TimeoutMS: 9000, GoalMS: 3000, Service: "llm", MaxAttempts: 1},
		},
		Services: []platformdoc.Service{{Name: "desk"}, {Name: "llm", Engine: &platformdoc.Engine{Slots: 8}},
			{Name: "enc", Pieces: &platformdoc.Pieces{Slots: 1, Batch: 4, CallMS: 20, ItemMS: 1, HeadroomMB: 1, HandleS: 4}}},
	}
}

// apply puts a configuration in force.
func (f *fleet) apply(d platformdoc.Document) { f.store.Put("config", "main", d) }

// free returns an address on which nobody listens, outside the range from which outgoing
// connections take theirs: one of those had taken it before the gateway listened.
func (f *fleet) free() string {
	f.t.Helper()
	address, err := f.ports.Address()
	assert.NilError(f.t, err)
	return address
}

// graceSeconds is short: a planned stop takes requests for a good part of it, and each
// test ends with one.
const graceSeconds = 1.5

// start starts a gateway in zone z1 and waits until it knows the configuration and the
// workers.
func (f *fleet) start(name string) *running {
	f.t.Helper()
	return f.startIn(name, "z1")
}

// startIn starts a gateway in a zone. One of each zone reads the store.
func (f *fleet) startIn(name, zone string) *running {
	f.t.Helper()
	g := f.begin(name, zone)
	f.waitLines(1, `"process":"`+name+`"`, "table_in_force")
	f.waitReady(g)
	return g
}

// begin starts a gateway and waits for nothing.
func (f *fleet) begin(name, zone string) *running {
	f.t.Helper()
	settings := gateway.Defaults()
	settings.Process = gateway.ProcessSettings{Name: name, Zone: zone, MemoryMB: 256, Regions: "z1=r1,z2=r2"}
	settings.Listen = gateway.ListenSettings{Clients: f.free(), Readiness: f.free(), Fleet: f.free(), Metrics: f.free()}
	settings.Store.Address = f.address
	settings.Bounds = gateway.BoundSettings{RevokeMS: 5000, ConfigApplyMS: 2000, EvacuateMS: 5000, ColdOverrun: 1.5, ColdSlack: 5, GraceSeconds: graceSeconds, RetryRatio: 0.2, RetrySlack: 50}
	settings.Fleet.Key = "test"
	ctx, stop := context.WithCancel(context.Background())
	g := &running{settings: settings, stop: stop, ended: make(chan error, 1)}
	go func() {
		g.ended <- gateway.Run(ctx, settings, func() (gateway.Settings, error) { return settings, nil }, f.log)
	}()
	f.mu.Lock()
	f.gateways = append(f.gateways, g)
	f.mu.Unlock()
	return g
}

// waitReady waits until a gateway says that it is ready.
func (f *fleet) waitReady(g *running) {
	f.t.Helper()
	limit := time.Now().Add(patience)
	for time.Now().Before(limit) {
		resp, err := http.Get("http://" + g.settings.Listen.Readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	f.t.Fatal("the gateway does not get ready")
}

// stopAll ends all gateways and waits for their end.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gateways {
		g.stop()
	}
	for _, g := range f.gateways {
		assert.Check(f.t, <-g.ended)
	}
	f.gateways = nil
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// last is set if the connection ends with the answer.
	last bool
	// cut is set if the connection ended before the whole answer.
	cut bool
}

// ask sends a request with an id on a connection of its own and reads the answer.
func (f *fleet) ask(g *running, id, method, target, body string, headers ...string) answer {
	f.t.Helper()
	conn, err := net.Dial("tcp", g.settings.Listen.Clients)
	assert.NilError(f.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(patience)))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\n", method, target, id)
	for i := 0; i < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = io.WriteString(conn, text+"\r\n"+body)
	assert.NilError(f.t, err)
	return read(bufio.NewReader(conn))
}

// read reads one answer.
func read(from *bufio.Reader) answer {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return answer{cut: true}
	}
	content, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(content), last: resp.Close, cut: err != nil}
}

// stream returns the body of a whole stream of five events.
func stream(id string) string {
	text := ""
	for n := 1; n <= 5; n++ {
		text += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return text
}

// runsOf counts the runs of a request at workers.
func runsOf(id string, workers ...*worker.Worker) int {
	count := 0
	for _, w := range workers {
		for _, run := range w.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// decode reads a log line's fields of one name.
func decode(t *testing.T, line, field string) any {
	t.Helper()
	var parsed struct {
		Fields map[string]json.RawMessage `json:"fields"`
	}
	assert.NilError(t, json.Unmarshal([]byte(line), &parsed))
	var value any
	assert.NilError(t, json.Unmarshal(parsed.Fields[field], &value), "%s of %s", field, line)
	return value
}
