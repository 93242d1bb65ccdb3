package observe_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	text strings.Builder
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.text.Write(p)
}

func TestLinesAreNeverWaitedForAndDroppedOnesAreCounted(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	q := observe.NewQueue(out)
	const lines = 100_000
	for range lines {
		_, err := q.Write([]byte("x\n"))
		assert.NilError(t, err)
	}
	dropped := q.Dropped()
	assert.Assert(t, dropped > 0)
	close(out.open)
	q.Close()
	written := strings.Count(out.text.String(), "x\n")
	assert.Equal(t, uint64(written)+dropped, uint64(lines))
}

func TestALineAfterTheEndIsDropped(t *testing.T) {
	q := observe.NewQueue(io.Discard)
	q.Close()
	_, err := q.Write([]byte("late\n"))
	assert.NilError(t, err)
}

func BenchmarkQueue(b *testing.B) {
	q := observe.NewQueue(io.Discard)
	line := []byte(strings.Repeat("x", 300))
	for b.Loop() {
		_, _ = q.Write(line) // it never fails
	}
}
