package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The load of the case: a pool of one stage worker does about 18 pieces a second in full calls. The burst is
// within the site file's longest one of setback-check (x 2.4, 6.9 s).
const (
	baseRate   = 16.0
	burstTimes = 2.4
	// stopAfter is how many seconds after the beginning of the burst the gateway is stopped.
	stopAfter = 4.5
	burstFrom = 10 * time.Second
	burstFor  = 6800 * time.Millisecond
	loadFor   = 26 * time.Second
)

// Bounds of the rule LOST.
const (
	graceTime      = 8 * time.Second
	lossSlack      = 200 * time.Millisecond
	excusedSending = 3 * time.Second
)

func init() { cases["drain-queue"] = drainQueue }

// drainQueue stops one of two gateways as planned near the end of a burst, while requests wait for a stage.
func drainQueue(s *setup) error {
	work := &workTimes{last: map[string]time.Time{}}
	stage, model, err := s.startSmall(spread, 1)
	if err != nil {
		return err
	}
	stage[0].onRun, model.onRun = work.note, work.note

	started := time.Now()
	termAt := started.Add(burstFrom + time.Duration(envFloat("STOP", stopAfter)*float64(time.Second)))
	var out atomic.Bool // the first gateway is out of rotation
	go s.probe(&out)
	stop := time.AfterFunc(time.Until(termAt), func() {
		if !s.trouble {
			return
		}
		s.record.line("DISRUPTION, SIGTERM to %s", s.gateways[0].name)
		_ = s.gateways[0].command.Process.Signal(syscall.SIGTERM)
	})
	defer stop.Stop()

	counts := &tally{counts: map[string]int{}}
	var wait sync.WaitGroup
	for i, offset := range arrivals(envFloat("BASE", baseRate), envFloat("BURST", burstTimes)) {
		at := started.Add(offset)
		wait.Go(func() {
			time.Sleep(time.Until(at))
			number := i % 2
			if out.Load() {
				number = 1
			}
			sent := time.Now()
			got := s.ask(fmt.Sprintf("q%d", i), number)
			counts.add(got)
			if number == 0 && s.trouble && got.err != nil {
				s.judgeLost(got, sent, termAt, work)
			}
		})
	}
	wait.Wait()
	s.record.line("answers: %v, longest success %v", counts.counts, counts.longest.Round(time.Millisecond))
	fmt.Println(counts.counts, counts.longest.Round(time.Millisecond))
	return nil
}

// judgeLost applies the rule LOST to a request whose channel ended without a complete answer.
func (s *setup) judgeLost(got answer, sent, termAt time.Time, work *workTimes) {
	ended := sent.Add(got.took)
	worked := work.lastOf(got.id)
	switch {
	case got.took < lossSlack, got.took > s.figures.timeout, ended.Before(termAt), ended.After(termAt.Add(graceTime + time.Second)):
		s.record.line("%s: not counted, ended %v after the SIGTERM", got.id, ended.Sub(termAt).Round(time.Millisecond))
	case worked.After(termAt.Add(graceTime*5/6)) && sent.Before(termAt.Add(excusedSending)):
		s.record.line("%s: not counted, a worker was at work in the last sixth of the grace time", got.id)
	default:
		at := "never"
		if !worked.IsZero() {
			at = fmt.Sprintf("%v after the SIGTERM", worked.Sub(termAt).Round(time.Millisecond))
		}
		s.record.broken("LOST: %s was sent %v after the SIGTERM, its channel ended without an answer %v after it; a worker was last at work on it: %s",
			got.id, sent.Sub(termAt).Round(time.Millisecond), ended.Sub(termAt).Round(time.Millisecond), at)
	}
}

// probe asks the first gateway once a second whether it is ready, and takes it out of rotation after two misses.
func (s *setup) probe(out *atomic.Bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses := 0; misses < 2; time.Sleep(time.Second) {
		response, err := client.Get("http://" + s.gateways[0].readiness + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			continue
		}
		misses++
	}
	s.record.line("%s is out of rotation", s.gateways[0].name)
	out.Store(true)
}

// arrivals returns when requests are sent: base a second, and burst times that for burstFor.
func arrivals(base, burst float64) []time.Duration {
	var list []time.Duration
	for at := time.Duration(0); at < loadFor; {
		list = append(list, at)
		rate := base
		if at >= burstFrom && at < burstFrom+burstFor {
			rate *= burst
		}
		at += time.Duration(float64(time.Second) / rate)
	}
	return list
}

// workTimes holds when a worker was last at work on each request.
type workTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// note records that a worker is at work on a request.
func (w *workTimes) note(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[request] = time.Now()
}

// lastOf returns when a worker was last at work on a request, zero if none was.
func (w *workTimes) lastOf(request string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[request]
}

// tally counts answers.
type tally struct {
	mu      sync.Mutex
	counts  map[string]int
	longest time.Duration
}

// add counts one answer.
func (t *tally) add(got answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := fmt.Sprint(got.status)
	if got.err != nil {
		key = "no answer"
	} else if got.status == http.StatusOK {
		t.longest = max(t.longest, got.took)
	}
	t.counts[key]++
}

// envFloat returns a figure from the environment.
func envFloat(name string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return otherwise
}
