package gatewaytest

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// uploadBytes exceeds the buffers of a connection, so that the upload is still being written when the response comes.
const uploadBytes = 4 << 20

// brokenTries is how often each request that is broken off is sent, as the order of the reset, the write and the read
// varies.
const brokenTries = 12

// brokenTargets are the targets of a route of each kind without stages, with the service that gets the request.
var brokenTargets = map[string]string{"/once/x": "desk", "/safe/x": "desk", "/stream/x": "llm", "/strict/x": "llm"}

// TestAResponseThatBreaksOffAnUploadIsNotWhole guards against parts of responses that clients get as complete: an upstream
// responds without a length while the request is still being written to it, and resets or closes the connection.
func TestAResponseThatBreaksOffAnUploadIsNotWhole(t *testing.T) {
	heads := []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 500 Internal Server Error"}
	for target, service := range brokenTargets {
		for _, head := range heads {
			for _, reset := range []bool{true, false} {
				t.Run(target+" "+head+" reset "+strconv.FormatBool(reset), func(t *testing.T) {
					f := newFleet(t)
					f.startRaw("broken", service, func(conn net.Conn, r *http.Request) {
						_, _ = io.WriteString(conn, forRequest(head+"\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n\r\nid: 1\ndata: part\n\n", r))
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					f.apply(baseConfig(1))
					g := f.start("g1")
					body := strings.Repeat("b", uploadBytes)
					for i := range brokenTries {
						got := f.send(g, "r"+strconv.Itoa(i), "POST", target, body)
						assert.Assert(t, got.truncated || got.header.Get("X-Response-Stamp") == "", "try %d: %d %q was given as whole", i, got.status, got.body)
					}
				})
			}
		}
	}
}

// TestAnUploadThatWasReadEndsWithTheConnection: without a length, a response ends with the connection if the upstream has
// read the whole request.
func TestAnUploadThatWasReadEndsWithTheConnection(t *testing.T) {
	for _, target := range []string{"/once/x", "/safe/x"} {
		t.Run(target, func(t *testing.T) {
			f := newFleet(t)
			f.startRaw("whole", "desk", func(conn net.Conn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, forRequest("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n\r\nwhole", r))
			})
			f.apply(baseConfig(1))
			g := f.start("g1")
			for i := range brokenTries {
				got := f.send(g, "r"+strconv.Itoa(i), "POST", target, strings.Repeat("b", uploadBytes))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, !got.truncated && got.body == "whole", "%q", got.body)
			}
		})
	}
}

// startText starts an upstream that reads each request and responds with a text, in which ID stands for the ID of the
// request.
func (f *fleet) startText(id, service, text string) {
	f.t.Helper()
	f.startRaw(id, service, func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, forRequest(text, r)) // a gateway that has disconnected needs no response
	})
}

// assertReplaced checks that clients of all kinds of routes get a complete failure of the gateway's own in place of the
// response with a text, which all upstreams send.
func assertReplaced(t *testing.T, text string) {
	t.Helper()
	f := newFleet(t)
	f.startText("desk-1", "desk", text)
	f.startText("llm-1", "llm", text)
	f.apply(baseConfig(1))
	g := f.start("g1")
	for target := range brokenTargets {
		got := f.send(g, "r-"+target[1:3], "POST", target, "b")
		assert.Assert(t, !got.truncated, "%s: the connection was closed without a response", target)
		assert.Equal(t, got.status, http.StatusBadGateway, target)
		assert.Equal(t, got.header.Get("X-Response-Stamp"), "", target)
	}
}

// TestAStatusThatIsNoneIsReplaced guards against connections that are closed without a response, and against answers with
// a status that is none.
func TestAStatusThatIsNoneIsReplaced(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			assertReplaced(t, "HTTP/1.1 "+status+" Reason\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// TestAHeadWithABlankInANameIsReplaced guards against answers without a line that the upstream sent, and with another body
// than its own.
func TestAHeadWithABlankInANameIsReplaced(t *testing.T) {
	const status, id, stamp, length = "HTTP/1.1 200 OK\r\n", "X-Attempt-Id: ID\r\n", "X-Response-Stamp: s\r\n", "Content-Length: 2\r\n"
	for name, text := range map[string]string{
		"name":               status + id + stamp + "X Field: a\r\n" + length + "\r\nok",
		"length":             status + id + stamp + "Content-Length : 2\r\n\r\nok and more",
		"encoding":           status + id + stamp + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"ID":                 status + "X-Attempt-Id : ID\r\n" + stamp + length + "\r\nok",
		"failure":            "HTTP/1.1 404 Not Found\r\n" + id + stamp + "X Field: a\r\n" + length + "\r\nok",
		"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\n" + id + stamp + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"control byte":       status + id + stamp + "X\x01Field: a\r\n" + length + "\r\nok",
		"zero byte":          status + id + stamp + "X-Field: a\x00b\r\n" + length + "\r\nok",
	} {
		t.Run(name, func(t *testing.T) { assertReplaced(t, text) })
	}
}

// TestAHeadThatIsCutIsReplaced guards against an answer with an empty or a short body in place of one whose upstream stopped
// in the middle of its head.
func TestAHeadThatIsCutIsReplaced(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 40\r\n\r\n"
	for _, until := range []string{"HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 OK", "OK\r", "OK\r\n", "ID", "ID\r\n", "Stamp:", "Stamp: s", "Stamp: s\r", "Stamp: s\r\n",
		"event-stream\r\n", "Content-Length: 4", "Content-Length: 40\r\n", "Content-Length: 40\r\n\r"} {
		t.Run(until, func(t *testing.T) { assertReplaced(t, head[:strings.Index(head, until)+len(until)]) })
	}
}
