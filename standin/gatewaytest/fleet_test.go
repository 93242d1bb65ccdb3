// Package gatewaytest runs complete gateways against stand-ins of the platform's store
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

// fleet is a store with its workers and gateways.
type fleet struct {
	t       *testing.T
	store   *metastore.Store
	address string
	log     *logBuffer
	ports   *harness.Ports
	// adjust changes the settings of gateways that start; nil changes nothing.
	adjust func(*gateway.Settings)

	mu       sync.Mutex
	gateways []*runningGateway
}

// runningGateway is one gateway, which runs in the process of the test.
type runningGateway struct {
	settings gateway.Settings
	stop     context.CancelFunc
	ended    chan error
}

// logBuffer collects log lines and wakes the goroutines that wait for more of them.
type logBuffer struct {
	mu       sync.Mutex
	text     bytes.Buffer
	appended chan struct{}
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.appended)
	l.appended = make(chan struct{})
	return l.text.Write(p)
}

// lines returns the lines that contain all of the texts, and a channel that is closed when
// more text is written.
func (l *logBuffer) lines(texts ...string) ([]string, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if containsAll(line, texts) {
			found = append(found, line)
		}
	}
	return found, l.appended
}

// containsAll reports whether text contains all of the parts.
func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// waitLines waits until count lines contain all of the texts.
func (f *fleet) waitLines(count int, texts ...string) []string {
	f.t.Helper()
	limit := time.NewTimer(waitTimeout)
	defer limit.Stop()
	for {
		found, grown := f.log.lines(texts...)
		if len(found) >= count {
			return found
		}
		select {
		case <-grown:
		case <-limit.C:
			f.t.Fatalf("got %d lines with %q, want %d", len(found), texts, count)
		}
	}
}

// waitTimeout bounds the waits of tests; only a broken program reaches it.
const waitTimeout = 20 * time.Second

