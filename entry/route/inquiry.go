package route

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/routing"
)

// After a first usable answer the others get as long as answers take at present,
// within these bounds: an upstream that is gone must not cost each decision a
// whole timeout, and on busy hosts the first to answer is not the best.
const (
	minLinger = 5 * time.Millisecond
	maxLinger = 25 * time.Millisecond
)

// maxAsked bounds the open probes of one decision; no policy comes near it.
const maxAsked = 64

// indexed is an answer and its place in the inquiry.
type indexed struct {
	place  int
	answer routing.Answer
}

// inquiry is what one decision asks of the upstreams, over all its steps.
type inquiry struct {
	router *Router
	need   Need
	// answers are in the order of the questions; who has not answered yet counts
	// as unanswered.
	answers []routing.Answer
	// replies has room for all open probes, so that none waits for a reader.
	replies chan indexed
	// open counts the probes that may still be answered.
	open int
}

// newInquiry returns an inquiry that has asked nobody yet.
func newInquiry(router *Router, need Need) *inquiry {
	return &inquiry{router: router, need: need, replies: make(chan indexed, maxAsked)}
}

// ask starts what a policy asks for, and waits as long as one step may take.
// Answers that come later are taken in the next step.
func (q *inquiry) ask(ctx context.Context, ask routing.Ask) {
	for _, upstream := range ask.Background {
		q.router.start(ctx, q.need, upstream, func(routing.Answer) {})
	}
	known := false
	var started []*watch
	for _, answer := range q.router.remembered(ask) {
		known = known || answer.Answered
		if watch := q.add(ctx, answer); watch != nil {
			started = append(started, watch)
		}
	}
	if known {
		return
	}
	timer := time.NewTimer(q.router.longest(ask.Upstreams))
	defer timer.Stop()
	if q.await(ctx, timer.C) {
		// Left to the probes' own timers, on a busy host the next decision might ask them again
		// before these run.
		for _, watch := range started {
			watch.expire()
		}
	}
}

// add takes a remembered answer, or probes for one; it returns the watch over that probe, nil if
// there is none.
func (q *inquiry) add(ctx context.Context, answer routing.Answer) *watch {
	place := len(q.answers)
	q.answers = append(q.answers, answer)
	if answer.Answered || q.open == maxAsked {
		return nil
	}
	q.open++
	return q.router.start(ctx, q.need, answer.Upstream, func(a routing.Answer) {
		q.replies <- indexed{place: place, answer: a}
	})
}

// answered tells whether anybody has answered.
func (q *inquiry) answered() bool {
	return slices.ContainsFunc(q.answers, func(a routing.Answer) bool { return a.Answered })
}

// await takes answers until all have come, until a while after the first usable
// one, until timeout (never if nil), or until ctx ends. It tells whether it was the
// timeout.
func (q *inquiry) await(ctx context.Context, timeout <-chan time.Time) bool {
	query := queryOf(q.need, 0)
	var linger <-chan time.Time
	for q.open > 0 {
		select {
		case reply := <-q.replies:
			q.open--
			q.answers[reply.place] = reply.answer
			if linger == nil && query.Obstacle(reply.answer) == "" {
				timer := time.NewTimer(q.router.lingerFor(reply.answer.Upstream))
				defer timer.Stop()
				linger = timer.C
			}
		case <-linger:
			return false
		case <-timeout:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// lingerFor returns how long to wait on after an answer of upstream.
func (r *Router) lingerFor(upstream routing.Upstream) time.Duration {
	return min(maxLinger, max(minLinger, r.patience(upstream)))
}
