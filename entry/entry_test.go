package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/trace"
	"acaciawinch/settings"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// newPlatform serves an empty object store and a host list with one entry.
func newPlatform(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/hosts":
			_ = json.NewEncoder(w).Encode(fleet.List{Version: 1, Hosts: []fleet.Host{{Name: "e", Role: fleet.RoleEntry, Zone: "z"}}})
		case r.URL.Path == "/v1/list":
			_, _ = io.WriteString(w, `{"objects":[]}`)
		case r.URL.Path == "/v1/watch" && r.URL.Query().Get("cursor") != "0":
			<-r.Context().Done()
		case r.URL.Path == "/v1/watch":
			_, _ = io.WriteString(w, `{"changes":[],"next":1}`)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return server.URL
}

// anyPort is a loopback address with a port that the kernel chooses.
const anyPort = "127.0.0.1:0"

// testSettings returns the settings of an entry on loopback.
func testSettings(t *testing.T) Settings {
	s := Defaults()
	url := newPlatform(t)
	s.Process = ProcessSettings{Name: "e", Zone: "z", LogLevel: "error"}
	s.Listen = ListenSettings{Callers: anyPort, Fleet: anyPort, Admin: anyPort}
	s.Platform = PlatformSettings{Objects: url, Hosts: url}
	s.Fleet.Key = "k"
	return s
}

// status returns the status code of a GET, 0 if there was no response.
func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// eventually waits until a GET of url returns the status want.
func eventually(t *testing.T, url string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := status(url); got != want {
			return poll.Continue("%s returns %d", url, got)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestServesDrainsAndStops keeps a request in flight during the stop, so that the drain
// does not end before the test has observed it.
func TestServesDrainsAndStops(t *testing.T) {
	p, err := newProcess(testSettings(t))
	assert.NilError(t, err)
	defer p.close()
	open, err := listen(p.settings)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx, open) }()
	admin := "http://" + open.admin.Addr().String()
	eventually(t, admin+"/readyz", http.StatusOK)
	for _, path := range []string{"/livez", "/metrics", "/v1/status"} {
		assert.Equal(t, status(admin+path), http.StatusOK, path)
	}
	assert.Equal(t, status(admin+"/v1/explain/e-1"), http.StatusNotFound)
	ticket, refusal, _ := p.gate.Admit(time.Now(), admit.Request{Workspace: "w"})
	assert.Equal(t, refusal, admit.Admitted)
	cancel()
	eventually(t, admin+"/readyz", http.StatusServiceUnavailable)
	assert.Equal(t, status(admin+"/livez"), http.StatusOK)
	select {
	case err := <-ended:
		t.Fatal("run returned while a request was in flight", err)
	default:
	}
	ticket.Done(time.Now(), admit.EndCompleted, 0)
	assert.NilError(t, <-ended)
}

func TestPortsInUseAreAnError(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	defer taken.Close()
	s := testSettings(t)
	s.Listen.Admin = taken.Addr().String()
	assert.ErrorContains(t, Run(context.Background(), s), s.Listen.Admin)
}

func TestSettingsAreStrict(t *testing.T) {
	const good = `
[process]
name = "e"
zone = "z"
[listen]
callers = "127.0.0.1:1"
fleet = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
objects = "http://127.0.0.1:4"
hosts = "http://127.0.0.1:5"
[fleet]
key = "k"
`
	decode := func(text string) error {
		s := Defaults()
		return settings.Decode("entry.toml", []byte(text), &s)
	}
	assert.NilError(t, decode(good))
	for _, c := range []struct{ text, want string }{
		{strings.Replace(good, `name = "e"`, "", 1), "process.name"},
		{strings.Replace(good, "127.0.0.1:2", "localhost", 1), "entry.toml:7: listen.fleet"},
		{good + "[limits]\nbody_bytes = 0\n", "entry.toml:15: limits.body_bytes"},
		{good + "[limits]\nbodies = 1\n", "limits.bodies"},
		{good + "[routing]\npolicy = \"best\"\n", "routing.policy"},
		{good + "[routing]\nhedge_percent = 101\n", "routing.hedge_percent"},
		{good + "[placement]\nlease_ms = 1\n", "placement.lease_ms"},
	} {
		assert.ErrorContains(t, decode(c.text), c.want)
	}
}

// fakeClaimReader maps "key/stage" to the state of a claim.
type fakeClaimReader map[string]claims.State

func (l fakeClaimReader) Inspect(_ context.Context, _, _, key, stage string) (claims.State, error) {
	if claim, ok := l[key+"/"+stage]; ok {
		return claim, nil
	}
	return claims.State{Status: claims.Absent}, nil
}

// fakeView is a fleet with one other entry, b, in which every template has the stage "pay".
type fakeView struct{ other string }

func (v fakeView) Hosts() []fleet.Host {
	return []fleet.Host{{Name: "b", Role: fleet.RoleEntry, Addr: v.other}}
}

func (fakeView) Template(name string) (config.Template, bool) {
	return config.Template{Name: name, Stages: []config.Stage{{Name: "pay", NonIdempotent: true}}}, true
}

func TestFindsByTraceEntryAndClaim(t *testing.T) {
	other := trace.NewRing(1)
	other.Begin(trace.Trace{RequestID: "b-1", Workspace: "w"})
	server := link.NewServer("k")
	assert.NilError(t, wirepb.DRPCRegisterEntry(server.Mux(), &fleetServer{traces: other}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	defer func() { cancel(); <-served }()
	view := fakeView{other: listener.Addr().String()}
	dialer := link.NewDialer("k")
	defer dialer.Close()
	f := &finder{
		name: "a", state: func() fleetView { return view }, traces: trace.NewRing(1), dialer: dialer,
		claims: fakeClaimReader{
			"a-2/pay": {Status: claims.Done},
			"k/pay":   {Status: claims.NotRun},
		},
	}
	cases := []struct {
		id   core.RequestID
		key  string
		want core.Outcome
	}{
		{"b-1", "", core.OutcomeRunning},
		{"a-2", "", core.OutcomeUnknown},
		{"a-3", "k", core.OutcomeNotRun},
		{"a-3", "", ""},
	}
	for _, c := range cases {
		found, ok := f.Find(ctx, "w", "p", c.id, c.key)
		assert.Equal(t, found.Outcome, c.want, fmt.Sprint(c))
		assert.Equal(t, ok, c.want != "")
	}
}
