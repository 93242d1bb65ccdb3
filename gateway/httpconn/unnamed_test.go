package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestARejectionWithoutAnIDIsNotThatOfTheNextRequest: an upstream may send a response once more, and
// nothing distinguishes one without an ID from the rejection of the next request.
func TestARejectionWithoutAnIDIsNotThatOfTheNextRequest(t *testing.T) {
	const rejected = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	serve := func(conn net.Conn, first string) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for answer := first; ; answer = rejected + response2 {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for first := rejected; ; first = response2 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, first)
		}
	}()
	c := newClient(t)
	response, err := c.Do(t.Context(), listener.Addr().String(), request("1"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusServiceUnavailable)
	readAll(t, response)
	response, err = c.Do(t.Context(), listener.Addr().String(), request("2"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusOK)
	assert.Equal(t, readAll(t, response), "no")
}
