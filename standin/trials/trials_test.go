package trials

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/verdict"
)

// root is the folder of the workspace.
const root = "../.."

// trialTimeout bounds one trial; stopTimeout bounds its planned stop.
const (
	trialTimeout = 2 * time.Minute
	stopTimeout  = time.Minute
)

// binaries is the folder that the programs were built into.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a folder of their own and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "acaciawinch-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir+"/",
		"./acaciawinchd", "./acaciawinch", "./standin/cmd/standin")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, output)
		return 1
	}
	return m.Run()
}

// trial is a running fleet with a caller that records what it got.
type trial struct {
	t      *testing.T
	ctx    context.Context
	fleet  *harness.Fleet
	client *caller.Client

	mu        sync.Mutex
	exchanges []verdict.Exchange
	number    int
}

// start starts the Institute's configuration on a deployment. What it starts
// ends with the test; the logs stay if the test failed.
func start(t *testing.T, d deployment.Deployment) *trial {
	ctx, cancel := context.WithTimeout(t.Context(), trialTimeout)
	t.Cleanup(cancel)
	files := []string{
		patientPipelines(t),
		filepath.Join(root, "examples", "institute", "workspaces.toml"),
	}
	configuration, err := catalog.Load(files...)
	assert.NilError(t, err)
	fleet, err := harness.Start(ctx, harness.Options{Deployment: d, Bin: binaries, Configuration: files})
	assert.NilError(t, err)
	tr := &trial{t: t, ctx: ctx, fleet: fleet, client: caller.New(configuration)}
	t.Cleanup(func() {
		tr.client.Close()
		fleet.Kill()
		if t.Failed() {
			t.Log("settings, logs and ledgers:", fleet.Dir)
			return
		}
		assert.NilError(t, fleet.RemoveDir())
	})
	return tr
}

// patientPipelines returns the file of the Institute's pipelines with deadlines of
// a minute: these trials are about what becomes of a request, not about how fast
// the machine is.
func patientPipelines(t *testing.T) string {
	declared, err := os.ReadFile(filepath.Join(root, "examples", "institute", "pipelines.toml"))
	assert.NilError(t, err)
	patient := strings.ReplaceAll(string(declared), "\ndeadline_ms = 3000\n", "\ndeadline_ms = 60000\n")
	patient = strings.ReplaceAll(patient, "\nmax_deadline_ms = 5000\n", "\nmax_deadline_ms = 60000\n")
	path := filepath.Join(t.TempDir(), "pipelines.toml")
	assert.NilError(t, os.WriteFile(path, []byte(patient), 0o600))
	return path
}

// request returns a request whose body no other one of the trial has.
func (tr *trial) request(workspace, pipeline string) caller.Request {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.number++
	return caller.Request{
		Workspace: workspace,
		Pipeline:  pipeline,
		Body:      fmt.Appendf(nil, `{"number":%d}`, tr.number),
	}
}

// send sends a request to an entry and records the exchange.
func (tr *trial) send(entry int, r caller.Request, bad bool) caller.Result {
	result := tr.client.Send(tr.ctx, tr.fleet.Entries[entry].URL, r)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.exchanges = append(tr.exchanges, verdict.Exchange{Request: r, Result: result, Bad: bad})
	return result
}

// judge returns the trial's summary and fails the test on any violation.
func (tr *trial) judge() verdict.Summary {
	records, err := tr.fleet.Records()
	assert.NilError(tr.t, err)
	summary := verdict.Judge(tr.client, tr.exchanges, records)
	assert.Assert(tr.t, summary.Clean(), "%v", summary.Findings)
	return summary
}

// stop stops all processes gracefully.
func (tr *trial) stop() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(tr.ctx), stopTimeout)
	defer cancel()
	assert.NilError(tr.t, tr.fleet.Stop(ctx))
}

func TestOneStreamedRequestTravelsTheWholePath(t *testing.T) {
	tr := start(t, deployment.Thin())
	r := tr.request("pensionistas", "consulta")
	r.Stream = true
	result := tr.send(0, r, false)
	assert.Equal(t, result.Verdict, caller.Whole, result.Detail)
	assert.Equal(t, len(result.Chunks), 32)
	tr.stop()
	assert.Equal(t, tr.judge().Answered, 1)
}

func TestBadRequestsReachNoUpstream(t *testing.T) {
	tr := start(t, deployment.Thin())
	badJSON := tr.request("pensionistas", "consulta")
	badJSON.Body = badJSON.Body[1:]
	unknown := tr.request("nobody", "consulta")
	wrongMethod := tr.request("pensionistas", "consulta")
	wrongMethod.Method = "PUT"
	noTime := tr.request("pensionistas", "consulta")
	noTime.DeadlineMS = "0"
	oversize := tr.request("pensionistas", "consulta")
	oversize.Body = append(oversize.Body, make([]byte, 1<<20)...)
	for _, r := range []caller.Request{badJSON, unknown, wrongMethod, noTime, oversize} {
		result := tr.send(0, r, true)
		assert.Equal(t, result.Verdict, caller.Problem, result.Detail)
		assert.Equal(t, result.Outcome, core.OutcomeNotRun)
	}
	tr.stop()
	records, err := tr.fleet.Records()
	assert.NilError(t, err)
	for _, record := range records {
		// Orders follow from the placement, not from requests.
		assert.Equal(t, record.Event, ledger.Order, "%+v", record)
	}
	assert.Equal(t, tr.judge().NotRun, 5)
}

// slowTokenMS makes a stream of 32 tokens last about two seconds: longer than
// anything by which an entry might let a short one end without waiting for it.
const slowTokenMS = 60

func TestPlannedStopCutsNoStream(t *testing.T) {
	const streams = 4
	slow := deployment.Thin()
	for i := range slow.Groups {
		slow.Groups[i].TokenMS = slowTokenMS
		slow.Groups[i].BatchSlope = 0
	}
	tr := start(t, slow)
	var begun, ended sync.WaitGroup
	for range streams {
		begun.Add(1)
		first := sync.OnceFunc(begun.Done)
		r := tr.request("pensionistas", "consulta")
		r.Stream = true
		r.OnChunk = func([]byte) { first() }
		ended.Go(func() {
			defer first()
			tr.send(0, r, false)
		})
	}
	begun.Wait()
	tr.stop()
	ended.Wait()
	assert.Equal(t, tr.judge().Answered, streams)
}

func TestOneKeyThroughAllEntriesRunsOnce(t *testing.T) {
	small := deployment.Institute()
	for i := range small.Groups {
		small.Groups[i].Workers = 2
	}
	tr := start(t, small)
	r := tr.request("pensionistas", "redencion")
	r.Key = "one"
	var group sync.WaitGroup
	for entry := range tr.fleet.Entries {
		group.Go(func() { tr.send(entry, r, false) })
	}
	group.Wait()
	again := tr.send(0, r, false)
	assert.Equal(t, again.Verdict, caller.Whole, again.Detail)
	tr.stop()
	assert.Equal(t, tr.judge().Answered, len(tr.fleet.Entries)+1)
}
