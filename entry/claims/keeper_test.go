package claims

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"acaciawinch/core/claim"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/gate"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

func TestOneWriteIfNothingFails(t *testing.T) {
	f := newFixture(t)
	f.open(t, "k", Owned)
	assert.Equal(t, f.store.calls, 1)
}

func TestLostWriteResponseIsReadBack(t *testing.T) {
	f := newFixture(t)
	f.store.loseResponses = 1
	state := f.open(t, "k", Owned)
	assert.Equal(t, state.Reason, "open ambiguous own_nonce")
	assert.Equal(t, f.side.dispatch(state.Claim), gate.Admitted)
}

func TestOwnerThatNeverDispatchedIsDisplaced(t *testing.T) {
	f := newFixture(t)
	first := f.open(t, "k", Owned)
	second := f.open(t, "k", Owned)
	assert.Equal(t, f.side.dispatch(first.Claim), gate.Refused, "a tombstone must refuse the late dispatch")
	assert.Equal(t, f.side.dispatch(second.Claim), gate.Admitted)
	lost, err := f.keeper.Reassign(context.Background(), first.Claim, f.side.target())
	assert.NilError(t, err)
	assert.Equal(t, lost.Status, Running)
	assert.DeepEqual(t, lost.Claim.AttemptKey().RequestId, second.Claim.AttemptKey().RequestId)
}

func TestRunningThenDoneThenRecorded(t *testing.T) {
	f := newFixture(t)
	owner := f.open(t, "k", Owned)
	assert.Equal(t, f.side.dispatch(owner.Claim), gate.Admitted)
	assert.Equal(t, f.open(t, "k", Running).Addr(), f.side.addr)
	f.side.finish(owner.Claim, "re", "sult")
	done := f.open(t, "k", Done)
	assert.Assert(t, !done.Recorded)
	assert.NilError(t, f.keeper.Finish(context.Background(), done.Claim, done.Chunks))
	assert.NilError(t, f.keeper.Finish(context.Background(), owner.Claim, done.Chunks), "recording a result twice must not fail")
	f.side.restart(8)
	recorded := f.open(t, "k", Done)
	assert.Assert(t, recorded.Recorded)
	assert.Equal(t, string(recorded.Chunks[0])+string(recorded.Chunks[1]), "result")
}

func TestLargeResultStaysAtTheSidecar(t *testing.T) {
	f := newFixture(t)
	owner := f.open(t, "k", Owned)
	f.side.dispatch(owner.Claim)
	f.side.finish(owner.Claim, "more than ten bytes")
	assert.NilError(t, f.keeper.Finish(context.Background(), owner.Claim, f.side.output))
	assert.Equal(t, string(f.open(t, "k", Done).Chunks[0]), "more than ten bytes")
	f.side.output = [][]byte{[]byte("something else")}
	assert.Equal(t, f.open(t, "k", Unknown).Reason, "open conflict omitted result_lost")
}

func TestRestartedSidecarMakesAttemptUnknown(t *testing.T) {
	f := newFixture(t)
	f.open(t, "k", Owned)
	f.side.restart(8)
	state := f.open(t, "k", Unknown)
	assert.Equal(t, state.RetryAfter, time.Duration(0))
	assert.Equal(t, state.Claim.Record.State, claim.StateOpen)
}

func TestUnreachableSidecarMakesAttemptUnknownUntilRetry(t *testing.T) {
	f := newFixture(t)
	request := f.request("k")
	request.Target.Addr = "127.0.0.1:1"
	_, err := f.keeper.Open(context.Background(), request)
	assert.NilError(t, err)
	state := f.open(t, "k", Unknown)
	assert.Assert(t, state.RetryAfter > 0)
}

func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	f.store.down = true
	assert.Assert(t, !f.open(t, "k", Unavailable).KeyNotRun, "an earlier request may have run the key")
	generated := f.request("r9")
	generated.KeyGenerated = true
	state, err := f.keeper.Open(context.Background(), generated)
	assert.NilError(t, err)
	assert.Equal(t, state.Status, Unavailable)
	assert.Assert(t, state.KeyNotRun)
}

func TestAnotherBodyIsInvalid(t *testing.T) {
	f := newFixture(t)
	f.open(t, "k", Owned)
	request := f.request("k")
	request.BodyDigest = claim.DigestBody([]byte("another body"))
	state, err := f.keeper.Open(context.Background(), request)
	assert.Assert(t, fault.Is(err, fault.Invalid))
	assert.Equal(t, state.Status, Invalid)
	assert.Equal(t, len(state.Chunks), 0)
}

