package worker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
)

// malformedHeads are beginnings of responses that break the protocol. In them ID stands for the ID of the request, STAMP for
// the signature and LENGTH for the length of the body, which follows.
var malformedHeads = []string{
	"HTTP/1.1 000 Reason\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nContent-Length: LENGTH\r\n\r\n",
	"HTTP/1.1 +20 Reason\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nContent-Length: LENGTH\r\n\r\n",
	"HTTP/1.1 101 Reason\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\n\r\n",
	"HTTP/1.1 600 Reason\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nContent-Length: LENGTH\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nX Field: a\r\nContent-Length: LENGTH\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nother\r\n",
	"HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n",
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nX\x01Field: a\r\nContent-Length: LENGTH\r\n\r\n",
}

// cutHead is the beginning of a response that ends within its head.
const cutHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: STAMP\r\nContent-Le"

// longUpload is the size in bytes from which on the body of a request is one that is still being written when the response
// comes.
const longUpload = 1 << 20

// respondBroken runs a request and sends its response behind a head that breaks the protocol, or only a part of a head. It
// panics to abort the request that it serves, so it does not return.
func (w *Worker) respondBroken(out http.ResponseWriter, r *http.Request, run func(out http.ResponseWriter)) {
	w.mu.Lock()
	head := cutHead
	if number := w.brokenHeads % (len(malformedHeads) + 1); number < len(malformedHeads) {
		head = malformedHeads[number]
	}
	w.brokenHeads++
	w.mu.Unlock()
	response := httptest.NewRecorder()
	run(response)
	text := strings.NewReplacer("ID", r.Header.Get("X-Attempt-Id"), "STAMP", Stamp(w.ID), "LENGTH", strconv.Itoa(response.Body.Len())).Replace(head)
	if head != cutHead {
		text += response.Body.String()
	}
	conn, _ := hijack(out)
	_, _ = io.WriteString(conn, text) // a caller that has disconnected needs no response
	_ = conn.Close()                  // nothing follows
	panic(http.ErrAbortHandler)
}

// respondEarly sends a part of a response without a length before the body of the request is read, and resets the connection. It
// panics to abort the request that it serves, so it does not return.
func (w *Worker) respondEarly(out http.ResponseWriter, r *http.Request) {
	conn, _ := hijack(out)
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\nX-Response-Stamp: "+Stamp(w.ID)+"\r\n\r\nanswer") // as above
	if doubling, ok := conn.(*doublingConn); ok {
		_ = doubling.Conn.(*net.TCPConn).SetLinger(0) // otherwise it is closed with unread bytes, which resets it too
	}
	_ = conn.Close() // nothing follows
	panic(http.ErrAbortHandler)
}

// hijack takes over the connection of a request.
func hijack(out http.ResponseWriter) (net.Conn, *bufio.ReadWriter) {
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("worker: cannot hijack the connection: " + err.Error())
	}
	return conn, buffer
}

// Early returns how many long bodies were answered before they were read.
func (w *Worker) Early() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.early
}
