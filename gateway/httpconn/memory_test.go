package httpconn

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
)

// TestAResponseWithoutMemoryFailsItsCall guards against upstreams whose connections or heads together exceed the memory of the
// process. A connection that finds none sends nothing; all memory is returned.
func TestAResponseWithoutMemoryFailsItsCall(t *testing.T) {
	const short = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"
	long := strings.Replace(short, "Id: 1", "Id: 1\r\nA: "+strings.Repeat("a", 16<<10), 1)
	for name, c := range map[string]struct {
		budget   int64
		response string
		code     fault.Code
	}{
		"served":     {2 * connBytes, short, ""},
		"head":       {connBytes + 4<<10, long, fault.Ambiguous},
		"connection": {connBytes - 1, short, fault.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, respondWith(c.response))
			client, budget := newClient(t), memory.New(c.budget)
			client.UseMemory(budget)
			response, err := client.Do(t.Context(), address, request("1"))
			if c.code == "" {
				assert.NilError(t, err)
				assert.Equal(t, readAll(t, response), "x")
				client.Close()
			} else {
				var noRoom *memory.NoRoomError
				assert.Assert(t, errors.As(err, &noRoom) && fault.Is(err, c.code), "%v", err)
			}
			assert.Equal(t, budget.Usage().Used, int64(0))
		})
	}
}
