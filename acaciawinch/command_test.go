package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// bench runs command lines against a fake store.
type bench struct {
	t      *testing.T
	ctx    context.Context
	store  *fakeStore
	config string
	dir    string
}

// newBench returns a bench with a settings file.
func newBench(t *testing.T, more string) *bench {
	store, url := newFakeStore(t)
	b := &bench{t: t, ctx: t.Context(), store: store, dir: t.TempDir()}
	b.config = b.file("acaciawinch.toml", fmt.Sprintf("[platform]\nobjects = %q\n%s", url, more))
	return b
}

// file writes a file and returns its path.
func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	assert.NilError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command line and returns its code and all that it printed.
func (b *bench) run(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	code := run(b.ctx, append([]string{"--config", b.config}, args...), &out, &errOut)
	return code, out.String() + errOut.String()
}

// expect runs a command line and checks its code and a part of what it printed.
func (b *bench) expect(code int, text string, args ...string) string {
	b.t.Helper()
	got, printed := b.run(args...)
	assert.Equal(b.t, got, code, printed)
	assert.Assert(b.t, strings.Contains(printed, text), "%q is not in:\n%s", text, printed)
	return printed
}

// examples returns the files of an example deployment.
func examples(name string) []string {
	return []string{"../examples/" + name + "/pipelines.toml", "../examples/" + name + "/workspaces.toml"}
}

// weighted returns a file that declares one workspace of the Institute.
func (b *bench) weighted(weight int) string {
	return b.file(fmt.Sprintf("w%d.toml", weight),
		fmt.Sprintf("[[workspaces]]\nname = \"asesores\"\npipelines = [\"consulta\"]\nweight = %d\n", weight))
}

func TestBothExamplesAreValid(t *testing.T) {
	for _, name := range []string{"institute", "cascade-grind"} {
		newBench(t, "").expect(exitDone, "valid", append([]string{"validate"}, examples(name)...)...)
	}
}

func TestApplyGetHistoryAndRollback(t *testing.T) {
	b := newBench(t, "")
	apply := append([]string{"apply", "--note", "first"}, examples("institute")...)
	b.expect(exitDone, "accepted as revision 1", apply...)
	b.expect(exitDone, "unchanged: revision 1", apply...)
	b.expect(exitDone, "accepted as revision 2", "apply", b.weighted(4))
	b.expect(exitDone, "weight = 4", "get", "--workspace", "asesores")
	b.expect(exitDone, "weight = 2", "get", "--workspace", "asesores", "--revision", "1")
	b.expect(exitDone, "accepted as revision 3", "rollback", "1")
	b.expect(exitDone, "weight = 2", "get", "--workspace", "asesores")
	b.expect(exitDone, "rollback to revision 1", "history")

	whole := b.file("whole.toml", b.expect(exitDone, "# revision 3", "get"))
	b.expect(exitDone, "unchanged", "apply", "--prune", whole)
	b.expect(exitDone, "workspace pensionistas", "apply", "--prune", examples("institute")[0], b.weighted(5))
	b.expect(exitBadInput, "no workspace", "get", "--workspace", "pensionistas")
}

func TestAConflictNamesWhatChanged(t *testing.T) {
	b := newBench(t, "")
	b.expect(exitDone, "accepted", append([]string{"apply"}, examples("institute")...)...)
	b.expect(exitDone, "accepted", "apply", b.weighted(4))
	printed := b.expect(exitConflict, "conflict with revision 2", "apply", "--base", "1", b.weighted(5))
	assert.Assert(t, strings.Contains(printed, "workspace asesores"), printed)
}

func TestRacingOperatorsOfDifferentThingsAllSucceed(t *testing.T) {
	b := newBench(t, "")
	b.expect(exitDone, "accepted", append([]string{"apply"}, examples("institute")...)...)
	var group sync.WaitGroup
	const operators = 6
	codes := make([]int, operators)
	for i := range operators {
		file := b.file(fmt.Sprintf("own%d.toml", i), fmt.Sprintf("[[workspaces]]\nname = \"own-%d\"\npipelines = [\"consulta\"]\nweight = 1\n", i))
		group.Go(func() { codes[i], _ = b.run("apply", file) })
	}
	group.Wait()
	assert.DeepEqual(t, codes, make([]int, operators))
	b.expect(exitDone, fmt.Sprintf("# revision %d,", 1+operators), "get")
	for i := range operators {
		b.expect(exitDone, "weight = 1", "get", "--workspace", fmt.Sprintf("own-%d", i))
	}
}

