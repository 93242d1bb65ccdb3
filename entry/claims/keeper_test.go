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
	b := newBench(t)
	b.open(t, "k", Mine)
	assert.Equal(t, b.store.calls, 1)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	b := newBench(t)
	b.store.lose = 1
	held := b.open(t, "k", Mine)
	assert.Equal(t, held.Reason, "open ambiguous own_nonce")
	assert.Equal(t, b.side.dispatch(held.Claim), gate.Admitted)
}

func TestOwnerThatNeverDispatchedIsDisplaced(t *testing.T) {
	b := newBench(t)
	first := b.open(t, "k", Mine)
	second := b.open(t, "k", Mine)
	assert.Equal(t, b.side.dispatch(first.Claim), gate.Refused, "a tombstone must refuse the late dispatch")
	assert.Equal(t, b.side.dispatch(second.Claim), gate.Admitted)
	lost, err := b.keeper.Reassign(context.Background(), first.Claim, b.side.target())
	assert.NilError(t, err)
	assert.Equal(t, lost.Status, Running)
	assert.DeepEqual(t, lost.Claim.AttemptKey().RequestId, second.Claim.AttemptKey().RequestId)
}

func TestRunningThenDoneThenRecorded(t *testing.T) {
	b := newBench(t)
	owner := b.open(t, "k", Mine)
	assert.Equal(t, b.side.dispatch(owner.Claim), gate.Admitted)
	assert.Equal(t, b.open(t, "k", Running).Addr(), b.side.addr)
	b.side.finish(owner.Claim, "re", "sult")
	done := b.open(t, "k", Done)
	assert.Assert(t, !done.Recorded)
	assert.NilError(t, b.keeper.Finish(context.Background(), done.Claim, done.Chunks))
	assert.NilError(t, b.keeper.Finish(context.Background(), owner.Claim, done.Chunks), "a second recording is no error")
	b.side.restart(8)
	recorded := b.open(t, "k", Done)
	assert.Assert(t, recorded.Recorded)
	assert.Equal(t, string(recorded.Chunks[0])+string(recorded.Chunks[1]), "result")
}

func TestLargeResultStaysAtTheSide(t *testing.T) {
	b := newBench(t)
	owner := b.open(t, "k", Mine)
	b.side.dispatch(owner.Claim)
	b.side.finish(owner.Claim, "more than ten bytes")
	assert.NilError(t, b.keeper.Finish(context.Background(), owner.Claim, b.side.output))
	assert.Equal(t, string(b.open(t, "k", Done).Chunks[0]), "more than ten bytes")
	b.side.output = [][]byte{[]byte("something else")}
	assert.Equal(t, b.open(t, "k", Unknown).Reason, "open conflict omitted result_lost")
}

func TestRestartedSideIsUnknown(t *testing.T) {
	b := newBench(t)
	b.open(t, "k", Mine)
	b.side.restart(8)
	held := b.open(t, "k", Unknown)
	assert.Equal(t, held.RetryAfter, time.Duration(0))
	assert.Equal(t, held.Claim.Record.State, claim.StateOpen)
}

func TestUnreachableSideIsUnknownForNow(t *testing.T) {
	b := newBench(t)
	ask := b.ask("k")
	ask.Target.Addr = "127.0.0.1:1"
	_, err := b.keeper.Open(context.Background(), ask)
	assert.NilError(t, err)
	held := b.open(t, "k", Unknown)
	assert.Assert(t, held.RetryAfter > 0)
}

func TestStoreDown(t *testing.T) {
	b := newBench(t)
	b.store.down = true
	assert.Assert(t, !b.open(t, "k", Unavailable).KeyNotRun, "an earlier request may have run the key")
	minted := b.ask("r9")
	minted.Minted = true
	held, err := b.keeper.Open(context.Background(), minted)
	assert.NilError(t, err)
	assert.Equal(t, held.Status, Unavailable)
	assert.Assert(t, held.KeyNotRun)
}

func TestAnotherBodyIsInvalid(t *testing.T) {
	b := newBench(t)
	b.open(t, "k", Mine)
	ask := b.ask("k")
	ask.BodyDigest = claim.DigestBody([]byte("another body"))
	held, err := b.keeper.Open(context.Background(), ask)
	assert.Assert(t, fault.Is(err, fault.Invalid))
	assert.Equal(t, held.Status, Invalid)
	assert.Equal(t, len(held.Chunks), 0)
}

