package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBurstOfOneWorkspaceDoesNotDelayAnother(t *testing.T) {
	b := newBench(t, Options{})
	for range 100 {
		b.admit(b.ask("burst"))
	}
	small := b.admit(b.ask("small"))
	b.serve(ms(10))
	b.serve(ms(10))
	assert.Equal(t, b.started[len(b.started)-1], small.Key)
}

func TestBurstOfOneWorkspaceDoesNotKeepAnotherOutOfAFullQueue(t *testing.T) {
	b := newBench(t, Options{MaxQueued: 10})
	for range 11 {
		b.admit(b.ask("burst"))
	}
	b.admit(b.ask("small"))
	assert.Equal(t, len(b.refused), 1)
	assert.Equal(t, b.g.queue.size, 10)
	// The heavy workspace can't take the place back.
	assert.Equal(t, b.submit(b.ask("burst")).Reason, ReasonQueueFull)
}

func TestWaitEstimateOfANewWorkspaceIgnoresAnothersBurst(t *testing.T) {
	b := newBench(t, Options{})
	b.measure(5, ms(100))
	for range 20 {
		b.admit(b.ask("burst"))
	}
	d := b.submit(b.ask("small"))
	// The one that runs, and one of the burst's that comes first.
	assert.Equal(t, d.Wait, ms(200))
	assert.Equal(t, b.submit(b.ask("burst")).Wait, ms(2100))
}

func TestSharesFollowWeightAndCost(t *testing.T) {
	b := newBench(t, Options{})
	for range 40 {
		heavy := b.ask("heavy")
		heavy.Weight = 3
		b.admit(heavy)
		costly := b.ask("costly")
		costly.Cost = 2
		b.admit(costly)
		b.admit(b.ask("plain"))
	}
	served := map[string]int{}
	for range 44 {
		key := b.g.running[0].key
		served[b.g.table[key].workspace]++
		b.serve(ms(1))
	}
	// Shares per unit of cost are 3 : 1 : 1, and costly's attempts cost two each:
	// of 44 attempts, 29.3 : 4.9 : 9.8.
	assert.DeepEqual(t, served, map[string]int{"heavy": 29, "costly": 5, "plain": 10})
}

func TestHigherClassGoesFirstAndALowerOneIsServedAllTheSame(t *testing.T) {
	b := newBench(t, Options{StarvationTurns: 4})
	b.admit(b.ask("first"))
	low := b.ask("low")
	low.Priority = -1
	b.admit(low)
	for range 10 {
		high := b.ask("high")
		high.Priority = 1
		b.admit(high)
	}
	for range 5 {
		b.serve(ms(1))
	}
	assert.Equal(t, b.started[5], low.Key, "the low class is served after four turns")
}

func TestFlowsThatAreIdleAreForgotten(t *testing.T) {
	b := newBench(t, Options{})
	for i := range 1000 {
		b.admit(b.ask(string(rune('a' + i%500))))
		b.serve(ms(1))
	}
	assert.Equal(t, len(b.g.queue.classes[0].flows), 0)
}
