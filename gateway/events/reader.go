// Package events splits a server-sent event stream into its events, so that only complete
// events are passed on and a stream can be resumed after the last one.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"acaciawinch/core/memory"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 256 << 10

// Event is one event in wire format, including the empty line that ends it.
type Event struct {
	Bytes []byte
	// ID is the ID of the event, empty if it has none.
	ID string
	// HasData is set if the event has a line of data. Others, such as comments, bring nothing.
	HasData bool
}

// maxIDDigits is the number of digits of the largest ID that is compared. Longer ones would also make
// long log lines.
const maxIDDigits = 20

// MayFollow reports whether an event with an ID may follow the event whose ID is last in a stream. IDs
// increase, but may skip numbers. An ID that is empty or no number can't be compared and may follow
// any.
func MayFollow(id, last string) bool {
	after, err := strconv.ParseUint(id, 10, 64)
	if err != nil || len(id) > maxIDDigits {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	return err != nil || after > before
}

// Reader reads the events of a stream.
type Reader struct {
	reader *bufio.Reader
	buffer []byte
	room   *memory.Reservation
}

// NewReader returns a Reader for the body of a stream.
func NewReader(body io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(body, lineBytes)} }

// ReserveIn makes the Reader reserve the memory of long events in room. It must be called before Next.
func (r *Reader) ReserveIn(room *memory.Reservation) { r.room = room }

// lineBytes is the size of a buffer that holds the usual events; only larger ones are reserved.
const lineBytes = 4096

// append adds a part of an event to the buffer, and reserves a larger buffer before it is allocated.
func (r *Reader) append(part []byte) error {
	if needed := len(r.buffer) + len(part); needed > cap(r.buffer) {
		size := max(lineBytes, min(2*cap(r.buffer), MaxEventBytes+lineBytes), needed)
		if size > lineBytes {
			if err := r.room.Grow(int64(size)); err != nil {
				return err
			}
			defer r.room.Shrink(int64(cap(r.buffer)))
		}
		r.buffer = append(make([]byte, 0, size), r.buffer...)
	}
	r.buffer = append(r.buffer, part...)
	return nil
}

// WithinEvent reports whether a part of an event came before the error that Next returned last.
func (r *Reader) WithinEvent() bool { return len(r.buffer) > 0 }

// Next returns the next event, which is valid until the next call. It returns io.EOF only if
// the stream ended after a complete event, io.ErrUnexpectedEOF if it ended within one, bufio.ErrTooLong for an
// event over MaxEventBytes, and a *memory.NoRoomError for one that finds no room.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	event := Event{}
	lineStart := 0
	for {
		line, err := r.reader.ReadSlice('\n')
		if noRoom := r.append(line); noRoom != nil {
			return Event{}, noRoom
		}
		switch {
		case err == bufio.ErrBufferFull && len(r.buffer) <= MaxEventBytes:
			continue
		case err == bufio.ErrBufferFull:
			return Event{}, bufio.ErrTooLong
		case err == io.EOF && len(r.buffer) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case len(r.buffer) > MaxEventBytes:
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
		if name, _, _ := bytes.Cut(text, []byte(":")); string(name) == "data" {
			event.HasData = true
		}
	}
}
