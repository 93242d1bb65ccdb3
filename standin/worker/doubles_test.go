package worker

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchange sends a stage call with an ID on a connection.
func exchange(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	const body = `{"items":[{"id":"r"}]}`
	r, err := http.NewRequest(http.MethodPost, "http://h"+runPath, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("X-Attempt-Id", id)
	assert.NilError(t, r.Write(conn))
}

// readIDs reads responses and returns the IDs that they echo.
func readIDs(t *testing.T, reader *bufio.Reader, count int) []string {
	t.Helper()
	var ids []string
	for range count {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = reader.Discard(int(response.ContentLength))
		assert.NilError(t, err)
		ids = append(ids, response.Header.Get("X-Attempt-Id"))
	}
	return ids
}

// TestResponsesComeTwice checks that the faults which double responses strike stage calls, at once and late.
func TestResponsesComeTwice(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		want   []string
	}{
		"at once":       {Faults{Extra: 1}, []string{"1", "1", "2"}},
		"late":          {Faults{ExtraLate: 1}, []string{"1", "1", "2"}},
		"never idle":    {Faults{ExtraLate: 1, LateAfter: time.Hour}, []string{"1", "2"}},
		"rejected late": {Faults{Reject: 1, ExtraLate: 1}, []string{"1", "1", "2"}},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := Start("w", Stage)
			assert.NilError(t, err)
			t.Cleanup(w.Close)
			w.EchoesCalls = true
			w.SetFaults(c.faults)
			conn, err := net.Dial("tcp", w.Address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			exchange(t, conn, "1")
			ids := readIDs(t, reader, 1)
			exchange(t, conn, "2")
			ids = append(ids, readIDs(t, reader, len(c.want)-1)...)
			assert.DeepEqual(t, ids, c.want)
			atOnce, late := w.Doubled()
			assert.Equal(t, atOnce+late, len(c.want)-2)
		})
	}
}
