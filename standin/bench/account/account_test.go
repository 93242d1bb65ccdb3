package account

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/ledger"
)

// event returns a ledger record of an engine.
func event(at int64, kind ledger.Event, id, upstream string, cost uint64) ledger.Record {
	return ledger.Record{TimeUS: at, Event: kind, ID: id, Upstream: upstream, Service: "llm", Cost: cost}
}

func TestWasteByCause(t *testing.T) {
	records := []ledger.Record{
		// Answered by one pass.
		event(10, ledger.Start, "r1/g/1", "a", 0), event(20, ledger.End, "r1/g/1", "a", 5),
		// Answered by the second of two concurrent passes.
		event(10, ledger.Start, "r2/g/1", "a", 0), event(15, ledger.Start, "r2/g/2", "b", 0),
		event(20, ledger.End, "r2/g/2", "b", 5), event(21, ledger.Cancel, "r2/g/1", "a", 2),
		// Answered by the third pass, after the first was killed and the second failed.
		event(10, ledger.Start, "r3/g/1", "a", 0), event(15, ledger.Start, "r3/g/2", "b", 0),
		event(18, ledger.Error, "r3/g/2", "b", 1), event(19, ledger.Start, "r3/g/3", "c", 0),
		event(25, ledger.End, "r3/g/3", "c", 5),
		// Late, refused, and unknown to any caller.
		event(10, ledger.Start, "r4/g/1", "a", 0), event(90, ledger.End, "r4/g/1", "a", 5),
		event(10, ledger.Start, "r5/g/1", "a", 0), event(20, ledger.Cancel, "r5/g/1", "a", 3),
		event(10, ledger.Start, "r6/g/1", "a", 0),
		// Orders are not passes.
		event(10, ledger.Order, "", "a", 0),
	}
	outcomes := map[string]CallerOutcome{"r1": Attained, "r2": Attained, "r3": Attained, "r4": Late, "r5": Unanswered}
	stages := ByStage(records, outcomes)
	assert.Equal(t, len(stages), 1)
	got := stages[0]
	assert.Equal(t, got.Passes, 9)
	assert.Equal(t, got.Calls, 6)
	assert.Equal(t, got.PerAnswered, 2.0)
	assert.Equal(t, got.Extra, 0.5)
	assert.DeepEqual(t, got.Wasted, Wasted{Hedge: 1, Replaced: 2, Late: 1, Unwanted: 1, Orphan: 1})
	assert.Equal(t, got.Wasted.Total(), 6)
	assert.Equal(t, got.Cost, uint64(26))
	assert.Equal(t, got.WastedCost, uint64(11))
}