func TestBadInputNamesFileLineAndKey(t *testing.T) {
	b := newBench(t, "")
	b.expect(exitBadInput, "w0.toml:4: workspaces[0].weight: must be 1 to 1000, is 0", "validate", b.weighted(0))
	b.expect(exitBadInput, "w0.toml:4: workspaces[0].weight: must be 1 to 1000, is 0", "apply", examples("institute")[0], b.weighted(0))
	twice := b.file("twice.toml", "[[workspaces]]\nname = \"a\"\n[[workspaces]]\nname = \"a\"\n")
	b.expect(exitBadInput, "twice.toml:4: workspaces[1].name: stands twice", "apply", twice)
	b.expect(exitBadInput, "unknown.toml:1: pipes: unknown key", "apply", b.file("unknown.toml", "pipes = 1\n"))
	b.expect(exitBadInput, "no such file", "apply", "absent.toml")
	b.expect(exitBadInput, "there is no revision 9", "get", "--revision", "9")
	b.expect(exitBadInput, "Unknown command", "nothing")
	b.expect(exitBadInput, "unexpected arguments", "history", "more")
	b.expect(exitBadInput, "wrong argument", "rollback", "x")
	b.config = b.file("broken.toml", "[platform]\nobject = \"x\"\n")
	b.expect(exitBadInput, "broken.toml:2: platform.object: unknown key", "get")
}

func TestALostAnswerIsSettled(t *testing.T) {
	for name, lose := range map[string]func(*fakeStore){
		"after the write": func(s *fakeStore) { s.loseHead = true },
		"before it":       func(s *fakeStore) { s.dropHead = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "")
			b.store.change(lose)
			b.expect(exitDone, "accepted as revision 1", append([]string{"apply"}, examples("institute")...)...)
		})
	}
}

func TestAStoreThatIsDownIsReported(t *testing.T) {
	b := newBench(t, "")
	b.store.change(func(s *fakeStore) { s.down = true })
	b.expect(exitUnavailable, "unavailable", "get")
	b.expect(exitUnavailable, "not accepted", "--timeout", "300ms", "apply", b.weighted(1))
}

func TestDrainAndUndrainAreChanges(t *testing.T) {
	b := newBench(t, "")
	b.expect(exitDone, "drained upstream tesoreria-1", "drain", "tesoreria-1")
	b.expect(exitDone, "# drained: tesoreria-1", "get")
	b.expect(exitDone, "accepted as revision 2", "undrain", "tesoreria-1")
	b.expect(exitDone, "drain tesoreria-1", "history")
}

func TestADrainOfAnUnknownUpstreamIsRefused(t *testing.T) {
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":1,"hosts":[]}`))
	}))
	defer hosts.Close()
	b := newBench(t, fmt.Sprintf("hosts = %q\n", hosts.URL))
	b.expect(exitBadInput, `no upstream "tesoreria-9"`, "drain", "tesoreria-9")
	b.expect(exitDone, "unchanged", "undrain", "tesoreria-9")
}

// drainedSide is a side that notes which drains it was told.
type drainedSide struct {
	wirepb.DRPCSideUnimplementedServer
	told chan bool
}

// Drain implements wirepb.DRPCSideServer.
func (s *drainedSide) Drain(_ context.Context, req *wirepb.DrainRequest) (*wirepb.DrainReply, error) {
	s.told <- !req.GetResume()
	return &wirepb.DrainReply{}, nil
}

