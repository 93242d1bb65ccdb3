// Package memory shares the memory of a process between all that its peers can make grow. What may
// grow is reserved before it is read; what finds no room is refused. One Budget bounds the whole
// process, so that no number of clients, upstreams or gateways makes it exceed its memory.
//
// Each class leaves room for those after it: Bulk, Small, Tiny, Completion, State. So small requests go
// on beside long ones, work that has begun can end, and the process keeps hearing of the fleet.
// Invariants: a reservation grows only if all reservations together stay within the share of its class,
// and together they never exceed the budget.
package memory

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
)

// Class is what memory is reserved for.
type Class int

const (
	// Bulk is for the parts of new requests beyond SmallBytes.
	Bulk Class = iota
	// Small is for new requests of up to SmallBytes.
	Small
	// Tiny is for connections, for new requests of up to TinyBytes, and for responses that are read ahead.
	Tiny
	// Completion is for what work that has begun needs: connections to upstreams, heads, events, results.
	Completion
	// State is for what the store and other gateways tell.
	State
)

// shares holds the percentage of the budget up to which each class may fill it.
var shares = [...]int64{Bulk: 75, Small: 80, Tiny: 90, Completion: 95, State: 100}

// Sizes of new requests.
const (
	// SmallBytes is the size up to which a request is small.
	SmallBytes = 64 << 10
	// TinyBytes is the size up to which it is tiny: clients that send small bodies in great number leave room
	// for those that send none.
	TinyBytes = 8 << 10
)

// NoRoomError reports that the budget has no room for a reservation.
type NoRoomError struct {
	// Bytes is the size that was to be added, Used and Total are those of the budget.
	Bytes, Used, Total int64
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no memory for %d bytes: %d of %d are reserved", e.Bytes, e.Used, e.Total)
}

// Budget is the memory that reservations share. It is safe for concurrent use. A nil Budget has
// room for everything.
type Budget struct {
	total int64
	used  atomic.Int64
	peak  atomic.Int64
	// refused counts the reservations that found no room.
	refused atomic.Int64
}

// New returns a Budget of a number of bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Usage describes a Budget.
type Usage struct{ Used, Peak, Total, Refused int64 }

// Usage returns the present usage.
func (b *Budget) Usage() Usage {
	return Usage{Used: b.used.Load(), Peak: b.peak.Load(), Total: b.total, Refused: b.refused.Load()}
}

// add reserves bytes for a class.
func (b *Budget) add(class Class, bytes int64) error {
	limit := b.total * shares[class] / 100
	for {
		used := b.used.Load()
		if used+bytes > limit {
			b.refused.Add(1)
			return &NoRoomError{Bytes: bytes, Used: used, Total: b.total}
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			b.recordPeak(used + bytes)
			return nil
		}
	}
}

// recordPeak raises the peak to used.
func (b *Budget) recordPeak(used int64) {
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
}

// Reservation is the memory that one owner has reserved. Nil is a Reservation of no budget, which may
// grow without bound. It is safe for concurrent use.
type Reservation struct {
	mu     sync.Mutex
	budget *Budget
	class  Class
	bytes  int64
	ended  bool
}

// Begin returns an empty Reservation. Bulk stands for new requests: one of up to SmallBytes counts as
// Small, one of up to TinyBytes as Tiny.
func (b *Budget) Begin(class Class) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, class: class}
}

// Grow adds bytes. It returns a *NoRoomError if there is no room, and then changes nothing.
func (r *Reservation) Grow(bytes int64) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	if err := r.budget.add(r.classFor(r.bytes+bytes), bytes); err != nil {
		return err
	}
	r.bytes += bytes
	return nil
}

// classFor returns the class of the reservation if it has a size.
func (r *Reservation) classFor(bytes int64) Class {
	switch {
	case r.class != Bulk || bytes > SmallBytes:
		return r.class
	case bytes > TinyBytes:
		return Small
	default:
		return Tiny
	}
}

// Shrink returns bytes to the budget, at most those that are reserved.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink(min(bytes, r.bytes))
}

// shrink is Shrink for callers that hold r.mu.
func (r *Reservation) shrink(bytes int64) {
	if bytes > 0 {
		r.bytes -= bytes
		r.budget.used.Add(-bytes)
	}
}

// Release returns all bytes to the budget, and ends the reservation. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shrink(r.bytes)
	r.ended = true
}

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// firstBytes is the first size of a buffer for content of unknown length.
const firstBytes = 4 << 10

// ReadAll reads source to its end, and reserves each buffer before it is allocated. A length of 0 or
// more is the length of the content; it is reserved at once. It returns what was read, also with an
// error. Content that is shorter than its length is an io.ErrUnexpectedEOF, unless source has its own
// error; of content that is longer only that length is read.
func ReadAll(r *Reservation, source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		content, _, err := readGrowing(r, source, math.MaxInt)
		return content, err
	}
	if err := r.Grow(length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	n, err := io.ReadFull(source, content)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return content[:n], err
}

// ReadUpTo reads source, of at most a number of bytes, to its end. Content beyond SmallBytes is read only if there is
// room for the most that it can be, which is reserved at once: of many that grow together, those that begin can end.
func ReadUpTo(r *Reservation, source io.Reader, most int64) ([]byte, error) {
	head, ended, err := readGrowing(r, source, SmallBytes)
	if err != nil || ended {
		return head, err
	}
	// A buffer of up to most bytes and the one before, of half its size, exist at the same time.
	reserved := most + most/2
	if err := r.Grow(reserved); err != nil {
		return head, err
	}
	content, _, err := readGrowing(nil, io.MultiReader(bytes.NewReader(head), source), math.MaxInt)
	r.Shrink(reserved + int64(cap(head)) - int64(cap(content)))
	return content, err
}

// ReadBody reads the body of a request, of a length that is at most the limit, or below 0 if it is unknown.
func ReadBody(r *Reservation, source io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return ReadUpTo(r, source, limit)
	}
	return ReadAll(r, source, length)
}

// readGrowing reads content of unknown length, up to a number of bytes, into a buffer that doubles. Ended is
// set if the content ended before that.
func readGrowing(r *Reservation, source io.Reader, most int) (content []byte, ended bool, err error) {
	for len(content) < most {
		if len(content) == cap(content) {
			grown, err := enlarge(r, content)
			if err != nil {
				return content, false, err
			}
			content = grown
		}
		n, err := source.Read(content[len(content):min(cap(content), most)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
	return content, false, nil
}

// enlarge returns the content in a buffer of twice the size. Both buffers are reserved while they exist.
func enlarge(r *Reservation, content []byte) ([]byte, error) {
	size := max(firstBytes, 2*cap(content))
	if err := r.Grow(int64(size)); err != nil {
		return content, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	r.Shrink(int64(cap(content)))
	return grown, nil
}
