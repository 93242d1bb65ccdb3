package faults

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/output"
)

// requestsPerEntry is the number of requests in flight at each entry.
const requestsPerEntry = 2

// requestInterval keeps the traffic from overloading the machine.
const requestInterval = 20 * time.Millisecond

// traffic sends requests through all entries, from a few senders for each entry, until
// end is called.
type traffic struct {
	site    *Site
	stop    context.CancelFunc
	senders sync.WaitGroup

	mu sync.Mutex
	// sent holds the exchanges by entry, in the order in which they ended.
	sent map[int][]Exchange
}

// startTraffic starts traffic whose responses may follow any configuration.
func (s *Site) startTraffic(ctx context.Context) *traffic {
	running, stop := context.WithCancel(ctx)
	t := &traffic{site: s, stop: stop, sent: map[int][]Exchange{}}
	for entry := range s.Fleet.Entries {
		for range requestsPerEntry {
			t.senders.Go(func() { t.sendLoop(ctx, running, entry) })
		}
	}
	return t
}

// sendLoop sends one request after another. It completes a request that has begun.
func (t *traffic) sendLoop(ctx, running context.Context, entry int) {
	for running.Err() == nil {
		e := t.site.exchange(ctx, entry)
		t.mu.Lock()
		t.sent[entry] = append(t.sent[entry], e)
		t.mu.Unlock()
		if e.Result.Verdict == caller.Complete {
			sleep(running, requestInterval)
		} else {
			sleep(running, minRetryWait)
		}
	}
}

// end stops the traffic, waits for its last requests and records all exchanges.
func (t *traffic) end() {
	t.stop()
	t.senders.Wait()
	for _, sent := range t.sent {
		for _, e := range sent {
			t.site.record(e)
		}
	}
}

// results returns all exchanges of an entry so far.
func (t *traffic) results(entry int) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Exchange(nil), t.sent[entry]...)
}

// answered returns the exchanges of an entry with a complete response so far.
func (t *traffic) answered(entry int) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var complete []Exchange
	for _, e := range t.sent[entry] {
		if e.Result.Verdict == caller.Complete {
			complete = append(complete, e)
		}
	}
	return complete
}

// exchange sends one new request and determines which configuration its response
// follows. The exchange is excused if the entry was down meanwhile.
func (s *Site) exchange(ctx context.Context, entry int) Exchange {
	r := s.newRequest()
	before := s.outagesOf(entry)
	p := s.send(ctx, entry, r, configFirst)
	<-p.done
	e := Exchange{Request: r, Result: p.result}
	s.attributeRevision(&e)
	if after := s.outagesOf(entry); after != before || after.reason != "" {
		e.Excused = fmt.Sprint(before.reason, after.reason, " the entry was gone")
	}
	return e
}

// attributeRevision finds the configuration that a response follows. It sets the revision of the
// exchange to it, and its verdict to Complete.
func (s *Site) attributeRevision(e *Exchange) {
	if e.Result.Verdict != caller.Mismatch {
		return
	}
	got := output.Join(e.Result.Chunks)
	for i, c := range s.catalogs {
		steps, ok := caller.New(c).Expected(e.Request)
		if ok && bytes.Equal(got, output.Join(steps[len(steps)-1].Chunks)) {
			e.Revision = i
			e.Result.Verdict = caller.Complete
			return
		}
	}
}

// entryOutages is how often the test has taken down an entry, and why the entry is down
// now, or "".
type entryOutages struct {
	count  int
	reason string
}

// outagesOf returns the outages of an entry.
func (s *Site) outagesOf(entry int) entryOutages {
	s.mu.Lock()
	defer s.mu.Unlock()
	return entryOutages{count: s.outageCount[entry], reason: s.outageReason[entry]}
}

// markEntryDown records that the test takes down an entry.
func (s *Site) markEntryDown(entry int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageReason[entry] = reason
	s.outageCount[entry]++
}

// markEntryUp records that an entry is running again.
func (s *Site) markEntryUp(entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.outageReason, entry)
}
