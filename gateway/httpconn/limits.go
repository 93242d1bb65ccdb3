package httpconn

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"acaciawinch/core/memory"
)

// Limits of what is read of one response. Bytes beyond a limit close the connection. With them, the
// memory that an upstream can take is bounded by the number of connections.
const (
	// maxHeadBytes bounds the head of a response, beside what the read buffer already holds.
	maxHeadBytes = 32 << 10
	// maxTrailerBytes bounds the trailer of a response in chunks: net/http reads a trailer only if it fits into
	// the read buffer.
	maxTrailerBytes = readBufferBytes
	// MaxBodyBytes bounds the body of a response if the request sets no limit.
	MaxBodyBytes = 64 << 20
)

// Part is a part of a response.
type Part string

// The parts of a response that have a limit.
const (
	Head    Part = "head"
	Body    Part = "body"
	Trailer Part = "trailer"
	// Event is one event of a stream. The caller, which splits the body into events, bounds it.
	Event Part = "event"
)

// LimitError reports that a part of a response exceeds its limit.
type LimitError struct {
	Part Part
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the %s of the response exceeds %d bytes", e.Part, e.Limit)
}

// limitedReader reads from a connection. It returns a LimitError once it has read a number of bytes of
// a head.
type limitedReader struct {
	source io.Reader
	// remaining is the number of bytes that may be read until the end of the head.
	remaining int64
	// inHead is set while a head is read. head then holds what was read since its beginning, which may be more than the head.
	inHead bool
	head   []byte
	// room gets the memory of a head that exceeds the read buffer; it is released with the next one.
	room *memory.Reservation
}

// headCopies is how often the bytes of a head are held: as read, and decoded.
const headCopies = 2

// beginHead sets the limit of the head that is read next, of which some bytes were read before.
func (l *limitedReader) beginHead(before []byte) {
	l.remaining = maxHeadBytes
	l.room.Shrink(l.room.Bytes() - connBytes)
	l.inHead, l.head = true, append(l.head[:0], before...)
}

// endHead removes the limit until the next head.
func (l *limitedReader) endHead() {
	l.remaining, l.inHead = math.MaxInt64, false
	if cap(l.head) > 2*readBufferBytes {
		l.head = nil
	}
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &LimitError{Part: Head, Limit: maxHeadBytes}
	}
	if inHead := maxHeadBytes - l.remaining; inHead >= readBufferBytes {
		if err := l.room.Grow(headCopies * readBufferBytes); err != nil {
			return 0, err
		}
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.inHead {
		l.head = append(l.head, p[:n]...)
	}
	return n, err
}

// longTrailer is a part of the error that net/http returns for a trailer that does not fit into the read buffer.
const longTrailer = "suspiciously long trailer"

// limitedBody reads the body of a response up to a limit.
type limitedBody struct {
	source io.Reader
	limit  int64
	// remaining is the number of bytes that may still be read.
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	// One byte more than remains is read, to distinguish a body of exactly the limit from a longer one.
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining+1)])
	if int64(n) > b.remaining {
		return int(b.remaining), &LimitError{Part: Body, Limit: b.limit}
	}
	b.remaining -= int64(n)
	if err != nil && err != io.EOF && strings.Contains(err.Error(), longTrailer) {
		err = errors.Join(&LimitError{Part: Trailer, Limit: maxTrailerBytes}, err)
	}
	return n, err
}
