package memory

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestTheBudgetIsNeverExceeded plays owners that grow, shrink and release, and checks the invariant of the classes after
// each step.
func TestTheBudgetIsNeverExceeded(t *testing.T) {
	const total = 1 << 20
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		b := New(total)
		var held []*Reservation
		for range 2000 {
			switch at := random.IntN(max(1, len(held))); {
			case len(held) == 0 || random.IntN(4) == 0:
				held = append(held, b.Begin(Class(random.IntN(len(shares)))))
			case random.IntN(3) == 0:
				held[at].Release()
				held = append(held[:at], held[at+1:]...)
			case random.IntN(3) == 0:
				held[at].Shrink(int64(random.IntN(64 << 10)))
			default:
				before := b.Usage().Used
				size := int64(random.IntN(200 << 10))
				if err := held[at].Grow(size); err == nil && held[at].class == Bulk && held[at].Bytes() > SmallBytes {
					assert.Assert(t, before+size <= total*shares[Bulk]/100)
				}
			}
			sum := int64(0)
			for _, r := range held {
				sum += r.Bytes()
			}
			assert.Equal(t, b.Usage().Used, sum, "seed %d", seed)
			assert.Assert(t, sum <= total)
		}
	}
}

// TestEachClassLeavesRoomForTheNext: neither new long bodies nor small requests keep work that has begun from ending, and nothing
// that clients and upstreams do keeps the process from hearing of the fleet.
func TestEachClassLeavesRoomForTheNext(t *testing.T) {
	b := New(10 << 20)
	fill := func(class Class, size int64) {
		for b.Begin(class).Grow(size) == nil {
		}
	}
	noRoomFor := func(size int64) {
		var noRoom *NoRoomError
		err := b.Begin(Bulk).Grow(size)
		assert.Assert(t, errors.As(err, &noRoom), "%d bytes: %v", size, err)
	}
	fill(Bulk, 1<<20)
	noRoomFor(1 << 20)
	assert.NilError(t, b.Begin(Bulk).Grow(SmallBytes))
	fill(Small, 1<<10)
	noRoomFor(SmallBytes)
	assert.NilError(t, b.Begin(Bulk).Grow(TinyBytes))
	fill(Tiny, 1<<10)
	noRoomFor(TinyBytes)
	assert.NilError(t, b.Begin(Completion).Grow(1<<18))
	fill(Completion, 1<<10)
	assert.NilError(t, b.Begin(State).Grow(1<<18))
}

// TestReadAllReservesBeforeItReads: content without room is not read, and what was reserved is returned.
func TestReadAllReservesBeforeItReads(t *testing.T) {
	text := strings.Repeat("x", 300<<10)
	for _, length := range []int64{-1, int64(len(text))} {
		b := New(10 << 20)
		r := b.Begin(Bulk)
		content, err := ReadAll(r, iotest.OneByteReader(strings.NewReader(text)), length)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(content, []byte(text)) && r.Bytes() == int64(cap(content)))
		r.Release()
		r.Release()
		assert.Assert(t, b.Usage().Used == 0 && b.Usage().Peak < 3*int64(len(text)))

		small := New(256 << 10).Begin(Bulk)
		source := strings.NewReader(text)
		_, err = ReadAll(small, source, length)
		var noRoom *NoRoomError
		assert.Assert(t, errors.As(err, &noRoom))
		assert.Assert(t, source.Len() >= len(text)-128<<10)
	}
	bounded := New(4 << 20).Begin(Bulk)
	content, err := ReadUpTo(bounded, strings.NewReader(text), 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(content, []byte(text)) && bounded.Bytes() == int64(cap(content)))
	source := strings.NewReader(text)
	_, err = ReadUpTo(New(1<<20).Begin(Bulk), source, 1<<20)
	var noRoom *NoRoomError
	assert.Assert(t, errors.As(err, &noRoom) && source.Len() == len(text)-SmallBytes, "content is read without room for its end")
	_, err = ReadAll(New(1<<20).Begin(Bulk), strings.NewReader("abc"), 4)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	_, err = ReadAll(nil, iotest.ErrReader(io.ErrClosedPipe), -1)
	assert.Equal(t, err, io.ErrClosedPipe)
}
