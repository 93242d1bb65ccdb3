package flow

import (
	"time"

	"acaciawinch/core/silence"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

const (
	// silenceCheck is the time between two checks of a silent upstream that can't be given up now: the
	// retry budget gains tokens, and other upstreams begin to take work.
	silenceCheck = 200 * time.Millisecond
	// timerSlack is how late a check may run. If it is later, this process had no processor time, and
	// the response may wait in the connection's buffer: the reader gets the same time again.
	timerSlack = 20 * time.Millisecond
	// confirmDelay is the time between the end of a limit and the decision. If a whole service falls silent,
	// the sends to its other upstreams reach their limits meanwhile.
	confirmDelay = 50 * time.Millisecond
	// decisionTime is the time from the end of a limit to the second send, with two late timers.
	decisionTime = confirmDelay + 2*timerSlack
)

// check runs when the timer ends. It gives the send up if its upstream has been silent for too long, or sets the
// timer again.
func (w *sendWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return // the send has ended
	}
	now := time.Now()
	if now.Sub(w.due) > timerSlack {
		w.setTimer(now, timerSlack)
		return
	}
	if !w.waiting {
		w.setTimer(now, silenceCheck)
		return
	}
	limit, known := w.limit(now)
	silent := now.Sub(w.since)
	switch {
	case !known:
		w.setTimer(now, silenceCheck)
	case silent < limit.After:
		w.setTimer(now, limit.After-silent)
	case !w.lateSince.Equal(w.since):
		w.lateSince = w.since
		w.setTimer(now, confirmDelay)
	case limit.ServiceSlow, !w.rq.mayRepeat(w, now):
		w.setTimer(now, silenceCheck)
	default:
		w.giveUp(limit, silent)
	}
}

// setTimer sets the timer. w.mu must be held.
func (w *sendWatch) setTimer(now time.Time, wait time.Duration) {
	w.due = now.Add(wait)
	w.timer.Reset(wait)
}

// limit returns after which silence the send is given up, or false if it never is. w.mu must be held.
func (w *sendWatch) limit(now time.Time) (limit silence.Limit, given bool) {
	left := w.rq.clientWaitsUntil().Sub(w.since) - w.rq.stagesAgain(now) - decisionTime
	w.rq.silences.with(func(table *silence.Table) {
		send := silence.Send{Upstream: w.upstream.ID, Left: left, Waiting: w.rq.silences.waiting(w.key, w.events == 0, now)}
		if w.events == 0 {
			limit, given = table.First(w.key, send, now)
			return
		}
		limit, given = table.Pause(w.key, send, w.rq.route.GapObjective, now)
	})
	return limit, given
}

// giveUp cancels the send, which closes its connection, so that the upstream stops its work. w.mu must be held.
func (w *sendWatch) giveUp(limit silence.Limit, silent time.Duration) {
	rq := w.rq
	w.gaveUp = true
	w.waiting = false // it counts as waiting until the reader has returned
	w.cancel()
	rq.silence.givenUp++
	rq.Metrics.silentGivenUp(rq.service)
	rq.Logger.Event(event.GatewaySilent, observe.Fields{"request": rq.hdr.ID, "route": rq.route.Name, "service": rq.service, "upstream": w.upstream.ID,
		"attempt": len(rq.tried), "events": w.events, "last": rq.lastEvent, "waited_ms": silent.Milliseconds(), "limit_ms": limit.After.Milliseconds(),
		"usual_ms": limit.Usual.Milliseconds(), "client_waits_ms": time.Until(rq.clientWaitsUntil()).Milliseconds()})
}

// clientWaitsUntil returns when the client gives up if it gets nothing more.
func (rq *request) clientWaitsUntil() time.Time {
	if rq.events > 0 && !rq.silence.eventAt.IsZero() {
		return rq.startLimit(rq.silence.eventAt)
	}
	return rq.startBy
}

// mayRepeat reports whether the request can be served by another upstream if its present send is given up now. If
// so, it withdraws the retry from the budget.
func (rq *request) mayRepeat(w *sendWatch, now time.Time) bool {
	sends := rq.sends
	if !w.answered {
		sends++ // the present send is counted when it ends
	}
	if sends >= rq.route.MaxAttempts || rq.headSent && !rq.canResume() {
		return false
	}
	var usual time.Duration
	rq.silences.with(func(table *silence.Table) { usual, _ = table.Usual(w.key, w.upstream.ID, now) })
	if rq.clientWaitsUntil().Sub(now) < usual+rq.stagesAgain(now) {
		return false
	}
	needs := w.needs
	needs.tried, needs.versions = rq.tried, rq.knownVersions(needs.versions)
	needs.unlimited = true // a permit may take long
	if _, found := rq.preview(needs); !found {
		return false
	}
	return rq.withdraw()
}
