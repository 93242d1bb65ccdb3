package gatewaytest

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// startEndless starts an upstream that responds to each request with a text, in which ID stands for the ID of the request, and
// then sends another text again and again until its caller closes the connection.
func (f *fleet) startEndless(id, service, begin, repeated string) {
	f.t.Helper()
	f.startRaw(id, service, func(conn net.Conn, r *http.Request) {
		_, err := io.WriteString(conn, forRequest(begin, r))
		for block := strings.Repeat(repeated, 1+64<<10/len(repeated)); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	})
}

// maxEndlessHeap bounds the heap that endless responses may take: half of the least memory of a gateway.
const maxEndlessHeap = 90 << 20

// endlessRequests is how many requests get endless responses.
const endlessRequests = 8

// TestEndlessResponsesDoNotTakeTheGatewayDown guards against an upstream that takes the memory of a gateway, or the time of its
// clients, by bytes without end.
func TestEndlessResponsesDoNotTakeTheGatewayDown(t *testing.T) {
	const head, stamp = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n", "X-Response-Stamp: s\r\n"
	for name, c := range map[string]struct{ service, target, begin, repeated, part string }{
		"head":        {"desk", "/once/x", head, "A: b\r\n", "head"},
		"line":        {"desk", "/once/x", head + "A: ", "x", "head"},
		"body":        {"desk", "/once/x", head + stamp + "\r\n", "x", "body"},
		"event":       {"llm", "/strict/x", head + stamp + "\r\nid: 1\ndata: ", "x", "event"},
		"event lines": {"llm", "/strict/x", head + stamp + "\r\nid: 1\n", "data: x\n", "event"},
		"results":     {"enc", "/stream/x", "HTTP/1.1 200 OK\r\n\r\n{\"items\":[", "   ", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.startEndless("endless", c.service, c.begin, c.repeated)
			var headers []string
			if c.service == "enc" {
				f.startWorker("llm-1", "llm", worker.Engine)
				headers = []string{"X-Pieces", "1,1", "X-Piece-Key", "k"}
			}
			f.apply(baseConfig(1))
			g := f.start("g1")
			for i := range endlessRequests {
				began := time.Now()
				// The client keeps no body, as its memory would count as that of the gateway.
				got, err := f.exchange(discardResponse, g, "r"+strconv.Itoa(i), "POST", c.target, "p", headers...)
				assert.NilError(t, err)
				assert.Assert(t, got.status != http.StatusOK || got.truncated, "%d", got.status)
				assert.Assert(t, time.Since(began) < waitTimeout/2)
			}
			f.waitLines(1, "response_over_limit", `"part":"`+c.part+`"`, `"peer":"upstream"`)
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			assert.Assert(t, stats.HeapAlloc < maxEndlessHeap, "%d bytes", stats.HeapAlloc)
		})
	}
}
