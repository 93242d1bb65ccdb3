package faults

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
)

// deadline is the deadline of every request of the matrix. A final response must arrive
// within grace after it.
const (
	deadline = 3 * time.Second
	grace    = time.Second
)

// Exchange is one request with its result.
type Exchange struct {
	Request caller.Request
	Result  caller.Result
	// Excused is why a missing response is not a loss, or "": the test killed or froze
	// the entry.
	Excused string
	// Revision is the index of the configuration that the response must follow.
	Revision int
}

// pending is a request in flight.
type pending struct {
	done   chan struct{}
	result caller.Result
	// chunks receives the number of chunks received so far.
	chunks chan int
}

// manyChunks exceeds the number of chunks of any stream in the matrix.
const manyChunks = 256

// send sends a request to an entry in the background.
func (s *Site) send(ctx context.Context, entry int, r caller.Request, revision int) *pending {
	p := &pending{done: make(chan struct{}), chunks: make(chan int, manyChunks)}
	client := caller.New(s.catalogs[revision])
	count := 0
	r.OnChunk = func([]byte) {
		count++
		p.chunks <- count
	}
	url := s.Fleet.Entries[entry].URL
	go func() {
		defer close(p.done)
		defer client.Close()
		p.result = client.Send(ctx, url, r)
	}()
	return p
}

// record records an exchange for the verdict.
func (s *Site) record(e Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, e)
}

// request sends a request, waits for its result and records it.
func (s *Site) request(ctx context.Context, entry int, r caller.Request, revision int) caller.Result {
	p := s.send(ctx, entry, r, revision)
	<-p.done
	s.record(Exchange{Request: r, Result: p.result, Revision: revision})
	return p.result
}

// Bounds of retries after a refusal.
const (
	maxTries     = 12
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 700 * time.Millisecond
)

// requestUntilSettled sends a request with the same key until the response is complete or
// its outcome unknown, honoring Retry-After within the bounds. It returns the last
// result.
func (s *Site) requestUntilSettled(ctx context.Context, entry int, r caller.Request, revision int) caller.Result {
	r.BeforeBody = nil
	var result caller.Result
	for range s.tries {
		result = s.request(ctx, entry, r, revision)
		if result.Verdict != caller.Problem || result.Outcome == core.OutcomeUnknown {
			return result
		}
		sleep(ctx, min(max(result.RetryAfter, minRetryWait), maxRetryWait))
	}
	return result
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
