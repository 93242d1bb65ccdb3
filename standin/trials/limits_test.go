package trials

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/share"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/ledger"
)

// The workspace whose limit on requests in flight is tested, the limit, and the
// service of the workspace's most expensive stage.
const (
	limitedWorkspace = "pensionistas"
	maxInFlight      = 6
	limitedService   = "asistente-llm"
)

// startLimited starts three entries and a few upstreams with slow streams, and sets
// the workspace's limit to maxInFlight.
func startLimited(t *testing.T) *trial {
	d := deployment.Institute()
	for i := range d.Groups {
		d.Groups[i].Workers = 2
		d.Groups[i].TokenMS = slowTokenMS
		d.Groups[i].BatchSlope = 0
	}
	tr := startTrial(t, d)
	text, err := os.ReadFile(filepath.Join(root, "examples", "institute", "workspaces.toml"))
	assert.NilError(t, err)
	setting := "max_in_flight = 2000"
	assert.Assert(t, strings.Contains(string(text), setting))
	file := filepath.Join(t.TempDir(), "workspaces.toml")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(string(text), setting, "max_in_flight = 6", 1)), 0o600))
	assert.NilError(t, tr.fleet.Apply(tr.ctx, file))
	return tr
}

// home returns the index of the entry that is the home of the workspace's permits:
// the one that counts its requests in flight.
func (tr *trial) home() int {
	first := share.NewHomes(tr.fleet.HostList().Hosts, tr.fleet.Options.Deployment.Region).Of(limitedWorkspace, 0)[0]
	return slices.IndexFunc(tr.fleet.HostList().Hosts, func(h fleet.Host) bool { return h.Name == first.Name })
}

// burst is a group of concurrent requests.
type burst struct {
	mu      sync.Mutex
	results []caller.Result
	group   sync.WaitGroup
	// firstChunks counts the requests that have neither received a first chunk nor
	// ended.
	firstChunks sync.WaitGroup
}

// startStream starts a streamed request to an entry.
func (b *burst) startStream(tr *trial, entry int) {
	r := tr.request(limitedWorkspace, "consulta")
	r.Stream = true
	r.DeadlineMS = "5000"
	b.firstChunks.Add(1)
	markFirst := sync.OnceFunc(b.firstChunks.Done)
	r.OnChunk = func([]byte) { markFirst() }
	b.group.Go(func() {
		defer markFirst()
		result := tr.send(entry, r, false)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.results = append(b.results, result)
	})
}

// countAnswered waits until all requests end and returns how many succeeded. It
// checks that the others were refused because of the limit.
func (b *burst) countAnswered(t *testing.T) int {
	b.group.Wait()
	count := 0
	for _, result := range b.results {
		if result.Verdict == caller.Complete {
			count++
			continue
		}
		assert.Equal(t, result.Verdict, caller.Problem, result.Detail)
		assert.Equal(t, result.Outcome, core.OutcomeNotRun, result.Detail)
		assert.Assert(t, result.RetryAfter > 0)
	}
	return count
}

// maxConcurrent returns the maximum number of requests that ran in the most expensive
// stage at the same time, by the records of the ledgers from sinceUS on.
func (tr *trial) maxConcurrent(sinceUS int64) int {
	records, err := tr.fleet.Records()
	assert.NilError(tr.t, err)
	slices.SortStableFunc(records, func(a, b ledger.Record) int { return int(a.TimeUS - b.TimeUS) })
	running := map[string]int{}
	most := 0
	for _, r := range records {
		if r.Service != limitedService || r.Event == ledger.Order || r.TimeUS < sinceUS {
			continue
		}
		request, _, _ := strings.Cut(r.ID, "/")
		switch {
		case r.Event == ledger.Start:
			running[request]++
		case running[request] > 1:
			running[request]--
		default:
			delete(running, request)
		}
		most = max(most, len(running))
	}
	return most
}

