// Package proof passes the time of a proof from one process to another. Their clocks have
// nothing in common but that each counts every second, also those in which its machine is
// suspended; the time of day plays no part.
//
// A follower numbers its requests and notes, by its own clock, when it sends each. The
// source notes, by its own, when it receives one, and says of a proof how long after that
// moment it was made (or before it, then below 0). The follower takes the proof for made
// that long after its sending.
//
// Why no proof is ever taken for younger than it is: a request is received after it was
// sent, and the length between two moments is the same by both clocks. So what the
// follower computes is earlier than the proof by the time that the request took, and
// never later. It does not depend on when the word is written, sent, delayed or read, so
// neither a frozen or slow source nor a slow network lengthens it. Passed on again, the
// time is earlier once more. A clock that runs faster than another one would add its error over
// the length between the two moments, some s at 100 µs/s; the margin of the time for which
// keys are trusted (0.5 s) covers it.
package proof

import "time"

// Word says when a proof was made, relative to the arrival of a request.
type Word struct {
	// Number is the request's.
	Number uint64
	// After is from its arrival until the proof.
	After time.Duration
}

// Source is the side that passes proofs on to one follower. It is not safe for concurrent
// use.
type Source struct {
	number   uint64
	received time.Duration
}

// Received notes a request and when it came.
func (s *Source) Received(number uint64, at time.Duration) {
	s.number, s.received = number, at
}

// Word returns the word on a proof that was made at a time by this process's clock.
func (s *Source) Word(proved time.Duration) Word {
	return Word{Number: s.number, After: proved - s.received}
}

// kept is how many requests a Follower remembers: a word relates to the latest that the
// source has read, which may be some behind the latest that was sent.
const kept = 8

// Follower is the side that takes proofs. It is not safe for concurrent use.
type Follower struct {
	number uint64
	sent   [kept]time.Duration
}

// Ask returns the number of a request that is sent at a time.
func (f *Follower) Ask(at time.Duration) uint64 {
	f.number++
	f.sent[f.number%kept] = at
	return f.number
}

// Proved returns when a proof was made at the latest by this process's clock, given the
// time now, and false if the word can't be placed.
func (f *Follower) Proved(w Word, now time.Duration) (time.Duration, bool) {
	if w.Number == 0 || w.Number > f.number || f.number-w.Number >= kept {
		return 0, false
	}
	return min(f.sent[w.Number%kept]+w.After, now), true
}
