package faults

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"acaciawinch/standin/answer"
	"acaciawinch/standin/caller"
)

// trafficWidth is how many requests are in flight at each entry.
const trafficWidth = 2

// betweenRequests keeps the traffic from loading the machine.
const betweenRequests = 20 * time.Millisecond

// traffic sends requests through all entries, one after another in a few lanes
// each, until it is ended.
type traffic struct {
	site  *Site
	stop  context.CancelFunc
	lanes sync.WaitGroup

	mu sync.Mutex
	// sent are the exchanges by entry, in the order in which they ended.
	sent map[int][]Exchange
}

// startTraffic starts traffic whose answers may follow any configuration.
func (s *Site) startTraffic(ctx context.Context) *traffic {
	running, stop := context.WithCancel(ctx)
	t := &traffic{site: s, stop: stop, sent: map[int][]Exchange{}}
	for entry := range s.Fleet.Entries {
		for range trafficWidth {
			t.lanes.Go(func() { t.lane(ctx, running, entry) })
		}
	}
	return t
}

// lane sends one request after another. A request that was begun is finished.
func (t *traffic) lane(ctx, running context.Context, entry int) {
	for running.Err() == nil {
		e := t.site.exchange(ctx, entry)
		t.mu.Lock()
		t.sent[entry] = append(t.sent[entry], e)
		t.mu.Unlock()
		if e.Result.Verdict == caller.Whole {
			pause(running, betweenRequests)
		} else {
			pause(running, shortestWait)
		}
	}
}

// end stops the traffic, waits for its last requests and records all.
func (t *traffic) end() {
	t.stop()
	t.lanes.Wait()
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

// answers returns the whole answers of an entry so far.
func (t *traffic) answers(entry int) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var whole []Exchange
	for _, e := range t.sent[entry] {
		if e.Result.Verdict == caller.Whole {
			whole = append(whole, e)
		}
	}
	return whole
}

// exchange sends one new request and finds out which configuration its answer
// follows. It is excused if the entry was gone meanwhile.
func (s *Site) exchange(ctx context.Context, entry int) Exchange {
	r := s.newRequest()
	before := s.absenceOf(entry)
	p := s.send(ctx, entry, r, configFirst)
	<-p.done
	e := Exchange{Request: r, Result: p.result}
	s.attribute(&e)
	if after := s.absenceOf(entry); after != before || after.reason != "" {
		e.Excused = fmt.Sprint(before.reason, after.reason, " the entry was gone")
	}
	return e
}

// attribute finds the configuration that an answer follows.
func (s *Site) attribute(e *Exchange) {
	if e.Result.Verdict != caller.Mismatch {
		return
	}
	got := answer.Join(e.Result.Chunks)
	for i, c := range s.catalogs {
		steps, ok := caller.New(c).Expected(e.Request)
		if ok && bytes.Equal(got, answer.Join(steps[len(steps)-1].Chunks)) {
			e.Revision = i
			e.Result.Verdict = caller.Whole
			return
		}
	}
}

// absence tells how often an entry was gone, and why if it is now.
type absence struct {
	count  int
	reason string
}

// absenceOf returns the absences of an entry.
func (s *Site) absenceOf(entry int) absence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return absence{count: s.absence[entry], reason: s.gone[entry]}
}

// leaveEntry notes that the trial takes an entry, returnEntry that it is back.
func (s *Site) leaveEntry(entry int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[entry] = reason
	s.absence[entry]++
}

// returnEntry notes that an entry is back.
func (s *Site) returnEntry(entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.gone, entry)
}