func TestReleaseLetsTheNextAskRunWithoutTheSide(t *testing.T) {
	b := newBench(t)
	owner := b.open(t, "k", Mine)
	released, err := b.keeper.Release(context.Background(), owner.Claim)
	assert.NilError(t, err)
	assert.Equal(t, released.Status, NotRun)
	b.side.restart(8)
	assert.Equal(t, b.side.dispatch(b.open(t, "k", Mine).Claim), gate.Admitted)
}

func TestLook(t *testing.T) {
	b := newBench(t)
	look := func() Held {
		held, err := b.keeper.Look(context.Background(), "w", "p", "k", "s")
		assert.NilError(t, err)
		return held
	}
	assert.Equal(t, look().Status, Absent)
	owner := b.open(t, "k", Mine)
	assert.Equal(t, look().Status, NotRun)
	assert.Equal(t, b.side.dispatch(owner.Claim), gate.Refused)
	lost, err := b.keeper.Reassign(context.Background(), owner.Claim, b.side.target())
	assert.NilError(t, err)
	assert.Equal(t, lost.Status, NotRun, "what a look called not run must not run later")
}

// TestEndOfTheContextEndsTheWaitTruthfully ends the context while the asker, which
// has read that an owner may still dispatch, begins to wait for an hour.
func TestEndOfTheContextEndsTheWaitTruthfully(t *testing.T) {
	b := newBench(t)
	ask := b.ask("k")
	ask.DispatchWithin = time.Hour
	_, err := b.keeper.Open(context.Background(), ask)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.keeper.rules.MaxPatience = time.Hour
	b.store.read = func() { go cancel() }
	held, err := b.keeper.Open(ctx, b.ask("k"))
	assert.NilError(t, err)
	assert.Equal(t, held.Status, Unknown)
	assert.Assert(t, held.RetryAfter > 0)
}

func TestEachDecisionIsLogged(t *testing.T) {
	b := newBench(t)
	b.store.lose = 1
	b.open(t, "k", Mine)
	var line struct {
		Message string         `json:"message"`
		Fields  observe.Fields `json:"fields"`
	}
	assert.NilError(t, json.Unmarshal([]byte(strings.TrimSpace(b.log.String())), &line))
	assert.Equal(t, line.Message, event.ClaimDecided.Name)
	assert.Equal(t, line.Fields["reason"], "open ambiguous own_nonce")
	assert.Equal(t, line.Fields["status"], "mine")
	for _, field := range event.ClaimDecided.Fields {
		_, ok := line.Fields[field]
		assert.Assert(t, ok, field)
	}
}

func TestSweeperDeletesOnlyOldClaims(t *testing.T) {
	b := newBench(t)
	start := time.Unix(1_000_000, 0)
	for i, age := range []time.Duration{25 * time.Hour, 24 * time.Hour, 0} {
		b.keeper.now = func() time.Time { return start.Add(-age) }
		b.open(t, string(rune('a'+i)), Mine)
	}
	entries := []fleet.Host{{Name: "entry-1", Role: fleet.RoleEntry}, {Name: "entry-2", Role: fleet.RoleEntry}}
	sweep := func(now time.Time, names ...string) int {
		for _, name := range names {
			sweeper := NewSweeper(SweeperOptions{
				Self: name, Objects: b.store, Log: b.keeper.log, Now: func() time.Time { return now },
				Hosts: func() []fleet.Host { return entries },
			})
			// A claim of each entry's shards is young.
			sweeper.expiry.See(claim.Record{CreatedUnix: start.Unix()})
			sweeper.limiter = rate.NewLimiter(1, 1000)
			sweeper.pass(context.Background())
		}
		left, err := b.store.List(context.Background(), claim.Prefix, "", 10)
		assert.NilError(t, err)
		return len(left)
	}
	assert.Equal(t, sweep(start.Add(-time.Hour), "entry-1", "entry-2"), 3)
	assert.Equal(t, sweep(start, "entry-3"), 3, "an entry that is not in the list owns nothing")
	assert.Equal(t, sweep(start, "entry-1", "entry-2"), 2, "one claim is older than retention and margin")
	assert.Equal(t, sweep(start.Add(9000*time.Hour), "entry-1", "entry-2"), 1, "a clock that runs ahead must not delete young claims")
}
