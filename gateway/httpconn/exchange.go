package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/httphead"
)

// Limits of a request and its response.
const (
	// maxInlineBody is the size up to which a body is written completely before the response
	// is read. Writing a larger body could fill the TCP window and block, while the upstream has
	// already responded and reads no more.
	maxInlineBody = 2048
	// maxSkipped bounds the informational responses and the responses to other requests
	// that are skipped before the expected response.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Response is an upstream's response. The caller must read Body to its end or call Close.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the complete body was read.
	Body io.Reader
	// Framed is set if the head of the response marks the end of its body, by a length or as
	// chunks. Otherwise the body ends with the connection, in order and after the whole request was received,
	// which still can't be distinguished from a crash of the upstream's process.
	Framed bool
	// Length is the length of the body that the head of the response gives, -1 if it gives none.
	Length int64

	client   *Client
	conn     *conn
	body     io.Reader
	idle     time.Duration
	reusable bool
	// endsWithConn is set if only the end of the connection ends the body.
	endsWithConn bool
	writer       *requestWriter
	stop         func() bool
	finished     atomic.Bool
}

// Do sends a request and waits for the head of its response until ctx ends. If an error
// has the code Unavailable, nothing was sent; with any other code the request may have run.
func (c *Client) Do(ctx context.Context, addr string, r Request) (*Response, error) {
	if r.ID == "" {
		r.ID, r.drawn = newID(), true
		header := make(http.Header, len(r.Header)+1)
		maps.Copy(header, r.Header)
		c.codec.SetID(header, r.ID)
		r.Header = header
	}
	acquired, err := c.acquire(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	if r.ShouldSend != nil && !r.ShouldSend() {
		c.release(acquired)
		return nil, fault.Wrap(fault.Unavailable, "upstream.send", addr, ErrWithdrawn)
	}
	acquired.history.record(r.Method, r.ID)
	stop := context.AfterFunc(ctx, acquired.close)
	writer := startWrite(acquired, r)
	response, err := c.receive(acquired, r, writer)
	if err != nil {
		stop()
		acquired.close()
		if writer.wroteNothing() {
			return nil, fault.Wrap(fault.Unavailable, "upstream.send", addr, err)
		}
		if ctx.Err() != nil {
			return nil, fault.Wrap(fault.DeadlineExceeded, "upstream.receive", addr, ctx.Err())
		}
		return nil, fault.Wrap(fault.Ambiguous, "upstream.receive", addr, err)
	}
	response.stop = stop
	return response, nil
}

// maxNotifyBytes bounds the body of the response to a notification.
const maxNotifyBytes = 64 << 10

// Notify sends a request whose response tells its caller nothing. It returns when a response has come,
// which may be that to an earlier notification, and an error if none came or its status is not 2xx.
func (c *Client) Notify(ctx context.Context, addr string, r Request) error {
	r.oneWay, r.ID, r.MaxBody = true, "", maxNotifyBytes
	response, err := c.Do(ctx, addr, r)
	if err != nil {
		return err
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Status/100 != 2 {
		return fault.New(fault.Refused, "upstream.notify", addr, "status %d", response.Status)
	}
	return nil
}

// requestWriter writes one request.
type requestWriter struct {
	written atomic.Int64
	done    chan struct{}
	err     error
}

// startWrite starts to write a request. A request with a body of at most maxInlineBody bytes is
// completely written when startWrite returns.
func startWrite(to *conn, r Request) *requestWriter {
	w := &requestWriter{done: make(chan struct{})}
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		w.write(to, append(head, r.Body...))
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		w.write(to, head)
		if w.err == nil {
			w.write(to, r.Body)
		}
	}()
	return w
}

// write writes a part of the request.
func (w *requestWriter) write(to *conn, part []byte) {
	n, err := to.Write(part)
	w.written.Add(int64(n))
	w.err = err
}

// wroteNothing reports whether writing has failed before the first byte.
func (w *requestWriter) wroteNothing() bool {
	select {
	case <-w.done:
		return w.err != nil && w.written.Load() == 0
	default:
		return false
	}
}

// wroteAll reports whether the complete request was written.
func (w *requestWriter) wroteAll() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// encodeHead returns the head of a request in wire format.
func encodeHead(r Request) []byte {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || hasBody(r.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&head) // writing to a bytes.Buffer never fails
	head.WriteString("\r\n")
	return head.Bytes()
}

// hasBody reports whether requests of a method usually have a body, so that an empty body
// needs an explicit Content-Length.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the head of the response to a request. It skips informational responses and
// those to other requests.
func (c *Client) receive(from *conn, r Request, writer *requestWriter) (*Response, error) {
	for range maxSkipped {
		resp, err := from.readHead(r.Method)
		if err != nil {
			return nil, c.observeError(from, err)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		info := c.codec.ReadInfo(resp.StatusCode, resp.Header)
		switch from.history.owner(r, info) {
		case ownResponse:
			return c.newResponse(from, resp, r, info, writer)
		case unknownResponse:
			c.observe(Anomaly{Address: from.addr, Kind: Unmatched, Status: resp.StatusCode})
			return nil, fault.New(fault.Ambiguous, "upstream.receive", from.addr, "a response with status %d may belong to another request", resp.StatusCode)
		}
		c.observe(Anomaly{Address: from.addr, Kind: Foreign, Status: resp.StatusCode})
		if err := discardBody(resp); err != nil {
			return nil, c.observeError(from, err)
		}
	}
	return nil, fault.New(fault.Ambiguous, "upstream.receive", from.addr, "%d responses belong to other requests", maxSkipped)
}

// readHead reads the head of a response to a request with a method. It returns an httphead.ProtocolError for a head that
// does not follow the protocol.
func (c *conn) readHead(method string) (*http.Response, error) {
	before, _ := c.reader.Peek(c.reader.Buffered()) // never fails for what is buffered
	c.limited.beginHead(before)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil && c.limited.remaining <= 0 {
		return nil, &LimitError{Part: Head, Limit: maxHeadBytes}
	}
	defer c.limited.endHead()
	head, whole := httphead.Cut(c.limited.head)
	if err != nil && !whole {
		return nil, shorten(err)
	}
	if broken := httphead.Check(head); broken != nil {
		return nil, broken
	}
	if err != nil {
		return nil, httphead.Malformed("%v", shorten(err))
	}
	return resp, nil
}

// maxErrorText bounds the text of an error in bytes. Errors of net/http quote what they could not read.
const maxErrorText = 200

// shorten returns err, or an error with the beginning of its text if that is long.
func shorten(err error) error {
	if err == nil || len(err.Error()) <= maxErrorText {
		return err
	}
	return errors.New(err.Error()[:maxErrorText])
}

// discardBody reads the response to another request to its end. It returns an error if that
// response closes the connection, as the expected response can't follow then.
func discardBody(resp *http.Response) error {
	if resp.Close {
		return io.ErrUnexpectedEOF
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = &LimitError{Part: Body, Limit: maxSkippedBytes}
	}
	return err
}

// newResponse returns the Response for resp, whose body is unread.
func (c *Client) newResponse(from *conn, resp *http.Response, r Request, info ResponseInfo, writer *requestWriter) (*Response, error) {
	limit := r.MaxBody
	if limit == 0 {
		limit = MaxBodyBytes
	}
	if resp.ContentLength > limit {
		return nil, c.observeError(from, &LimitError{Part: Body, Limit: limit})
	}
	response := &Response{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Framed:   resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Length:   resp.ContentLength,
		client:   c,
		conn:     from,
		body:     &limitedBody{source: resp.Body, limit: limit, remaining: limit},
		idle:     info.Idle,
		reusable: !resp.Close && (info.ID != "" || r.oneWay) && !from.history.isFull(),
		writer:   writer,
	}
	response.endsWithConn = !response.Framed && resp.Body != http.NoBody
	response.Body = &responseBody{response: response}
	return response, nil
}

// responseBody reads the body of a response and releases its connection at the end.
type responseBody struct {
	response *Response
	// ended is the error that ended the body, nil before its end.
	ended error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.response.body.Read(p)
	if err == io.EOF && b.response.endsWithConn && !b.response.conn.endsInOrder(b.response.writer) {
		err = errBrokenOff
	}
	switch {
	case err == io.EOF:
		b.response.finish()
	case err != nil && !b.response.finished.Load():
		b.response.Close()
		err = b.response.client.observeError(b.response.conn, err)
	}
	b.ended = err
	return n, err
}

// finish keeps the connection for the next request if it can be reused: the request was
// written completely, and no data follows the response.
func (r *Response) finish() {
	if !r.finished.CompareAndSwap(false, true) {
		return
	}
	active := r.stop == nil || r.stop()
	if !active || !r.reusable || !r.writer.wroteAll() || r.conn.reader.Buffered() > 0 {
		r.client.drop(r.conn)
		return
	}
	idle := r.idle
	if idle == 0 {
		idle = defaultIdle
	}
	r.conn.expires = time.Now().Add(idle - idleMargin)
	r.client.putIdle(r.conn)
}

// Close closes the connection if the body was not read completely, which tells the upstream
// to stop working on the request. After the end of the body it does nothing.
func (r *Response) Close() {
	if !r.finished.CompareAndSwap(false, true) {
		return
	}
	if r.stop != nil {
		r.stop()
	}
	r.conn.close()
}
