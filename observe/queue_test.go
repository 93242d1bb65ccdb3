package observe_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
)

// blockedWriter is an output that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	text strings.Builder
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.text.Write(p)
}

func TestWriteNeverBlocksAndDroppedLinesAreCounted(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
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

func TestLineAfterCloseIsDropped(t *testing.T) {
	q := observe.NewQueue(io.Discard)
	q.Close()
	_, err := q.Write([]byte("late\n"))
	assert.NilError(t, err)
}

func BenchmarkQueue(b *testing.B) {
	q := observe.NewQueue(io.Discard)
	line := []byte(strings.Repeat("x", 300))
	for b.Loop() {
		_, _ = q.Write(line) // Write never returns an error
	}
}