func TestReleasedClaimIsReopenedWithoutTheSidecar(t *testing.T) {
	f := newFixture(t)
	owner := f.open(t, "k", Owned)
	released, err := f.keeper.Release(context.Background(), owner.Claim)
	assert.NilError(t, err)
	assert.Equal(t, released.Status, NotRun)
	f.side.restart(8)
	assert.Equal(t, f.side.dispatch(f.open(t, "k", Owned).Claim), gate.Admitted)
}

func TestInspectPreventsALaterDispatch(t *testing.T) {
	f := newFixture(t)
	inspect := func() State {
		state, err := f.keeper.Inspect(context.Background(), "w", "p", "k", "s")
		assert.NilError(t, err)
		return state
	}
	assert.Equal(t, inspect().Status, Absent)
	owner := f.open(t, "k", Owned)
	assert.Equal(t, inspect().Status, NotRun)
	assert.Equal(t, f.side.dispatch(owner.Claim), gate.Refused)
	lost, err := f.keeper.Reassign(context.Background(), owner.Claim, f.side.target())
	assert.NilError(t, err)
	assert.Equal(t, lost.Status, NotRun, "an attempt that Inspect returned as not run must not run later")
}

// TestCanceledContextEndsTheWaitAsUnknown cancels the context of a request that has read
// that the owner of the claim may still dispatch and would wait for an hour. The verdict
// must be Unknown: the owner may run the stage.
func TestCanceledContextEndsTheWaitAsUnknown(t *testing.T) {
	f := newFixture(t)
	request := f.request("k")
	request.DispatchWithin = time.Hour
	_, err := f.keeper.Open(context.Background(), request)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.keeper.rules.MaxWait = time.Hour
	f.store.afterRead = func() { go cancel() }
	state, err := f.keeper.Open(ctx, f.request("k"))
	assert.NilError(t, err)
	assert.Equal(t, state.Status, Unknown)
	assert.Assert(t, state.RetryAfter > 0)
}

func TestEachDecisionIsLogged(t *testing.T) {
	f := newFixture(t)
	f.store.loseResponses = 1
	f.open(t, "k", Owned)
	var line struct {
		Message string         `json:"message"`
		Fields  observe.Fields `json:"fields"`
	}
	assert.NilError(t, json.Unmarshal([]byte(strings.TrimSpace(f.log.String())), &line))
	assert.Equal(t, line.Message, event.ClaimDecided.Name)
	assert.Equal(t, line.Fields["reason"], "open ambiguous own_nonce")
	assert.Equal(t, line.Fields["status"], "mine")
	for _, field := range event.ClaimDecided.Fields {
		_, ok := line.Fields[field]
		assert.Assert(t, ok, field)
	}
}

func TestSweeperDeletesOnlyOldClaims(t *testing.T) {
	f := newFixture(t)
	start := time.Unix(1_000_000, 0)
	for i, age := range []time.Duration{25 * time.Hour, 24 * time.Hour, 0} {
		f.keeper.now = func() time.Time { return start.Add(-age) }
		f.open(t, string(rune('a'+i)), Owned)
	}
	entries := []fleet.Host{{Name: "entry-1", Role: fleet.RoleEntry}, {Name: "entry-2", Role: fleet.RoleEntry}}
	sweep := func(now time.Time, names ...string) int {
		for _, name := range names {
			sweeper := NewSweeper(SweeperOptions{
				Self: name, Objects: f.store, Log: f.keeper.log, Now: func() time.Time { return now },
				Hosts: func() []fleet.Host { return entries },
			})
			// The sweeper has seen a recent claim, from which it estimates the present time.
			sweeper.expiry.Observe(claim.Record{CreatedUnix: start.Unix()})
			sweeper.limiter = rate.NewLimiter(1, 1000)
			sweeper.pass(context.Background())
		}
		remaining, err := f.store.List(context.Background(), claim.Prefix, "", 10)
		assert.NilError(t, err)
		return len(remaining)
	}
	assert.Equal(t, sweep(start.Add(-time.Hour), "entry-1", "entry-2"), 3)
	assert.Equal(t, sweep(start, "entry-3"), 3, "an entry that is not in the host list owns no shard")
	assert.Equal(t, sweep(start, "entry-1", "entry-2"), 2, "one claim is older than the retention and the clock margin")
	assert.Equal(t, sweep(start.Add(9000*time.Hour), "entry-1", "entry-2"), 1, "an entry whose clock runs ahead must not delete recent claims")
}
