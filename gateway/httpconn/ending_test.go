package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// uploadBytes exceeds the buffers of a connection, so that the upload is still being written when the response comes.
const uploadBytes = 4 << 20

// uploadTries is how often each way to break a response off is played, as the order of the reset, the
// write and the read varies.
const uploadTries = 12

// upload returns a request with a long body.
func upload(id string) Request {
	r := request(id)
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	return r
}

// respondEarly returns a handler that responds before it has read the body of the request, and ends the
// connection in one of the ways of endings.
func respondEarly(text string, end func(net.Conn)) handler {
	return func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text) // a caller that has disconnected needs no response
		end(conn)
	}
}

// endings are the ways to end a connection on which a request was not read to its end.
var endings = map[string]func(net.Conn){
	"reset":  func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
	"closed": func(net.Conn) {},
	"closed behind a part of the body": func(conn net.Conn) {
		_, _ = io.CopyN(io.Discard, conn, uploadBytes/4) // what can't be read is not sent
	},
	"closed in one direction": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, uploadBytes/4) // as above
	},
}

// TestAResponseDuringAnUploadThatTimesOutIsNotWhole: the upstream sends a part and then neither reads nor closes. The
// connection fails by its timeout, of which the writer learns first.
func TestAResponseDuringAnUploadThatTimesOutIsNotWhole(t *testing.T) {
	over := make(chan struct{})
	address, _ := upstream(t, respondEarly("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", func(net.Conn) { <-over }))
	defer close(over)
	response, err := newClient(t).Do(context.Background(), address, upload("1"))
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "%q was given as whole", body)
}

// TestAResponseThatBreaksOffTheUploadIsNotWhole guards against parts of responses that are given as whole: the writer of
// the request takes the error of the connection, and the reader then sees an orderly end.
func TestAResponseThatBreaksOffTheUploadIsNotWhole(t *testing.T) {
	for name, end := range endings {
		for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 413 Request Entity Too Large"} {
			t.Run(name+" "+head, func(t *testing.T) {
				for i := range uploadTries {
					address, _ := upstream(t, respondEarly(head+"\r\nId: 1\r\n\r\npart", end))
					response, err := newClient(t).Do(context.Background(), address, upload("1"))
					if err != nil {
						continue // the head was lost with the connection
					}
					body, err := io.ReadAll(response.Body)
					assert.Assert(t, err != nil, "try %d: %q was given as whole", i, body)
					_, again := response.Body.Read(make([]byte, 1))
					assert.Assert(t, again != nil && again != io.EOF, "try %d: the error is not kept", i)
				}
			})
		}
	}
}

// TestAResponseBehindAWholeUploadEndsWithItsConnection: the end of the connection ends a response without a
// length if the upstream has received the whole request.
func TestAResponseBehindAWholeUploadEndsWithItsConnection(t *testing.T) {
	for _, size := range []int{0, 1, maxInlineBody + 1, uploadBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for range uploadTries {
				address, _ := upstream(t, respondWith("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole"))
				r := upload("1")
				r.Body = r.Body[:size]
				response, err := newClient(t).Do(context.Background(), address, r)
				assert.NilError(t, err)
				assert.Assert(t, !response.Framed)
				assert.Equal(t, readAll(t, response), "whole")
			}
		})
	}
}

// TestAMarkedResponseIsWholeBeforeTheUploadEnds: what a length or chunks mark as whole is whole, whatever becomes of
// the connection.
func TestAMarkedResponseIsWholeBeforeTheUploadEnds(t *testing.T) {
	for name, c := range map[string]struct{ text, body string }{
		"length":  {"HTTP/1.1 413 Request Entity Too Large\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
		"chunks":  {"HTTP/1.1 413 Request Entity Too Large\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole"},
		"no body": {"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			// The upstream reads on, so that no reset drops the response.
			address, _ := upstream(t, respondEarly(c.text, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }))
			response, err := newClient(t).Do(context.Background(), address, upload("1"))
			assert.NilError(t, err)
			assert.Equal(t, readAll(t, response), c.body)
		})
	}
}
