package events

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/memory"
)

// TestAnEndlessEventIsAnError guards against an upstream that takes the memory of the process by an event without end.
func TestAnEndlessEventIsAnError(t *testing.T) {
	for name, text := range map[string]string{"line": "data: ", "lines": "data: x\n"} {
		reader := NewReader(strings.NewReader(strings.Repeat(text, MaxEventBytes)))
		_, err := reader.Next()
		assert.Equal(t, err, bufio.ErrTooLong, name)
		assert.Assert(t, cap(reader.buffer) < 2*MaxEventBytes, "%s: %d bytes", name, cap(reader.buffer))
	}
	whole := "data: " + strings.Repeat("x", MaxEventBytes-8) + "\n\n"
	event, err := NewReader(strings.NewReader(whole)).Next()
	assert.NilError(t, err)
	assert.Equal(t, len(event.Bytes), MaxEventBytes)
}

// TestAnEventWithoutMemoryIsAnError guards against streams whose long events together exceed the memory of the process; short
// ones need none.
func TestAnEventWithoutMemoryIsAnError(t *testing.T) {
	budget := memory.New(16 << 10)
	room := budget.Begin(memory.Completion)
	reader := NewReader(strings.NewReader("data: short\n\ndata: " + strings.Repeat("x", 32<<10) + "\n\n"))
	reader.ReserveIn(room)
	_, err := reader.Next()
	assert.NilError(t, err)
	assert.Equal(t, budget.Usage().Used, int64(0))
	_, err = reader.Next()
	var noRoom *memory.NoRoomError
	assert.Assert(t, errors.As(err, &noRoom), "%v", err)
	assert.Assert(t, budget.Usage().Peak <= 16<<10)
}
