package events

import (
	"bufio"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
