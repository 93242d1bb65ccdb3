package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of the case stage-extra.
const (
	// requestsBefore are sent one after the other before the pause: so many that the extra response is one of
	// over 34 of its worker, as the site file's x = 0.03 allows.
	requestsBefore = 22
	// requestGap is the time between the requests after the pause.
	requestGap = 30 * time.Millisecond
	// extraDelay is how long after the next call on its channel the extra response comes: while that call runs.
	extraDelay = 100 * time.Millisecond
)

func init() { cases["stage-extra"] = stageExtra }

// stageExtra plays one extra response of a stage worker, sent late: at the point where the response to the
// next call on the channel is expected. The requests come after a pause in which the channel was idle.
func stageExtra(s *setup) error {
	stage, _, err := s.startSmall(blendops, 2)
	if err != nil {
		return err
	}
	faulty := stage[0]
	var extras atomic.Int64
	faulty.beforeRun = func(c *channel) []byte {
		if !s.trouble || c.lastRun == nil || time.Since(c.lastAt) < s.figures.keep || !extras.CompareAndSwap(0, 1) {
			return nil
		}
		time.Sleep(extraDelay)
		s.record.line("%s channel %d: DISRUPTION, sends the response to its last call once more; it has sent %d responses so far", faulty.id, c.number, faulty.answers.Load())
		return c.lastRun
	}
	for i := range requestsBefore {
		if got := s.ask(fmt.Sprintf("a%d", i), 0); got.status != 200 {
			return fmt.Errorf("request a%d got %d, %v", i, got.status, got.err)
		}
	}
	time.Sleep(s.figures.keep + time.Second)
	var wait sync.WaitGroup
	for i, id := range []string{"b2", "c3", "d4"} {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * requestGap)
			got := s.ask(id, i%len(s.gateways))
			if text := linesOf(got.body); got.status == 200 && strings.Contains(text, "inputs of") && text != id+" inputs of "+id {
				s.record.broken("MIXED: the requester of %s got an answer made from other inputs: %s", id, text)
			}
		})
	}
	wait.Wait()
	if s.trouble && extras.Load() == 0 {
		return fmt.Errorf("no channel of %s was used again after the pause", faulty.id)
	}
	return nil
}