// newSide serves a side of the fleet with key "k" and returns its address.
func newSide(t *testing.T, side *drainedSide) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer("k")
	assert.NilError(t, wirepb.DRPCRegisterSide(server.Mux(), side))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func TestADrainTellsTheSideAlsoWhileTheStoreIsDown(t *testing.T) {
	side := &drainedSide{told: make(chan bool, 1)}
	address := newSide(t, side)
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"version":1,"hosts":[{"name":"tesoreria-1","role":"upstream","addr":%q}]}`, address)
	}))
	defer hosts.Close()
	b := newBench(t, fmt.Sprintf("hosts = %q\n[fleet]\nkey = \"k\"\n", hosts.URL))
	down := func(down bool) { b.store.change(func(s *fakeStore) { s.down = down }) }
	down(true)
	// The operator gives up when the store has refused; the side was told before.
	var giveUp context.CancelFunc
	b.ctx, giveUp = context.WithCancel(t.Context())
	b.store.change(func(s *fakeStore) { s.refused = giveUp })
	b.expect(exitUnavailable, "the side of tesoreria-1 was told", "drain", "tesoreria-1")
	assert.Equal(t, <-side.told, true)
	b.ctx = t.Context()
	down(false)
	b.expect(exitDone, "the side of tesoreria-1 was told", "drain", "tesoreria-1")
	assert.Equal(t, <-side.told, true)
	down(true)
	b.expect(exitUnavailable, "not accepted", "--timeout", "300ms", "undrain", "tesoreria-1")
	assert.Equal(t, len(side.told), 0, "an undrain that was not accepted was carried out")
	down(false)
	b.expect(exitDone, "the side of tesoreria-1 was told", "undrain", "tesoreria-1")
	assert.Equal(t, <-side.told, false)
}

// newEntry serves the admin paths of an entry that knows one request.
func newEntry(t *testing.T) string {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"name":"entry-1","zone":"z","ready":true,"revision":7,"hosts":3,"placement_version":2,"feed":{"relay":true,"subscribers":4}}`))
	})
	mux.HandleFunc("/v1/explain/entry-1-ab", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"request_id":"entry-1-ab","outcome":"answered","decisions":[{"event":2001,"name":"route_chosen",` +
			`"stage":"encode","attempt":1,"upstream":"u1","reason":"least wait","alternatives":[{"upstream":"u2","reason":"slower"}]}]}`))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestStatusAndExplainAskEntries(t *testing.T) {
	entry := newEntry(t)
	b := newBench(t, fmt.Sprintf("[entries]\nadmin = [%q]\n", entry))
	b.expect(exitDone, "entry-1 (z): ready true, revision 7, hosts 3, placement 2, relay to 4", "status")
	printed := b.expect(exitDone, "route_chosen  encode/1  u1: least wait", "explain", "entry-1-ab")
	assert.Assert(t, strings.Contains(printed, "not u2: slower"), printed)
	b.expect(exitBadInput, "not found", "explain", "entry-1-none")

	b = newBench(t, fmt.Sprintf("[entries]\nadmin = [%q, \"http://127.0.0.1:1\"]\n", entry))
	b.expect(exitUnavailable, "revision 7", "status")
	b.expect(exitUnavailable, "unavailable", "explain", "entry-1-none")
	b = newBench(t, fmt.Sprintf("[entries]\nadmin = [\"http://127.0.0.1:1\", %q]\n", entry))
	b.expect(exitUnavailable, "unavailable", "explain", "entry-1-none")
	b.expect(exitDone, "route_chosen", "explain", "entry-1-ab")
	b = newBench(t, "")
	b.expect(exitBadInput, "entries.admin: missing", "status")
}

func TestEveryCommandThatPrintsHasJSON(t *testing.T) {
	b := newBench(t, fmt.Sprintf("[entries]\nadmin = [%q]\n", newEntry(t)))
	for _, args := range [][]string{
		append([]string{"validate"}, examples("institute")...), append([]string{"apply"}, examples("institute")...),
		{"get"}, {"history"}, {"rollback", "1"}, {"status"}, {"explain", "entry-1-ab"}, {"charts"}, {"undrain", "u"},
	} {
		var out, errOut bytes.Buffer
		code := run(context.Background(), append([]string{"--config", b.config, "--output", "json"}, args...), &out, &errOut)
		assert.Equal(t, code, exitDone, errOut.String())
		assert.Assert(t, json.Valid(out.Bytes()), "%v printed %s", args, out.String())
	}
}

func TestRevisionsThatAreNoLongerKeptAreNamedSo(t *testing.T) {
	b := newBench(t, "")
	b.expect(exitDone, "accepted", append([]string{"apply"}, examples("institute")...)...)
	b.expect(exitDone, "accepted", "apply", b.weighted(4))
	b.expect(exitDone, "accepted", "apply", b.weighted(5))
	b.store.keepFrom(2)
	const gone = "revision 1 is no longer kept; the oldest is 2"
	b.expect(exitBadInput, gone, "get", "--revision", "1")
	b.expect(exitBadInput, gone, "rollback", "1")
	b.expect(exitBadInput, gone, "apply", "--base", "1", b.weighted(6))
	printed := b.expect(exitDone, "    -  ", "history")
	assert.Equal(t, strings.Count(printed, "\n"), 3, printed)
	b.expect(exitDone, "accepted as revision 4", "rollback", "2")
	b.expect(exitBadInput, gone, "get", "--revision", "1")
}

func TestAccountCountsTheLinesOfAFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	line := `{"fields":{"event":10023,"request":"a","route":"r","status":200,"first_us":400000,"objective_ms":1000}}` + "\n"
	assert.NilError(t, os.WriteFile(name, []byte(line+"no line of a gateway\n"), 0o600))
	var out, errOut strings.Builder
	assert.Equal(t, run(context.Background(), []string{"account", "--log", name}, &out, &errOut), exitDone, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "r      1        0     0        0       0"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "1 lines could not be read"), out.String())
	assert.Equal(t, run(context.Background(), []string{"account", "--log", name + "x"}, &out, &errOut), exitBadInput)
}
