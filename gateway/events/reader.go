// Package events cuts an event stream into its events, so that only whole events are
// handed on and a stream can go on after the last one.
package events

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Event is one event as it stands on the wire, with the empty line that ends it.
type Event struct {
	Bytes []byte
	// ID is the event's id, empty if it has none.
	ID string
}

// Reader reads events.
type Reader struct {
	from   *bufio.Reader
	buffer []byte
}

// NewReader returns a Reader of a stream's body.
func NewReader(body io.Reader) *Reader { return &Reader{from: bufio.NewReaderSize(body, 4096)} }

// Next returns the next event, valid until the next call. The error is io.EOF only if
// the stream ended after a whole event; a part of an event is io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	event := Event{}
	lineStart := 0
	for {
		line, err := r.from.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		switch {
		case err == bufio.ErrBufferFull && len(r.buffer) <= maxEventBytes:
			continue
		case err == io.EOF && len(r.buffer) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case len(r.buffer) > maxEventBytes:
			return Event{}, bufio.ErrTooLong
		}
		text := bytes.TrimRight(r.buffer[lineStart:], "\r\n")
		lineStart = len(r.buffer)
		if len(text) == 0 {
			event.Bytes = r.buffer
			return event, nil
		}
		if value, isID := bytes.CutPrefix(text, []byte("id:")); isID {
			event.ID = string(bytes.TrimSpace(value))
		}
	}
}
