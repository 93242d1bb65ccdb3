package side

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/chart"
	"acaciawinch/core/config"
	"acaciawinch/core/gate"
	"acaciawinch/settings"
	"acaciawinch/wire/wirepb"
)

// validSettings is a settings file without optional keys.
const validSettings = `[process]
name = "side-u1"
zone = "z1"
[listen]
fleet = "127.0.0.1:9201"
admin = "127.0.0.1:9202"
[platform]
hosts = "http://127.0.0.1:9001"
[fleet]
key = "key"
[upstream]
name = "u1"
service = "tesoreria"
kind = "service"
url = "http://127.0.0.1:9101"
`

func TestSettingsAreReadWithTheirDefaults(t *testing.T) {
	loaded := Defaults()
	assert.NilError(t, settings.Decode("side.toml", []byte(validSettings), &loaded))
	assert.Equal(t, loaded.Upstream.Kind, config.KindService)
	assert.Equal(t, loaded.Results.KeepMS, 10_000)
	assert.Equal(t, loaded.Queue.Discipline, DisciplineFair)
}

func TestErrorsOfInvalidSettingsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ old, changed, want string }{
		{`key = "key"`, `keys = "key"`, "side.toml:10: fleet.keys: unknown key"},
		{`name = "u1"` + "\n", "", "side.toml:11: upstream.name: missing"},
		{`kind = "service"`, `kind = "plain"`, `side.toml:14: upstream.kind: "plain" is none of`},
		{`fleet = "127.0.0.1:9201"`, `fleet = "localhost:9201"`, `side.toml:5: listen.fleet: "localhost:9201" is not IP:port`},
		{`zone = "z1"`, `zone = 1`, "side.toml:3: process.zone: must be of type string"},
		{"[process]\n", "[queue]\nmax_queued = 0\n[process]\n", "side.toml:2: queue.max_queued: 0 is not within 1 to"},
		{"[process]\n", "[results]\nkeep_claimed_ms = 60000\n[process]\n", "side.toml:2: results.keep_claimed_ms: 60000 is not within 60001 to"},
	} {
		text := strings.Replace(validSettings, c.old, c.changed, 1)
		loaded := Defaults()
		err := settings.Decode("side.toml", []byte(text), &loaded)
		assert.ErrorContains(t, err, c.want)
	}
}

// blockingUpstream is an HTTP upstream that blocks each run until the test releases it.
type blockingUpstream struct {
	arrived chan struct{}
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (u *blockingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/run" {
		fmt.Fprint(w, `{"capacity":2}`)
		return
	}
	u.arrived <- struct{}{}
	select {
	case <-u.release:
		fmt.Fprintln(w, `{"chunk":"YQ=="}`)
		fmt.Fprintln(w, `{"done":true,"cost":1}`)
	case <-r.Context().Done():
	}
}

// startProcess starts a whole sidecar process for the upstream. The returned channel
// receives the result of serve.
func startProcess(t *testing.T, ctx context.Context, upstream http.Handler) (*process, *harness, string, chan error) {
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	loaded := Defaults()
	assert.NilError(t, settings.Decode("side.toml", []byte(validSettings), &loaded))
	loaded.Upstream.URL = server.URL
	loaded.Platform.Hosts = server.URL
	loaded.Process.LogLevel = "error"
	p, err := newProcess(loaded)
	assert.NilError(t, err)
	p.linger = 0
	open, err := listen(ListenSettings{Fleet: "127.0.0.1:0", Admin: "127.0.0.1:0"})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- p.serve(ctx, open) }()
	h := &harness{t: t, dispatcher: p.dispatcher, dialer: p.dialer, addr: open.fleet.Addr().String()}
	return p, h, "http://" + open.admin.Addr().String(), ended
}

// get returns the status code of an admin path.
func get(t *testing.T, url string) int {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

func TestPlannedStopFinishesWhatIsInFlightAndRefusesNewAttempts(t *testing.T) {
	upstream := &blockingUpstream{arrived: make(chan struct{}, 1), release: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p, h, admin, ended := startProcess(t, ctx, upstream)
	await(t, "the process is ready", func() bool { return get(t, admin+"/readyz") == http.StatusOK })
	newRequest := func() *wirepb.RunRequest {
		request := h.request()
		request.Key.SideIncarnation = uint64(p.incarnation)
		return request
	}
	first := newRequest()
	s := h.run(context.Background(), first)
	<-upstream.arrived
	stop()
	await(t, "the process is not ready", func() bool { return get(t, admin+"/readyz") == http.StatusServiceUnavailable })
	await(t, "the process drains", func() bool { return p.lifecycle.State() == chart.State("draining") })
	assert.Equal(t, get(t, admin+"/livez"), http.StatusOK)
	out := h.read(h.run(context.Background(), newRequest()))
	assert.Equal(t, out.refused.GetReason(), wirepb.RefusalReason_REFUSAL_DRAINING)
	close(upstream.release)
	assert.DeepEqual(t, h.read(s).chunks, []string{"a"})
	assert.NilError(t, <-ended)
	assert.Equal(t, p.lifecycle.State(), chart.State("stopped"))
}

func TestStopWaitsForTheAcknowledgementOfAClaimedResult(t *testing.T) {
	upstream := &blockingUpstream{arrived: make(chan struct{}, 1), release: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p, h, _, ended := startProcess(t, ctx, upstream)
	await(t, "the process is ready", p.lifecycle.Ready)
	request := h.claimed()
	request.Key.SideIncarnation = uint64(p.incarnation)
	s := h.run(context.Background(), request)
	<-upstream.arrived
	close(upstream.release)
	h.read(s)
	stop()
	await(t, "the process drains", func() bool { return p.lifecycle.State() == chart.State("draining") })
	assert.Equal(t, h.resolve(request).GetState(), wirepb.ResolveState_RESOLVE_DONE)
	select {
	case err := <-ended:
		t.Fatal("the stop did not wait for the acknowledgement", err)
	default:
	}
	_, err := h.client().Acknowledge(context.Background(), &wirepb.AcknowledgeRequest{Key: request.GetKey()})
	assert.NilError(t, err)
	assert.NilError(t, <-ended)
}

func TestStatusAndMetricsAreServed(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	_, _, admin, ended := startProcess(t, ctx, &blockingUpstream{})
	await(t, "the process is ready", func() bool { return get(t, admin+"/readyz") == http.StatusOK })
	response, err := http.Get(admin + "/v1/status")
	assert.NilError(t, err)
	defer response.Body.Close()
	var status struct {
		Upstream string
		State    string
		Capacity int
		Queued   *int
		InFlight *int `json:"in_flight"`
		Costs    []gate.Charge
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&status))
	assert.Equal(t, status.Upstream, "u1")
	assert.Equal(t, status.State, "available")
	assert.Equal(t, status.Capacity, 2)
	assert.Assert(t, status.Queued != nil && status.InFlight != nil)
	assert.Equal(t, len(status.Costs), len(gate.Causes))
	assert.Equal(t, get(t, admin+"/metrics"), http.StatusOK)
	stop()
	assert.NilError(t, <-ended)
}

func TestPortInUseIsAnError(t *testing.T) {
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer inUse.Close()
	_, err = listen(ListenSettings{Fleet: "127.0.0.1:0", Admin: inUse.Addr().String()})
	assert.ErrorContains(t, err, "side.listen")
}
