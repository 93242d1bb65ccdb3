package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBurstOfOneWorkspaceDoesNotDelayAnother(t *testing.T) {
	b := newTestBench(t, Options{})
	for range 100 {
		b.admit(b.newAttempt("burst"))
	}
	small := b.admit(b.newAttempt("small"))
	b.finishOldest(ms(10))
	b.finishOldest(ms(10))
	assert.Equal(t, b.started[len(b.started)-1], small.Key)
}

func TestBurstOfOneWorkspaceDoesNotKeepAnotherOutOfAFullQueue(t *testing.T) {
	b := newTestBench(t, Options{MaxQueued: 10})
	for range 11 {
		b.admit(b.newAttempt("burst"))
	}
	b.admit(b.newAttempt("small"))
	assert.Equal(t, len(b.refused), 1)
	assert.Equal(t, b.g.queue.size, 10)
	// The heavy workspace can't regain the slot.
	assert.Equal(t, b.submit(b.newAttempt("burst")).Reason, ReasonQueueFull)
}

func TestWaitEstimateOfANewWorkspaceIgnoresAnothersBurst(t *testing.T) {
	b := newTestBench(t, Options{})
	b.measure(5, ms(100))
	for range 20 {
		b.admit(b.newAttempt("burst"))
	}
	d := b.submit(b.newAttempt("small"))
	// The running attempt, and one of the burst that is served first.
	assert.Equal(t, d.Wait, ms(200))
	assert.Equal(t, b.submit(b.newAttempt("burst")).Wait, ms(2100))
}

func TestSharesFollowWeightAndCost(t *testing.T) {
	b := newTestBench(t, Options{})
	for range 40 {
		heavy := b.newAttempt("heavy")
		heavy.Weight = 3
		b.admit(heavy)
		costly := b.newAttempt("costly")
		costly.Cost = 2
		b.admit(costly)
		b.admit(b.newAttempt("plain"))
	}
	served := map[string]int{}
	for range 44 {
		key := b.g.running[0].key
		served[b.g.table[key].workspace]++
		b.finishOldest(ms(1))
	}
	// Shares per unit of cost are 3 : 1 : 1, and costly's attempts cost two each:
	// of 44 attempts, 29.3 : 4.9 : 9.8.
	assert.DeepEqual(t, served, map[string]int{"heavy": 29, "costly": 5, "plain": 10})
}

func TestHigherClassGoesFirstWithoutStarvingALowerOne(t *testing.T) {
	b := newTestBench(t, Options{StarvationTurns: 4})
	b.admit(b.newAttempt("first"))
	low := b.newAttempt("low")
	low.Priority = -1
	b.admit(low)
	for range 10 {
		high := b.newAttempt("high")
		high.Priority = 1
		b.admit(high)
	}
	for range 5 {
		b.finishOldest(ms(1))
	}
	assert.Equal(t, b.started[5], low.Key, "the low class is served after four turns")
}

func TestFlowsThatAreIdleAreForgotten(t *testing.T) {
	b := newTestBench(t, Options{})
	for i := range 1000 {
		b.admit(b.newAttempt(string(rune('a' + i%500))))
		b.finishOldest(ms(1))
	}
	assert.Equal(t, len(b.g.queue.classes[0].flows), 0)
}
