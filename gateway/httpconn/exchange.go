package httpconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciawinch/core/fault"
)

// Limits of an exchange.
const (
	// smallBody is the most bytes that are written before the answer is read; more
	// could fill the link's window while the upstream has answered and reads no more.
	smallBody = 2048
	// maxForeign bounds the answers of other requests and the informational ones
	// that are passed over before the answer that is waited for.
	maxForeign = 4
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 1 << 20
)

// Answer is an upstream's answer. Its body must be read to its end or given up by
// Close.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the whole body was read.
	Body io.Reader
	// Framed is set if the answer says where it ends. The end of another one is that of its
	// connection, which the end of the upstream's process looks like.
	Framed bool

	client *Client
	conn   *conn
	body   io.ReadCloser
	idle   time.Duration
	keep   bool
	sent   *sender
	stop   func() bool
	ended  atomic.Bool
}

// Do sends a request and waits for the head of its answer, until ctx ends. An error
// with code Unavailable tells that nothing was sent; with any other code the request
// may have run.
func (c *Client) Do(ctx context.Context, addr string, r Request) (*Answer, error) {
	taken, err := c.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	if r.Wanted != nil && !r.Wanted() {
		c.giveBack(taken)
		return nil, fault.New(fault.Unavailable, "upstream.send", addr, "the upstream takes nothing any more")
	}
	stop := context.AfterFunc(ctx, taken.close)
	sent := send(taken, r)
	answer, err := c.receive(taken, r, sent)
	if err != nil {
		stop()
		taken.close()
		if sent.nothing() {
			return nil, fault.Wrap(fault.Unavailable, "upstream.send", addr, err)
		}
		if ctx.Err() != nil {
			return nil, fault.Wrap(fault.DeadlineExceeded, "upstream.receive", addr, ctx.Err())
		}
		return nil, fault.Wrap(fault.Ambiguous, "upstream.receive", addr, err)
	}
	answer.stop = stop
	return answer, nil
}

// sender writes one request.
type sender struct {
	written atomic.Int64
	done    chan struct{}
	err     error
}

// send begins to write a request; a small one is written when it returns.
func send(to *conn, r Request) *sender {
	s := &sender{done: make(chan struct{})}
	head := encode(r)
	if len(r.Body) <= smallBody {
		s.write(to, append(head, r.Body...))
		close(s.done)
		return s
	}
	go func() {
		defer close(s.done)
		s.write(to, head)
		if s.err == nil {
			s.write(to, r.Body)
		}
	}()
	return s
}

// write writes a part of the request.
func (s *sender) write(to *conn, part []byte) {
	n, err := to.Write(part)
	s.written.Add(int64(n))
	s.err = err
}

// nothing tells whether the whole writing failed before its first byte.
func (s *sender) nothing() bool {
	select {
	case <-s.done:
		return s.err != nil && s.written.Load() == 0
	default:
		return false
	}
}

// whole tells whether all was written without an error.
func (s *sender) whole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// encode returns the head of a request as it is sent.
func encode(r Request) []byte {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || hasBody(r.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&head) // a buffer never fails to write
	head.WriteString("\r\n")
	return head.Bytes()
}

// hasBody tells whether requests of a method usually have a body, so that one
// without any says so.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the head of the answer to a request. Informational answers and those
// that name another request are passed over.
func (c *Client) receive(from *conn, r Request, sent *sender) (*Answer, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(from.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		echo := c.echo(resp.StatusCode, resp.Header)
		if r.ID == "" || echo.ID == r.ID || (echo.ID == "" && echo.NotRun) {
			return c.answer(from, resp, echo, sent), nil
		}
		if err := skip(resp); err != nil {
			return nil, err
		}
	}
	return nil, fault.New(fault.Ambiguous, "upstream.receive", from.addr, "%d answers of other requests", maxForeign)
}

// skip reads an answer of another request to its end. One that ends with the
// connection leaves no place for the answer that is waited for.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err != nil {
		return err
	}
	if n == maxForeignBytes || resp.Close {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// answer returns the answer with its body unread.
func (c *Client) answer(from *conn, resp *http.Response, echo Echo, sent *sender) *Answer {
	a := &Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		client: c,
		conn:   from,
		body:   resp.Body,
		idle:   echo.Idle,
		keep:   !resp.Close && resp.StatusCode != http.StatusSwitchingProtocols,
		sent:   sent,
	}
	a.Body = &body{answer: a}
	return a
}

// body reads an answer's body and gives its connection back at the end.
type body struct{ answer *Answer }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.answer.body.Read(p)
	if err == io.EOF {
		b.answer.finish()
	}
	return n, err
}

// finish keeps the connection for the next request, if it may be used again: the
// request was written whole, and nothing stands behind the answer.
func (a *Answer) finish() {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	unbroken := a.stop == nil || a.stop()
	if !unbroken || !a.keep || !a.sent.whole() || a.conn.reader.Buffered() > 0 {
		a.conn.close()
		return
	}
	idle := a.idle
	if idle == 0 {
		idle = defaultIdle
	}
	a.conn.until = time.Now().Add(idle - idleMargin)
	a.client.put(a.conn)
}

// Close gives up what was not read; the connection ends, which tells the upstream to
// stop its work. After the whole body it does nothing.
func (a *Answer) Close() {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	if a.stop != nil {
		a.stop()
	}
	a.conn.close()
}
