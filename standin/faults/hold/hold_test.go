package hold_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/faults/hold"
)

func TestHoldsTheFirstMatchOnly(t *testing.T) {
	gate := hold.NewGate[int]()
	even := gate.Hold(func(n int) bool { return n%2 == 0 })
	passed := make(chan int)
	pass := func(n int) {
		gate.Pass(n)
		passed <- n
	}
	go pass(1)
	assert.Equal(t, <-passed, 1)
	go pass(2)
	assert.Equal(t, <-even.Stopped(), 2)
	go pass(4)
	assert.Equal(t, <-passed, 4, "the second match passes while the first is held")
	even.Release()
	assert.Equal(t, <-passed, 2)
}

func TestCloseReleasesAllMessages(t *testing.T) {
	gate := hold.NewGate[int]()
	first := gate.Hold(func(int) bool { return true })
	passed := make(chan struct{})
	go func() {
		gate.Pass(1)
		close(passed)
	}()
	<-first.Stopped()
	gate.Close()
	<-passed
	gate.Close()
}
