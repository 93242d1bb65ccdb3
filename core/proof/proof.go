// Package proof passes the time of a proof from one process to another. A proof is the time up to
// which a process knows of every revoked API key. The clocks of the two processes have nothing in
// common but that each counts every second, also while its machine is suspended; the time of day
// plays no part.
//
// A follower numbers its requests and records, by its own clock, when it sends each. The source
// records, by its clock, when it receives one, and reports how long after that moment a proof was
// made (below 0 if before it). The follower takes the proof to have been made that long after it
// sent the request.
//
// Why the age of a proof is never underestimated: a request is received after it was sent, and the
// duration between two moments is the same by both clocks. So the follower's result is earlier than
// the proof by the time that the request took, and never later. It does not depend on when the
// report is written, sent, delayed or read, so neither a frozen or slow source nor a slow network
// makes it later. Each further process that passes the proof on makes the time earlier once more. A
// clock that runs faster than another one would add its error over the duration between the two
// moments, which is a few seconds, at 100 µs/s; the margin of the time for which keys are trusted
// (0.5 s) covers it.
package proof

import "time"

// Report is a source's report of a proof: when it was made, relative to the arrival of a request.
type Report struct {
	// Number is the number of the request.
	Number uint64
	// After is the time from the arrival of the request to the proof, below 0 if the proof was made
	// before.
	After time.Duration
}

// Source is the side that passes proofs on to one follower. It is not safe for concurrent use.
type Source struct {
	number     uint64
	receivedAt time.Duration
}

// Received records when a request arrived.
func (s *Source) Received(number uint64, at time.Duration) {
	s.number, s.receivedAt = number, at
}

// Report returns the report of a proof that was made at a time by this process's clock.
func (s *Source) Report(proved time.Duration) Report {
	return Report{Number: s.number, After: proved - s.receivedAt}
}

// maxRequests is the number of requests that a Follower remembers. A report relates to the latest
// request that the source has read, which may be several behind the latest one sent.
const maxRequests = 8

// Follower is the side that receives proofs. It is not safe for concurrent use.
type Follower struct {
	number uint64
	sent   [maxRequests]time.Duration
}

// NextRequest records that a request is sent at a time, and returns its number.
func (f *Follower) NextRequest(at time.Duration) uint64 {
	f.number++
	f.sent[f.number%maxRequests] = at
	return f.number
}

// Proved returns a lower bound, at most now, of the time of a proof by this process's clock. It
// returns false if the Follower does not remember the request that the report relates to.
func (f *Follower) Proved(r Report, now time.Duration) (time.Duration, bool) {
	if r.Number == 0 || r.Number > f.number || f.number-r.Number >= maxRequests {
		return 0, false
	}
	return min(f.sent[r.Number%maxRequests]+r.After, now), true
}
