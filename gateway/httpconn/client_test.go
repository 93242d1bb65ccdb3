package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// handler is what a test upstream does with one connection.
type handler func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// upstream listens and runs one handler for each connection, in order. It returns its
// address and a channel that gets one value for each accepted connection.
func upstream(t *testing.T, handlers ...handler) (string, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan int, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, handle := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- i
			handle(t, conn, bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), accepted
}

// readRequest reads one request with its body.
func readRequest(t *testing.T, reader *bufio.Reader) (*http.Request, string) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(r.Body)
	assert.Check(t, err)
	return r, string(body)
}

// respondWith returns a handler that responds to each request of a connection with one of the
// texts.
func respondWith(texts ...string) handler {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		for _, text := range texts {
			if r, _ := readRequest(t, reader); r == nil {
				return
			}
			_, err := io.WriteString(conn, text)
			assert.Check(t, err)
		}
	}
}

// respondAndWait returns a handler that responds to one request and then waits until the
// client closes the connection.
func respondAndWait(text string) handler {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		respondWith(text)(t, conn, reader)
		_, _ = reader.ReadByte()
	}
}

// newClient returns a client that reads the request ID from the header Id.
func newClient(t *testing.T) *Client {
	c := New(Codec{
		SetID: func(h http.Header, id string) { h.Set("Id", id) },
		ReadInfo: func(_ int, h http.Header) ResponseInfo {
			return ResponseInfo{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
		},
	}, nil)
	t.Cleanup(c.Close)
	return c
}

// request returns a GET request with an ID.
func request(id string) Request {
	return Request{Method: http.MethodGet, Target: "/a/../b?c", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
}

// readAll reads the body of a response to its end.
func readAll(t *testing.T, response *Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

const (
	response1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	response2 = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"
)

func TestConnectionIsReusedAfterAWholeResponse(t *testing.T) {
	address, accepted := upstream(t, respondWith(response1, response2))
	c := newClient(t)
	for _, id := range []string{"1", "2"} {
		response, err := c.Do(context.Background(), address, request(id))
		assert.NilError(t, err)
		readAll(t, response)
	}
	assert.Equal(t, len(accepted), 1)
}

func TestTargetIsSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		r, _ := readRequest(t, reader)
		got <- r.RequestURI
		_, err := io.WriteString(conn, response1)
		assert.Check(t, err)
	})
	response, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	readAll(t, response)
	assert.Equal(t, <-got, "/a/../b?c")
}

// TestNothingIsSentAgainOnADeadConnection checks that a kept-alive connection which fails
// after a request was written yields an error that says that the request may have run.
// net/http's Transport would send a GET again.
func TestNothingIsSentAgainOnADeadConnection(t *testing.T) {
	address, accepted := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		respondWith(response1)(t, conn, reader)
		readRequest(t, reader)
	}, respondWith(response2))
	c := newClient(t)
	response, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	readAll(t, response)
	_, err = c.Do(context.Background(), address, request("2"))
	assert.Assert(t, fault.Is(err, fault.Ambiguous), "%v", err)
	assert.Equal(t, len(accepted), 1)

	response, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	readAll(t, response)
}

func TestRefusedConnectionShowsThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient(t).Do(context.Background(), address, request("1"))
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := upstream(t, respondWith(response2+response1))
	response, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
}

func TestResponseWithoutAnEchoIsNotReturned(t *testing.T) {
	address, _ := upstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	_, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.Assert(t, fault.Is(err, fault.Ambiguous), "%v", err)
}

func TestRejectionNeedsNoEcho(t *testing.T) {
	address, _ := upstream(t, respondWith("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	response, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, 503)
	readAll(t, response)
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	address, _ := upstream(t, respondWith("HTTP/1.1 103 Early Hints\r\n\r\n"+response1))
	response, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
}

func TestConnectionWithBytesAfterAResponseIsNotReused(t *testing.T) {
	address, accepted := upstream(t, respondAndWait(response1+"HTTP/1.1 200 OK\r\n"), respondWith(response2))
	c := newClient(t)
	response, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	readAll(t, response)
	response, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "no")
	assert.Equal(t, len(accepted), 2)
}

func TestCutBodiesAreNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, respondWith(text))
			response, err := newClient(t).Do(context.Background(), address, request("1"))
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.ErrorContains(t, err, "unexpected EOF")
		})
	}
}

func TestBodyWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		respondWith("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")(t, conn, reader)
		assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
	})
	response, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.ErrorContains(t, err, "reset")
}

