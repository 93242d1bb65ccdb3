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
	"acaciawinch/core/stages"
	"acaciawinch/gateway/events"
	"acaciawinch/gateway/httpconn"
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

// silences are the times that upstreams of this process's requests took, and the sends that are watched now. They are
// safe for concurrent use.
type silences struct {
	mu    sync.Mutex
	table *silence.Table
	// watched holds the sends that have not ended.
	watched map[silence.Key]map[*sendWatch]struct{}
}

// newSilences returns silences without observations.
func newSilences() *silences {
	return &silences{table: silence.NewTable(), watched: make(map[silence.Key]map[*sendWatch]struct{})}
}

// add records a send that begins.
func (s *silences) add(w *sendWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched[w.key] == nil {
		s.watched[w.key] = make(map[*sendWatch]struct{})
	}
	s.watched[w.key][w] = struct{}{}
}

// remove forgets a send that has ended.
func (s *silences) remove(w *sendWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched[w.key], w)
	if len(s.watched[w.key]) == 0 {
		delete(s.watched, w.key)
	}
}

// waiting returns the sends that wait for a first byte, or for a further event, with the times that they have waited.
// s.mu must be held.
func (s *silences) waiting(key silence.Key, isFirst bool, now time.Time) []silence.Observation {
	var list []silence.Observation
	for w := range s.watched[key] {
		if silent := w.silent.Load(); silent != nil && silent.isFirst == isFirst {
			list = append(list, silence.Observation{Upstream: w.upstream.ID, Took: now.Sub(silent.since), Cut: true})
		}
	}
	return list
}

// silentSpan is a silence that goes on: its beginning, and whether it is that before the first byte or event.
type silentSpan struct {
	since   time.Time
	isFirst bool
}

// with calls a function that reads or changes the table.
func (s *silences) with(use func(table *silence.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.table)
}

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
	key      silence.Key
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
func (rq *request) watchSend(ctx context.Context, cancel context.CancelFunc, upstream routes.Upstream) *sendWatch {
	rq.silence.watch = nil
	if !rq.RepeatSilent || rq.route.RetryPolicy == routes.AtMostOnce || rq.route.MaxAttempts < 2 || rq.crashPass.IsTrial() {
		return nil
	}
	rq.noteKept()
	rq.silence.watch = &sendWatch{rq: rq, upstream: upstream, key: silence.Key{Service: rq.service, Route: rq.route.Name}, ctx: ctx, cancel: cancel}
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
	needs := rq.requirements()
	needs.unlimited = true // a permit may take long
	if _, found := rq.preview(needs); !found {
		return false
	}
	return rq.withdraw()
}

// noteKept notes until when the results of the request's stages are kept at least, at its first send.
func (rq *request) noteKept() {
	if rq.results == nil || !rq.results.keptUntil.IsZero() {
		return
	}
	kept := rq.deadline
	for stage, spec := range rq.route.Stages {
		service := rq.table.Service(spec.Service)
		if service == nil || service.Pool == nil || rq.hdr.Items[stage] == 0 || !rq.results.progress.IsLast(stage) {
			continue
		}
		if until := time.Now().Add(service.Pool.KeepTime - expiryMargin); until.Before(kept) {
			kept = until
		}
	}
	rq.results.keptUntil = kept
}

// stagesAgain returns how long the stages of the request take if it is sent again, 0 if it has no stages or their
// results are still kept. Results that expire before another upstream has read them count as lost.
func (rq *request) stagesAgain(now time.Time) time.Duration {
	if rq.results == nil || !rq.results.isFreed() && now.Add(readAllowance).Before(rq.results.keptUntil) {
		return 0
	}
	run := &stageRun{request: rq, progress: stages.New(rq.route.Stages, rq.hdr.Items)}
	return run.progress.Remaining(run.remaining)
}

// dropExpired frees the results of the stages if they expire before another upstream has read them, so that the
// stages run again at once and not after the next upstream has missed an input.
func (rq *request) dropExpired() {
	if rq.results != nil && rq.stagesAgain(time.Now()) > 0 {
		rq.results.free()
	}
}

// keepsResults reports whether the results that the engine reads are kept until its first event, since the request
// may be sent again.
func (rq *request) keepsResults() bool {
	if !rq.RepeatSilent || rq.route.RetryPolicy == routes.AtMostOnce || rq.sends+1 >= rq.route.MaxAttempts {
		return false
	}
	for stage, spec := range rq.route.Stages {
		if rq.hdr.Items[stage] == 0 || !rq.results.progress.IsLast(stage) {
			continue
		}
		service := rq.table.Service(spec.Service)
		if service == nil || service.Pool == nil || !hasRoomToKeep(*service.Pool, spec.ResultBytes) {
			return false
		}
	}
	return true
}

// hasRoomToKeep reports whether the upstreams of a pool have room for results that are kept until an engine's first
// event. An upstream that works at its full rate has reserved the room of its running calls, and keeps what it made in
// the time until they are read and the first event comes. If both fit, kept results never delay a call, whatever the
// load.
func hasRoomToKeep(pool routes.Pool, resultBytes int64) bool {
	calls := max(1, pool.Slots)
	running := float64(int64(calls*pool.Batch) * resultBytes)
	callTime := pool.CallTime + time.Duration(pool.Batch)*pool.ItemTime
	if callTime <= 0 {
		return false
	}
	kept := running * float64(readAllowance+firstEventAllowance) / float64(callTime)
	return running+kept <= float64(pool.RoomBytes)
}
