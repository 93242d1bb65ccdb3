package request

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"acaciawinch/core"
)

// maxSteps is more steps than any request takes.
const maxSteps = 2000

// TestRandomOrders runs requests whose attempts end in random ways, with events
// late, duplicated, out of order and lost, and checks the invariants.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.IntRange(1, 5).Draw(t, "stages")
		claimed := rapid.IntRange(-1, stages-1).Draw(t, "claimed")
		w := newSimulation(t, stages, claimed)
		gone := w.random.IntN(500)
		denied := w.random.IntN(200)
		for i := 0; i < maxSteps && (!w.m.Finished() || len(w.pending) > 0); i++ {
			if i == gone {
				w.handle(CallerGone{})
			}
			if i == denied {
				w.handle(Denied{})
			}
			w.step()
		}
		w.check(claimed)
	})
}

// check compares the answer of a request that is over with what actually ran.
func (w *simulation) check(claimed int) {
	assert.Assert(w.t, w.m.Finished(), "the request has not ended after maxSteps steps")
	assert.Equal(w.t, w.answers, 1)
	assert.Assert(w.t, !w.answerAt.After(w.deadline), "the answer came %s after the deadline", w.answerAt.Sub(w.deadline))
	for i, chunk := range w.emitted {
		assert.Assert(w.t, bytes.Equal(chunk, chunkOf(len(w.stages)-1, i)))
	}
	assert.Assert(w.t, w.ran[claimed] <= 1, "the non-idempotent stage ran twice")
	switch w.answer.Outcome {
	case core.OutcomeAnswered:
		assert.Equal(w.t, len(w.emitted), chunksPerStage)
	case core.OutcomeNotRun:
		assert.Equal(w.t, len(w.emitted), 0)
		assert.Equal(w.t, w.ran[claimed], 0)
		assert.Equal(w.t, len(w.late), 0, "a stage started after the answer not_run")
	case core.OutcomeFailed:
		assert.Equal(w.t, w.ran[claimed], 0)
	case core.OutcomeUnknown:
		assert.Assert(w.t, claimed >= 0)
	}
}
