package faults

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
)

// deadline is the deadline of every request of the matrix. A final answer must
// come within grace behind it.
const (
	deadline = 3 * time.Second
	grace    = time.Second
)

// Exchange is one request with what its caller got.
type Exchange struct {
	Request caller.Request
	Result  caller.Result
	// Excused tells why no answer is no loss: the trial killed or froze the entry.
	Excused string
	// Revision is the index of the configuration that the answer must follow.
	Revision int
}

// pending is a request under way.
type pending struct {
	done   chan struct{}
	result caller.Result
	// chunks receives the number of chunks received so far.
	chunks chan int
}

// manyChunks is more than any stream of the matrix has.
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

// record keeps an exchange for the verdict.
func (s *Site) record(e Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, e)
}

// ask sends a request, waits for its result and records it.
func (s *Site) ask(ctx context.Context, entry int, r caller.Request, revision int) caller.Result {
	p := s.send(ctx, entry, r, revision)
	<-p.done
	s.record(Exchange{Request: r, Result: p.result, Revision: revision})
	return p.result
}

// Bounds of asking again after a refusal.
const (
	maxAsks      = 12
	shortestWait = 100 * time.Millisecond
	longestWait  = 700 * time.Millisecond
)

// askUntilSettled asks with the same key until the answer is whole or unknown,
// heeding Retry-After up to a bound. It returns the last result.
func (s *Site) askUntilSettled(ctx context.Context, entry int, r caller.Request, revision int) caller.Result {
	r.BeforeBody = nil
	var result caller.Result
	for range s.asks {
		result = s.ask(ctx, entry, r, revision)
		if result.Verdict != caller.Problem || result.Outcome == core.OutcomeUnknown {
			return result
		}
		pause(ctx, min(max(result.RetryAfter, shortestWait), longestWait))
	}
	return result
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