// newFleet returns a fleet that has a store and no gateways yet.
func newFleet(t *testing.T) *fleet {
	t.Parallel()
	store := metastore.New()
	server := httptest.NewServer(store)
	f := &fleet{t: t, store: store, address: strings.TrimPrefix(server.URL, "http://"), log: &logBuffer{appended: make(chan struct{})}, ports: harness.NewPorts()}
	t.Cleanup(func() {
		f.stopAll()
		assert.Check(t, f.ports.Close())
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// startWorker starts a worker in zone z1 and registers it. No other test gets its port once it has ended.
func (f *fleet) startWorker(id, service string, kind worker.Kind) *worker.Worker {
	f.t.Helper()
	w := f.launchWorker(id, kind)
	f.register(w, service, "ready")
	return w
}

// launchWorker starts a worker and does not register it.
func (f *fleet) launchWorker(id string, kind worker.Kind) *worker.Worker {
	f.t.Helper()
	listener, err := f.ports.Listen()
	assert.NilError(f.t, err)
	w := worker.StartOn(listener, id, kind)
	f.t.Cleanup(w.Close)
	return w
}

// register writes the entry of a worker in zone z1.
func (f *fleet) register(w *worker.Worker, service, state string) {
	f.registerIn("z1", w, service, state)
}

// registerIn writes the entry of a worker in a zone.
func (f *fleet) registerIn(zone string, w *worker.Worker, service, state string) {
	f.store.Put("servers", w.ID, platformdoc.Worker{Service: service, Address: w.Address(), Zone: zone, Slots: 8, State: state, Version: w.Version})
}

// baseConfig returns a configuration with a route of each kind.
func baseConfig(version int64) platformdoc.Document {
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

// apply writes a configuration to the store.
func (f *fleet) apply(d platformdoc.Document) { f.store.Put("config", "main", d) }

// freeAddress returns an address on which nobody listens. Its port lies outside the ephemeral range:
// an outgoing connection once took a port of that range before the gateway listened on it.
func (f *fleet) freeAddress() string {
	f.t.Helper()
	address, err := f.ports.Address()
	assert.NilError(f.t, err)
	return address
}

// graceSeconds is short: a stopping gateway accepts requests for a good part of it, and each
// test ends with a stop.
const graceSeconds = 1.5

// start starts a gateway in zone z1 and waits until it is ready.
func (f *fleet) start(name string) *runningGateway {
	f.t.Helper()
	return f.startIn(name, "z1")
}

// startIn starts a gateway in a zone and waits until it is ready. One gateway of each zone reads the
// store.
func (f *fleet) startIn(name, zone string) *runningGateway {
	f.t.Helper()
	g := f.launchIn(name, zone)
	f.waitLines(1, `"process":"`+name+`"`, "table_in_force")
	f.waitReady(g)
	return g
}

// launchIn starts a gateway in a zone and does not wait for it.
func (f *fleet) launchIn(name, zone string) *runningGateway {
	f.t.Helper()
	settings := gateway.Defaults()
	settings.Process = gateway.ProcessSettings{Name: name, Zone: zone, MemoryMB: 256, Regions: "z1=r1,z2=r2"}
	settings.Listen = gateway.ListenSettings{Clients: f.freeAddress(), Readiness: f.freeAddress(), Fleet: f.freeAddress(), Metrics: f.freeAddress()}
	settings.Store.Address = f.address
	settings.Bounds = gateway.BoundSettings{RevokeMS: 5000, ConfigApplyMS: 2000, EvacuateMS: 5000, ColdOverrun: 1.5, ColdSlack: 5, GraceSeconds: graceSeconds, RetryRatio: 0.2, RetrySlack: 50}
	settings.Fleet.Key = "test"
	if f.adjust != nil {
		f.adjust(&settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &runningGateway{settings: settings, stop: stop, ended: make(chan error, 1)}
	go func() {
		g.ended <- gateway.Run(ctx, settings, func() (gateway.Settings, error) { return settings, nil }, f.log)
	}()
	f.mu.Lock()
	f.gateways = append(f.gateways, g)
	f.mu.Unlock()
	return g
}

// waitReady waits until the readiness check of a gateway succeeds.
func (f *fleet) waitReady(g *runningGateway) {
	f.t.Helper()
	limit := time.Now().Add(waitTimeout)
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
	f.t.Fatal("the gateway did not become ready")
}

// stopAll stops all gateways and waits until they have ended.
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

// response is what a client received.
type response struct {
	status int
	header http.Header
	body   string
	// closesConn is set if the response says that its connection is closed.
	closesConn bool
	// truncated is set if the connection ended before the complete response.
	truncated bool
}

// send sends a request with an id on a new connection and reads the response.
func (f *fleet) send(g *runningGateway, id, method, target, body string, headers ...string) response {
	f.t.Helper()
	got, err := f.trySend(g, id, method, target, body, headers...)
	assert.NilError(f.t, err)
	return got
}

// trySend is send for a gateway that may stop meanwhile.
func (f *fleet) trySend(g *runningGateway, id, method, target, body string, headers ...string) (response, error) {
	return f.exchange(readResponse, g, id, method, target, body, headers...)
}

// exchange sends a request with an id on a new connection and returns what read finds there.
func (f *fleet) exchange(read func(*bufio.Reader) response, g *runningGateway, id, method, target, body string, headers ...string) (response, error) {
	conn, err := net.Dial("tcp", g.settings.Listen.Clients)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return response{}, err
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\n", method, target, id)
	for i := 0; i < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err = io.WriteString(conn, text+"\r\n"+body); err != nil {
		return response{}, err
	}
	return read(bufio.NewReader(conn)), nil
}

// discardResponse reads one response and drops its body.
func discardResponse(from *bufio.Reader) response {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return response{truncated: true}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, closesConn: resp.Close, truncated: err != nil}
}

// readResponse reads one response.
func readResponse(from *bufio.Reader) response {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return response{truncated: true}
	}
	content, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(content), closesConn: resp.Close, truncated: err != nil}
}

// streamBody returns the body of a complete stream of five events.
func streamBody(id string) string {
	text := ""
	for n := 1; n <= 5; n++ {
		text += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return text
}

// countRuns counts how often workers ran a request.
func countRuns(id string, workers ...*worker.Worker) int {
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

// logField returns the value of a field of a log line.
func logField(t *testing.T, line, field string) any {
	t.Helper()
	var parsed struct {
		Fields map[string]json.RawMessage `json:"fields"`
	}
	assert.NilError(t, json.Unmarshal([]byte(line), &parsed))
	var value any
	assert.NilError(t, json.Unmarshal(parsed.Fields[field], &value), "%s of %s", field, line)
	return value
}
