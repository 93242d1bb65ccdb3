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

// root is the root of the Go workspace.
const root = "../.."

// trialTimeout limits one test; stopTimeout limits the planned stop of its processes.
const (
	trialTimeout = 2 * time.Minute
	stopTimeout  = time.Minute
)

// binaries is the folder into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a temporary folder and runs the tests.
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

// trial is a running fleet with a client that records its exchanges.
type trial struct {
	t      *testing.T
	ctx    context.Context
	fleet  *harness.Fleet
	client *caller.Client

	mu         sync.Mutex
	exchanges  []verdict.Exchange
	lastNumber int
}

// startTrial starts a fleet on a deployment with the configuration of the Institute
// example. The processes end with the test; their logs are kept if the test fails.
func startTrial(t *testing.T, d deployment.Deployment) *trial {
	ctx, cancel := context.WithTimeout(t.Context(), trialTimeout)
	t.Cleanup(cancel)
	files := []string{
		pipelinesWithLongDeadlines(t),
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

// pipelinesWithLongDeadlines returns a file with the pipelines of the Institute
// example and deadlines of a minute: these tests check the outcomes of requests and
// must not depend on the speed of the machine.
func pipelinesWithLongDeadlines(t *testing.T) string {
	declared, err := os.ReadFile(filepath.Join(root, "examples", "institute", "pipelines.toml"))
	assert.NilError(t, err)
	relaxed := strings.ReplaceAll(string(declared), "\ndeadline_ms = 3000\n", "\ndeadline_ms = 60000\n")
	relaxed = strings.ReplaceAll(relaxed, "\nmax_deadline_ms = 5000\n", "\nmax_deadline_ms = 60000\n")
	path := filepath.Join(t.TempDir(), "pipelines.toml")
	assert.NilError(t, os.WriteFile(path, []byte(relaxed), 0o600))
	return path
}

// request returns a request with a body that is unique in the trial.
func (tr *trial) request(workspace, pipeline string) caller.Request {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastNumber++
	return caller.Request{
		Workspace: workspace,
		Pipeline:  pipeline,
		Body:      fmt.Appendf(nil, `{"number":%d}`, tr.lastNumber),
	}
}

// send sends a request to an entry and records the exchange. bad marks a request that must
// be refused before it reaches an upstream.
func (tr *trial) send(entry int, r caller.Request, bad bool) caller.Result {
	result := tr.client.Send(tr.ctx, tr.fleet.Entries[entry].URL, r)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.exchanges = append(tr.exchanges, verdict.Exchange{Request: r, Result: result, Bad: bad})
	return result
}

// judge returns the summary of the trial and fails the test on any violation.
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

func TestStreamedRequestEndToEnd(t *testing.T) {
	tr := startTrial(t, deployment.Minimal())
	r := tr.request("pensionistas", "consulta")
	r.Stream = true
	result := tr.send(0, r, false)
	assert.Equal(t, result.Verdict, caller.Complete, result.Detail)
	assert.Equal(t, len(result.Chunks), 32)
	tr.stop()
	assert.Equal(t, tr.judge().Answered, 1)
}

func TestBadRequestsReachNoUpstream(t *testing.T) {
	tr := startTrial(t, deployment.Minimal())
	badJSON := tr.request("pensionistas", "consulta")
	badJSON.Body = badJSON.Body[1:]
	unknown := tr.request("nobody", "consulta")
	wrongMethod := tr.request("pensionistas", "consulta")
	wrongMethod.Method = "PUT"
	zeroDeadline := tr.request("pensionistas", "consulta")
	zeroDeadline.DeadlineMS = "0"
	oversize := tr.request("pensionistas", "consulta")
	oversize.Body = append(oversize.Body, make([]byte, 1<<20)...)
	for _, r := range []caller.Request{badJSON, unknown, wrongMethod, zeroDeadline, oversize} {
		result := tr.send(0, r, true)
		assert.Equal(t, result.Verdict, caller.Problem, result.Detail)
		assert.Equal(t, result.Outcome, core.OutcomeNotRun)
	}
	tr.stop()
	records, err := tr.fleet.Records()
	assert.NilError(t, err)
	for _, record := range records {
		// Orders come from the placement of models, not from requests.
		assert.Equal(t, record.Event, ledger.Order, "%+v", record)
	}
	assert.Equal(t, tr.judge().NotRun, 5)
}

// slowTokenMS makes a stream of 32 tokens last about two seconds: longer than any
// delay in an entry's shutdown in which a shorter stream could end although the
// entry did not wait for it.
const slowTokenMS = 60

func TestPlannedStopCutsNoStream(t *testing.T) {
	const streams = 4
	slow := deployment.Minimal()
	for i := range slow.Groups {
		slow.Groups[i].TokenMS = slowTokenMS
		slow.Groups[i].BatchSlope = 0
	}
	tr := startTrial(t, slow)
	var firstChunks, ended sync.WaitGroup
	for range streams {
		firstChunks.Add(1)
		first := sync.OnceFunc(firstChunks.Done)
		r := tr.request("pensionistas", "consulta")
		r.Stream = true
		r.OnChunk = func([]byte) { first() }
		ended.Go(func() {
			defer first()
			tr.send(0, r, false)
		})
	}
	firstChunks.Wait()
	tr.stop()
	ended.Wait()
	assert.Equal(t, tr.judge().Answered, streams)
}

func TestOneKeyThroughAllEntriesRunsOnce(t *testing.T) {
	small := deployment.Institute()
	for i := range small.Groups {
		small.Groups[i].Workers = 2
	}
	tr := startTrial(t, small)
	r := tr.request("pensionistas", "redencion")
	r.Key = "one"
	var group sync.WaitGroup
	for entry := range tr.fleet.Entries {
		group.Go(func() { tr.send(entry, r, false) })
	}
	group.Wait()
	retried := tr.send(0, r, false)
	assert.Equal(t, retried.Verdict, caller.Complete, retried.Detail)
	tr.stop()
	assert.Equal(t, tr.judge().Answered, len(tr.fleet.Entries)+1)
}
