package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fault"
)

// script is what an upstream of a test does with one connection.
type script func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// upstream listens and plays one script for each connection, in their order. It
// returns its address and a channel that counts accepted connections.
func upstream(t *testing.T, scripts ...script) (string, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan int, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, play := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- i
			play(t, conn, bufio.NewReader(conn))
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

// answers plays an upstream that answers each request of a connection with a text.
func answers(texts ...string) script {
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

// waitsForEnd plays an upstream that answers one request and then waits for the
// client's end.
func waitsForEnd(text string) script {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		answers(text)(t, conn, reader)
		_, _ = reader.ReadByte()
	}
}

// newClient returns a client that reads the echo from the header Id.
func newClient(t *testing.T) *Client {
	c := New(func(status int, h http.Header) Echo {
		return Echo{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
	})
	t.Cleanup(c.Close)
	return c
}

// request returns a GET with an id.
func request(id string) Request {
	return Request{Method: http.MethodGet, Target: "/a/../b?c", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
}

// whole reads an answer to its end.
func whole(t *testing.T, a *Answer) string {
	t.Helper()
	body, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return string(body)
}

const (
	answer1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	answer2 = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"
)

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	address, accepted := upstream(t, answers(answer1, answer2))
	c := newClient(t)
	for _, id := range []string{"1", "2"} {
		a, err := c.Do(context.Background(), address, request(id))
		assert.NilError(t, err)
		whole(t, a)
	}
	assert.Equal(t, len(accepted), 1)
}

func TestTargetIsSentAsItCame(t *testing.T) {
	got := make(chan string, 1)
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		r, _ := readRequest(t, reader)
		got <- r.RequestURI
		_, err := io.WriteString(conn, answer1)
		assert.Check(t, err)
	})
	a, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	whole(t, a)
	assert.Equal(t, <-got, "/a/../b?c")
}

// TestNothingIsSentAgainOnADeadConnection is what net/http's Transport does not keep
// for a GET: a kept connection that dies after the request was written is an error
// that tells that the request may have run.
func TestNothingIsSentAgainOnADeadConnection(t *testing.T) {
	address, accepted := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		answers(answer1)(t, conn, reader)
		readRequest(t, reader)
	}, answers(answer2))
	c := newClient(t)
	a, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	whole(t, a)
	_, err = c.Do(context.Background(), address, request("2"))
	assert.Assert(t, fault.Is(err, fault.Ambiguous), "%v", err)
	assert.Equal(t, len(accepted), 1)

	a, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	whole(t, a)
}

func TestRefusedConnectionTellsThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient(t).Do(context.Background(), address, request("1"))
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

func TestAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	address, _ := upstream(t, answers(answer2+answer1))
	a, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, whole(t, a), "ok")
}

func TestAnswerWithoutAnEchoIsNotHandedOut(t *testing.T) {
	address, _ := upstream(t, answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	_, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.Assert(t, fault.Is(err, fault.Ambiguous), "%v", err)
}

func TestRejectionNeedsNoEcho(t *testing.T) {
	address, _ := upstream(t, answers("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	a, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 503)
	whole(t, a)
}

func TestInformationalAnswersArePassedOver(t *testing.T) {
	address, _ := upstream(t, answers("HTTP/1.1 103 Early Hints\r\n\r\n"+answer1))
	a, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, whole(t, a), "ok")
}

func TestConnectionWithBytesBehindAnAnswerIsNotUsedAgain(t *testing.T) {
	address, accepted := upstream(t, waitsForEnd(answer1+"HTTP/1.1 200 OK\r\n"), answers(answer2))
	c := newClient(t)
	a, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	whole(t, a)
	a, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	assert.Equal(t, whole(t, a), "no")
	assert.Equal(t, len(accepted), 2)
}

func TestCutBodiesAreNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, answers(text))
			a, err := newClient(t).Do(context.Background(), address, request("1"))
			assert.NilError(t, err)
			_, err = io.ReadAll(a.Body)
			assert.ErrorContains(t, err, "unexpected EOF")
		})
	}
}

func TestBodyWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		answers("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")(t, conn, reader)
		assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
	})
	a, err := newClient(t).Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.ErrorContains(t, err, "reset")
}

// TestEarlyAnswerEndsTheConnection: the upstream answers before it has read a long
// body; bytes of another request must not stand where the rest of that body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	address, accepted := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		_, err := reader.ReadString('\n')
		assert.Check(t, err)
		_, err = io.WriteString(conn, answer1)
		assert.Check(t, err)
		_, _ = io.Copy(io.Discard, reader)
	}, answers(answer2))
	c := newClient(t)
	long := request("1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("x", 16<<20))
	a, err := c.Do(context.Background(), address, long)
	assert.NilError(t, err)
	assert.Equal(t, whole(t, a), "ok")
	a, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	whole(t, a)
	assert.Equal(t, len(accepted), 2)
}

func TestEndOfTheContextEndsTheConnection(t *testing.T) {
	left := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	address, _ := upstream(t, func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		cancel()
		_, err := reader.ReadByte()
		assert.Check(t, err != nil)
		close(left)
	})
	_, err := newClient(t).Do(ctx, address, request("1"))
	assert.Assert(t, fault.Is(err, fault.DeadlineExceeded), "%v", err)
	<-left
}

func TestIdleConnectionNearItsLimitIsNotUsed(t *testing.T) {
	address, accepted := upstream(t, waitsForEnd(answer1), answers(answer2))
	c := newClient(t)
	a, err := c.Do(context.Background(), address, request("1"))
	assert.NilError(t, err)
	whole(t, a)
	c.Sweep(time.Now().Add(defaultIdle - idleMargin))
	a, err = c.Do(context.Background(), address, request("2"))
	assert.NilError(t, err)
	whole(t, a)
	assert.Equal(t, len(accepted), 2)
}

// TestARequestThatIsNoLongerWantedIsNotSent: its connection is there for the next one.
func TestARequestThatIsNoLongerWantedIsNotSent(t *testing.T) {
	address, accepted := upstream(t, answers(answer2))
	c := newClient(t)
	unwanted := request("1")
	unwanted.Wanted = func() bool { return false }
	_, err := c.Do(t.Context(), address, unwanted)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	wanted := request("2")
	wanted.Wanted = func() bool { return true }
	answer, err := c.Do(t.Context(), address, wanted)
	assert.NilError(t, err)
	assert.Equal(t, whole(t, answer), "no")
	assert.Equal(t, len(accepted), 1)
}

// TestAnAddressListensIfItKeepsANewConnection: one that stands before an upstream that has ended
// takes connections and closes them.
func TestAnAddressListensIfItKeepsANewConnection(t *testing.T) {
	c := newClient(t)
	open, accepted := upstream(t, answers(answer1))
	assert.Assert(t, c.Listens(t.Context(), open))
	answer, err := c.Do(t.Context(), open, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, whole(t, answer), "ok")
	assert.Equal(t, len(accepted), 1, "the connection is used")

	closing, _ := upstream(t, func(*testing.T, net.Conn, *bufio.Reader) {})
	assert.Assert(t, !c.Listens(t.Context(), closing))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.Assert(t, !c.Listens(t.Context(), listener.Addr().String()))
}

// TestAnAnswerSaysWhetherItSaysWhereItEnds: by a length or in chunks, not by its connection.
func TestAnAnswerSaysWhetherItSaysWhereItEnds(t *testing.T) {
	for text, framed := range map[string]bool{
		answer1: true,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok":                                                 false,
	} {
		address, _ := upstream(t, answers(text))
		answer, err := newClient(t).Do(t.Context(), address, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, whole(t, answer), "ok")
		assert.Equal(t, answer.Framed, framed, "%q", text)
	}
}
