package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless returns a handler that responds to one request with a text, and then sends another text again and again until
// the client closes the connection.
func endless(begin, repeated string) handler {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		if r, _ := readRequest(t, reader); r == nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		block := strings.Repeat(repeated, 1+64<<10/len(repeated))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	}
}

// Bounds on what one endless response may cost.
const (
	endlessTime  = 5 * time.Second
	endlessBytes = 16 << 20
)

// TestAnEndlessResponseIsCutOff guards against an upstream that takes the memory or the time of the process: it sends bytes
// without end, in a head, a trailer or a body, until the connection is closed.
func TestAnEndlessResponseIsCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		send handler
		part Part
	}{
		"status line":           {endless("HTTP/1.1 200 ", "x"), Head},
		"header name":           {endless("HTTP/1.1 200 OK\r\n", "x"), Head},
		"header value":          {endless("HTTP/1.1 200 OK\r\nA: ", "x"), Head},
		"header lines":          {endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"), Head},
		"folded header":         {endless("HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"), Head},
		"head after another":    {endless("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "A: b\r\n"), Head},
		"body without a length": {endless("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"), Body},
		"body in chunks":        {endless(chunked, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"), Body},
		"body of small chunks":  {endless(chunked, "1\r\nx\r\n"), Body},
		"body with a length":    {endless("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n", "x"), Body},
		"body of another":       {endless("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 99999999\r\n\r\n", "x"), Body},
		"trailer":               {endless(chunked+"1\r\nx\r\n0\r\n", "A: b\r\n"), Trailer},
		"chunk extension":       {endless(chunked+"1;", "x"), ""},
		"chunk size":            {endless(chunked, "0"), ""},
		"informational heads":   {endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, c.send)
			seen := make(chan Anomaly, 4)
			client := newClient(t)
			client.onAnomaly = func(a Anomaly) { seen <- a }
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			before := allocated()
			r := request("1")
			r.MaxBody = 64 << 10
			response, err := client.Do(ctx, address, r)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, allocated()-before < endlessBytes, "%d bytes were allocated", allocated()-before)
			if c.part == "" {
				return // net/http has limits of its own for these
			}
			var over *LimitError
			assert.Assert(t, errors.As(err, &over), "%v", err)
			assert.Equal(t, over.Part, c.part)
			for a := range seen {
				if a.Kind == OverLimit {
					assert.Equal(t, a, Anomaly{Address: address, Kind: OverLimit, Part: c.part, Limit: over.Limit})
					return
				}
			}
		})
	}
}

// allocated returns how many bytes the process has allocated so far, freed ones included.
func allocated() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.TotalAlloc)
}

// TestPartsUpToTheirLimitAreRead checks that limits refuse nothing that is within them.
func TestPartsUpToTheirLimitAreRead(t *testing.T) {
	const limit = 64 << 10
	body := strings.Repeat("x", limit)
	for name, text := range map[string]string{
		"body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + strconv.Itoa(limit) + "\r\n\r\n" + body,
		"chunks":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + body + "\r\n0\r\n\r\n",
		"no mark": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + body,
		"head":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + strconv.Itoa(limit) + "\r\nA: " + strings.Repeat("a", maxHeadBytes-200) + "\r\n\r\n" + body,
		"trailer": "HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + body + "\r\n0\r\nA: " + strings.Repeat("a", maxTrailerBytes-200) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, respondWith(text))
			r := request("1")
			r.MaxBody = limit
			response, err := newClient(t).Do(t.Context(), address, r)
			assert.NilError(t, err)
			assert.Equal(t, readAll(t, response), body)
		})
	}
}

// TestABodyOverItsLimitIsNeverWhole guards against a response that is cut at its limit and looks complete.
func TestABodyOverItsLimitIsNeverWhole(t *testing.T) {
	for name, text := range map[string]string{
		"chunks":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"no mark": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, respondWith(text))
			r := request("1")
			r.MaxBody = 2
			response, err := newClient(t).Do(t.Context(), address, r)
			assert.NilError(t, err)
			content, err := io.ReadAll(response.Body)
			assert.Equal(t, string(content), "ab")
			assert.ErrorContains(t, err, "exceeds 2 bytes")
		})
	}
	address, _ := upstream(t, respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc"))
	r := request("1")
	r.MaxBody = 2
	_, err := newClient(t).Do(t.Context(), address, r)
	assert.ErrorContains(t, err, "exceeds 2 bytes", "a length over the limit is an error at once")
	var over *LimitError
	assert.Assert(t, errors.As(err, &over))
}