func TestOneEntryMayUseWholeWorkspaceLimit(t *testing.T) {
	tr := startLimited(t)
	entry := (tr.home() + 1) % len(tr.fleet.Entries)
	var all burst
	for range maxInFlight {
		all.startStream(tr, entry)
	}
	all.firstChunks.Wait()
	r := tr.request(limitedWorkspace, "consulta")
	refused := tr.send(entry, r, false)
	assert.Equal(t, refused.Status, http.StatusTooManyRequests, refused.Detail)
	assert.Equal(t, refused.Outcome, core.OutcomeNotRun)
	assert.Equal(t, all.countAnswered(t), maxInFlight)
	tr.stop()
	assert.Equal(t, tr.maxConcurrent(0), maxInFlight)
	tr.judge()
}

// TestWorkspaceLimitHoldsAcrossEntries sends requests through three entries at once,
// then through two while the home is down, and once more when all requests that the
// home had granted have ended. Up to twice the limit may run while the deputy takes
// over from the home; once those requests have ended, the limit holds again.
func TestWorkspaceLimitHoldsAcrossEntries(t *testing.T) {
	tr := startLimited(t)
	home := tr.home()
	var first, second, third burst
	for range maxInFlight {
		for entry := range tr.fleet.Entries {
			first.startStream(tr, entry)
		}
	}
	answered := first.countAnswered(t)
	assert.Assert(t, answered > 0 && answered <= maxInFlight, "%d answered", answered)
	assert.Assert(t, tr.maxConcurrent(0) <= maxInFlight)

	others := []int{(home + 1) % 3, (home + 2) % 3}
	for range maxInFlight {
		second.startStream(tr, others[0])
	}
	second.firstChunks.Wait()
	tr.fleet.Entries[home].Kill()
	for range maxInFlight {
		second.startStream(tr, others[0])
		second.startStream(tr, others[1])
	}
	assert.Assert(t, second.countAnswered(t) >= maxInFlight)
	assert.Assert(t, tr.maxConcurrent(0) <= 2*maxInFlight, "more than the documented overshoot")

	assert.NilError(t, harness.Await(tr.ctx, "the deputy grants no permit", func(context.Context) error {
		return tr.sendOne(others[1])
	}))
	since := timeAfterRecords(t, tr)
	for range maxInFlight {
		third.startStream(tr, others[0])
		third.startStream(tr, others[1])
	}
	third.countAnswered(t)
	assert.Assert(t, tr.maxConcurrent(since) <= maxInFlight)
	assert.NilError(t, tr.fleet.Entries[home].Restart(tr.ctx))
	tr.stop()
	tr.judge()
}

// TestFrozenHomeDoesNotRefuseRequests freezes the home, so that its deputy grants the
// permits instead. At most twice the limit runs, also after the home resumes.
func TestFrozenHomeDoesNotRefuseRequests(t *testing.T) {
	tr := startLimited(t)
	home := tr.home()
	assert.NilError(t, tr.fleet.Entries[home].Freeze())
	var all burst
	for range maxInFlight {
		all.startStream(tr, (home+1)%len(tr.fleet.Entries))
	}
	all.firstChunks.Wait()
	assert.NilError(t, tr.fleet.Entries[home].Resume())
	for range maxInFlight {
		all.startStream(tr, (home+2)%len(tr.fleet.Entries))
	}
	assert.Assert(t, all.countAnswered(t) >= maxInFlight)
	tr.stop()
	assert.Assert(t, tr.maxConcurrent(0) <= 2*maxInFlight)
	tr.judge()
}

// sendOne sends a request and returns an error unless it succeeds.
func (tr *trial) sendOne(entry int) error {
	if result := tr.send(entry, tr.request(limitedWorkspace, "consulta"), false); result.Verdict != caller.Complete {
		return errors.New(result.Detail)
	}
	return nil
}

// timeAfterRecords returns a time just after the newest record of the ledgers, in
// microseconds.
func timeAfterRecords(t *testing.T, tr *trial) int64 {
	records, err := tr.fleet.Records()
	assert.NilError(t, err)
	last := int64(0)
	for _, r := range records {
		last = max(last, r.TimeUS)
	}
	return last + 1
}