// TestEarlyResponseEndsTheConnection guards against reuse of a connection on which the upstream
// responded before it had read a long body: it would read the next request as the remainder
// of that body.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	address, accepted := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		_, err := reader.ReadString('\n')
		assert.Check(t, err)
		_, err = io.WriteString(conn, response1)
		assert.Check(t, err)
		_, _ = io.Copy(io.Discard, reader)
	}, respondWith(response2))
	c := newClient(t)
	long := request("1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("x", 16<<20))
	response, err := c.Do(context.Background(), address, long)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
	response, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	readAll(t, response)
	assert.Equal(t, len(accepted), 2)
}

func TestEndOfTheContextEndsTheConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		cancel()
		_, err := reader.ReadByte()
		assert.Check(t, err != nil)
		close(closed)
	})
	_, err := newClient(t).Do(ctx, address, request("1"))
	assert.Assert(t, fault.Is(err, fault.DeadlineExceeded), "%v", err)
	<-closed
}

func TestIdleConnectionNearItsLimitIsNotUsed(t *testing.T) {
	address, accepted := upstream(t, respondAndWait(response1), respondWith(response2))
	c := newClient(t)
	response, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	readAll(t, response)
	c.Sweep(time.Now().Add(defaultIdle - idleMargin))
	response, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	readAll(t, response)
	assert.Equal(t, len(accepted), 2)
}

// TestARequestThatIsNoLongerWantedIsNotSent checks also that the connection is kept for the next
// request.
func TestARequestThatIsNoLongerWantedIsNotSent(t *testing.T) {
	address, accepted := upstream(t, respondWith(response2))
	c := newClient(t)
	skipped := request("1")
	skipped.ShouldSend = func() bool { return false }
	_, err := c.Do(t.Context(), address, skipped)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	sent := request("2")
	sent.ShouldSend = func() bool { return true }
	response, err := c.Do(t.Context(), address, sent)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "no")
	assert.Equal(t, len(accepted), 1)
}

// TestAnAddressListensIfItKeepsANewConnection: a proxy in front of an upstream that has ended
// accepts connections and closes them, which must not count as listening.
func TestAnAddressListensIfItKeepsANewConnection(t *testing.T) {
	c := newClient(t)
	open, accepted := upstream(t, respondWith(response1))
	assert.Assert(t, c.Listens(t.Context(), open))
	response, err := c.Do(t.Context(), open, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
	assert.Equal(t, len(accepted), 1, "the connection is reused")

	closing, _ := upstream(t, func(*testing.T, net.Conn, *bufio.Reader) {})
	assert.Assert(t, !c.Listens(t.Context(), closing))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.Assert(t, !c.Listens(t.Context(), listener.Addr().String()))
}

// TestResponseIsFramedIfItsHeadMarksItsEnd checks that a length or chunks mark the end of a
// response, and the end of the connection does not.
func TestResponseIsFramedIfItsHeadMarksItsEnd(t *testing.T) {
	for text, framed := range map[string]bool{
		response1: true,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok":                                                 false,
	} {
		address, _ := upstream(t, respondWith(text))
		response, err := newClient(t).Do(t.Context(), address, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok")
		assert.Equal(t, response.Framed, framed, "%q", text)
	}
}

// upstreamThatRepeats serves each connection by itself. It rejects the first request with ID 1, and
// sends that rejection once more before the response to the next request with this ID that comes on the
// same connection. It returns its address and the number of connections so far.
func upstreamThatRepeats(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	const rejected = "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var connections, requests atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		defer func() { _ = conn.Close() }()
		connections.Add(1)
		answers := map[string]string{"1": response1, "2": response2}
		if requests.Add(1) == 1 {
			answers["1"] = rejected
		}
		for id := "1"; err == nil; {
			_, err = io.WriteString(conn, answers[id])
			assert.Check(t, err)
			answers["1"] = rejected + response1
			var r *http.Request
			if r, err = http.ReadRequest(buffer.Reader); err == nil {
				id = r.Header.Get("Id")
			}
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }() // it returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), &connections
}

// TestAResponseToTheFirstSendIsNotThatToTheSecond: an upstream may send a response once more, at the
// point where the next one is due. Nothing distinguishes the responses to two sends with one ID.
func TestAResponseToTheFirstSendIsNotThatToTheSecond(t *testing.T) {
	for name, ids := range map[string][]string{"at once": {"1", "1"}, "after another": {"1", "2", "1"}} {
		t.Run(name, func(t *testing.T) {
			address, connections := upstreamThatRepeats(t)
			c := newClient(t)
			status := 0
			for _, id := range ids {
				response, err := c.Do(t.Context(), address, request(id))
				assert.NilError(t, err)
				status = response.Status
				readAll(t, response)
			}
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, connections.Load(), int64(2))

			response, err := c.Do(t.Context(), address, request("2"))
			assert.NilError(t, err)
			assert.Equal(t, readAll(t, response), "no")
			assert.Equal(t, connections.Load(), int64(2), "both connections are kept")
		})
	}
}
