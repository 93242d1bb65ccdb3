package flow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	"acaciawinch/core/silence"
	"acaciawinch/gateway/events"
	"acaciawinch/gateway/httpconn"
)

// silenceState is what a request knows of the silence of its upstreams.
type silenceState struct {
	// watch watches the present send; nil if it is never given up.
	watch *sendWatch
	// eventAt is when the last event for the client was read, givenUp the number of sends that were
	// given up.
	eventAt time.Time
	givenUp int
}

// sendWatch gives up one send if its upstream stays silent for too long and another one can serve the
// request. Its timer reads the state of the request only while the request waits for its upstream. All
// methods do nothing on a nil sendWatch.
type sendWatch struct {
	rq       *request
	upstream routes.Upstream
	// needs are those of the request when it was sent: to determine them anew may take time.
	needs requirements
	key   silence.Key
	// ctx ends with the send, also if cancel is called.
	ctx    context.Context
	cancel context.CancelFunc

	// silent is the present silence, nil while the request does not wait for its upstream. The decisions on
	// other sends read it.
	silent atomic.Pointer[silentSpan]

	mu    sync.Mutex
	timer *time.Timer
	// due is the time for which the timer is set.
	due time.Time
	// sentAt is when the connection was open, since when the present silence began.
	sentAt, since time.Time
	// waiting is set while the request waits for its upstream, answered once the head of the response has
	// come, and ignored if the response says nothing about the usual times.
	waiting, answered, ignored bool
	// events is the number of events that came, longest the longest silence before one of them but the
	// first.
	events  int
	longest time.Duration
	// lateSince is the beginning of the last silence that reached its limit.
	lateSince time.Time
	// gaveUp is set once the send is given up. Nothing that comes afterwards is used.
	gaveUp bool
}

// watchSend returns the watch of a send with a context that cancel ends, nil if the request can't be sent again. The outcome
// of a trial would not be known if it were given up.
func (rq *request) watchSend(ctx context.Context, cancel context.CancelFunc, upstream routes.Upstream, needs requirements) *sendWatch {
	rq.silence.watch = nil
	if !rq.RepeatSilent || rq.route.RetryPolicy == routes.AtMostOnce || rq.route.MaxAttempts < 2 || rq.crashPass.IsTrial() {
		return nil
	}
	rq.noteKept()
	rq.silence.watch = &sendWatch{rq: rq, upstream: upstream, needs: needs, key: silence.Key{Service: rq.service, Route: rq.route.Name}, ctx: ctx, cancel: cancel}
	return rq.silence.watch
}

// begin starts the watch when the request is about to be written.
func (w *sendWatch) begin() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentAt = time.Now()
	w.since = w.sentAt
	w.wait()
	w.rq.silences.add(w)
	w.due = w.sentAt.Add(silenceCheck)
	w.timer = time.AfterFunc(silenceCheck, w.check)
}

// errGivenUp is the error of a send that was given up.
func (w *sendWatch) errGivenUp() error {
	return fault.New(fault.Ambiguous, "upstream.silent", w.upstream.ID, "silent for %v", time.Since(w.since).Round(time.Millisecond))
}

// head is called with the result of sending the request, and returns its error. A response that came after the
// send was given up is dropped.
func (w *sendWatch) head(response *httpconn.Response, err error) error {
	if w == nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
	switch {
	case w.gaveUp && err == nil:
		response.Close()
		return w.errGivenUp()
	case w.gaveUp:
		return w.errGivenUp()
	case err != nil:
		return err
	}
	w.answered = true
	w.ignored = response.Status/100 != 2
	if !w.ignored && !w.rq.route.Stream {
		w.observe(time.Since(w.sentAt), false)
	}
	return nil
}

// next reads the next event of a stream. An event that came after the send was given up is dropped.
func (w *sendWatch) next(reader *events.Reader) (events.Event, error) {
	if w == nil {
		return reader.Next()
	}
	w.await()
	next, err := reader.Next()
	if !w.heard(err) {
		return events.Event{}, w.errGivenUp()
	}
	return next, err
}

// await begins the wait for the next event. The time until the first event counts from the send.
func (w *sendWatch) await() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.events > 0 {
		w.since = time.Now()
	}
	w.wait()
}

// wait begins a wait for the upstream. w.mu must be held.
func (w *sendWatch) wait() {
	w.waiting = true
	w.silent.Store(&silentSpan{since: w.since, isFirst: w.events == 0})
}

// endWait ends the wait for the upstream. w.mu must be held.
func (w *sendWatch) endWait() {
	w.waiting = false
	w.silent.Store(nil)
}

// heard ends the wait for an event. It returns false if the send was given up meanwhile.
func (w *sendWatch) heard(err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
	if w.gaveUp || err != nil {
		return !w.gaveUp
	}
	now := time.Now()
	if w.events == 0 {
		w.observe(now.Sub(w.sentAt), false)
	} else {
		w.longest = max(w.longest, now.Sub(w.since))
	}
	w.events++
	w.rq.silence.eventAt = now
	return true
}

// ended ends the watch with the error of the send, which it returns. For a send that was given up, the retry has
// already been withdrawn from the budget.
func (w *sendWatch) ended(err error) error {
	if w == nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
	var failure *sendFailure
	if !errors.As(err, &failure) || !failure.unsent {
		w.observeEnd(err != nil)
	}
	if w.gaveUp && failure != nil {
		failure.withdrawn = true
		w.rq.dropExpired()
	}
	if err == nil && w.rq.silence.givenUp > 0 {
		w.rq.Metrics.silentServed(w.rq.service)
	}
	return err
}

// close releases what the watch holds.
func (w *sendWatch) close() {
	if w == nil {
		return
	}
	w.rq.silences.remove(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// observe records a time until the first byte or event or, after it, the longest pause. Cut is set if it has not
// ended with one. w.mu must be held.
func (w *sendWatch) observe(took time.Duration, cut bool) {
	o, now := silence.Observation{Upstream: w.upstream.ID, Took: took, Cut: cut}, time.Now()
	w.rq.silences.with(func(table *silence.Table) {
		if w.events == 0 {
			table.ObserveFirst(w.key, o, now)
			return
		}
		table.ObservePause(w.key, o, now)
	})
}

// observeEnd records what the end of the send says about the usual times; cut is set if the response did not come to
// its end. Responses other than 2xx come sooner than those for which the upstream worked. w.mu must be held.
func (w *sendWatch) observeEnd(cut bool) {
	if w.sentAt.IsZero() || w.ignored || w.answered && !w.rq.route.Stream {
		return
	}
	silent := time.Since(w.since)
	switch {
	case w.events == 0:
		w.observe(silent, cut)
	case cut:
		w.observe(max(w.longest, silent), true)
	case w.longest > 0:
		w.observe(w.longest, false)
	}
}
