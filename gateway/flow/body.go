package flow

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"acaciawinch/core/memory"
	"acaciawinch/gateway/framing"
)

// Bounds on the time in which a client sends a body. A client that stalls holds its memory no longer
// than stallTime and arrivedTime, and one that sends slowly no longer than until its deadline.
const (
	// stallTime is the time within which at least leastProgress bytes must come.
	stallTime     = 2 * time.Second
	leastProgress = 1 << 10
	// paceTime is how long the pace of a body is observed at a time. A client that pauses once and then
	// sends fast is in time: maxSlowPaces observations in a row must show that the body can't be complete.
	paceTime     = time.Second
	maxSlowPaces = 2
	// lateSlack allows for a pace that varies: a body whose end is expected later than the deadline by less
	// than that part of the remaining time may still come.
	lateSlack = 0.25
	// discardTime bounds how long the rest of the body of a refused request is read, so that the client
	// reads the response.
	discardTime = 500 * time.Millisecond
	// arrivedTime is the time in which bytes are read that have come before a deadline. A process that gets little
	// processor time begins to read only after a part of it.
	arrivedTime = 500 * time.Millisecond
	// writeGrace is how long after its deadline a response may still be written to a client that reads slowly.
	writeGrace = time.Second
)

// slowBodyError reports a body that can't be complete in time.
type slowBodyError struct{ detail string }

// Error implements error.
func (e *slowBodyError) Error() string { return e.detail }

// pacedBody reads the body of a request within the bounds on its time.
type pacedBody struct {
	io.ReadCloser
	// setDeadline sets the time until which a read may wait.
	setDeadline func(time.Time) error
	// length is the length of the body, below 0 if unknown. deadline is that of the request.
	length   int64
	deadline time.Time

	// now is the clock.
	now func() time.Time
	// read is how many bytes were read.
	read int64
	// progress and pace began at a time, and count the bytes since then. slow is how many observations of
	// the pace in a row were too slow.
	progress, pace span
	slow           int
}

// span counts the bytes since a time.
type span struct {
	began time.Time
	bytes int64
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.progress.began.IsZero() {
		b.progress.began = b.now()
		b.pace = b.progress
	}
	n, err := b.readUntil(earlier(b.progress.began.Add(stallTime), b.deadline), p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && b.now().Before(b.deadline) {
		// This process may have been stopped meanwhile: what has come is read first.
		n, err = b.readUntil(b.now().Add(arrivedTime), p)
	}
	b.read += int64(n)
	b.progress.bytes += int64(n)
	b.pace.bytes += int64(n)
	if err == nil {
		err = b.check(b.now())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = &slowBodyError{"the client did not send the rest of the body in time"}
	}
	return n, err
}

// readUntil reads once, and waits no longer than until a time.
func (b *pacedBody) readUntil(limit time.Time, p []byte) (int, error) {
	if err := b.setDeadline(limit); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

// check returns an error if the body can't be complete in time.
func (b *pacedBody) check(now time.Time) error {
	if b.progress.bytes >= leastProgress {
		b.progress = span{began: now}
	}
	took, missing := now.Sub(b.pace.began), b.length-b.read
	if took < paceTime || missing <= 0 {
		return nil
	}
	needed := float64(took) / float64(b.pace.bytes) * float64(missing)
	b.pace = span{began: now}
	if needed <= (1+lateSlack)*float64(b.deadline.Sub(now)) {
		b.slow = 0
		return nil
	}
	if b.slow++; b.slow < maxSlowPaces {
		return nil
	}
	return &slowBodyError{"at its pace the body would not be complete before the deadline"}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// receiveBody reads the body of the request into memory that is reserved before. If it fails, it
// responds to the client and returns false.
func (rq *request) receiveBody(limit int64) bool {
	out := http.NewResponseController(rq.w)
	paced := &pacedBody{ReadCloser: rq.r.Body, setDeadline: out.SetReadDeadline, length: rq.r.ContentLength, deadline: rq.deadline, now: time.Now}
	body, err := memory.ReadBody(rq.room, http.MaxBytesReader(rq.w, paced, limit), rq.r.ContentLength, limit)
	if err == nil {
		rq.body = body
		_ = out.SetReadDeadline(time.Time{}) // it fails on a closed connection only
		return true
	}
	// net/http reads the rest of a short body before it closes or keeps the connection; of a longer one, what
	// comes until the client has read the response.
	_ = out.SetReadDeadline(time.Now().Add(discardTime)) // it fails on a closed connection only
	_ = framing.EndInOrder(rq.r)                         // as above
	var tooLong *http.MaxBytesError
	var noRoom *memory.NoRoomError
	var slow *slowBodyError
	switch {
	case errors.As(err, &noRoom):
		return rq.refuse(http.StatusServiceUnavailable, "request.body", err.Error(), retryAfterBusy)
	case errors.As(err, &tooLong):
		return rq.refuse(http.StatusRequestEntityTooLarge, "request.body", "request body exceeds the size limit", 0)
	case errors.As(err, &slow):
		rq.w.Header().Set("Connection", "close")
		return rq.refuse(http.StatusRequestTimeout, "request.body", err.Error(), 0)
	default:
		rq.w.Header().Set("Connection", "close")
		return rq.refuse(http.StatusBadRequest, "request.body", err.Error(), 0)
	}
}
