package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// sendFailure is the error of a send that yielded no response to pass on.
type sendFailure struct {
	// unsent is set if no byte of the request was sent, mayHaveRun if the request may have run, and
	// replaced if the upstream has ended and another one at its address rejected the request.
	unsent, mayHaveRun, replaced bool
	// closedByUpstream is set if the upstream closed the connection before its response was
	// complete.
	closedByUpstream bool
	// unproved is set if a stream was passed on up to an end that does not prove it to be complete.
	unproved bool
	// withdrawn is set if the retry after the failure was already withdrawn from the budget.
	withdrawn bool
	err       error
}

// closedByUpstream reports whether a send failed because the upstream closed the connection.
func closedByUpstream(err error) bool {
	f, ok := err.(*sendFailure)
	return ok && f.closedByUpstream
}

// Error implements error.
func (f *sendFailure) Error() string { return f.err.Error() }

// Unwrap returns the cause of the failure.
func (f *sendFailure) Unwrap() error { return f.err }

// send sends the request to one upstream and passes its response to the client. A nil error
// means that the client has the complete response.
func (rq *request) send() error {
	if rq.sends == 0 {
		rq.Guard.Settle(rq.ctx, rq.fingerprint)
	}
	if err := rq.checkQuarantine(); err != nil {
		return err // upstreams may have crashed while the stages ran
	}
	rq.awaitBackoff()
	choice, needs, permit, err := rq.chooseUpstream()
	if err != nil {
		return err
	}
	defer permit.Release()
	trial := rq.crashPass
	defer rq.Guard.Release(trial)
	defer rq.sendEnded(needs, choice.Upstream)
	rq.tried = append(rq.tried, choice.Upstream.ID)
	rq.recordSend(choice)
	ctx, cancel := context.WithCancel(rq.ctx)
	defer cancel()
	watch := rq.watchSend(ctx, cancel, choice.Upstream, needs)
	defer watch.close()
	cancelFree := rq.freeWhenRead(choice)
	defer cancelFree()
	sent := clock.Boot()
	message := rq.message(choice, needs.service != nil && needs.service.Engine != nil)
	var known core.Stamp
	withheld := false
	message.ShouldSend = func() bool {
		known = rq.Limits.Stamp(choice.Upstream)
		if !rq.maySend(choice.Upstream) {
			return false
		}
		withheld = !rq.Limits.MaySend(choice.Upstream, permit, rq.hdr.ID)
		watch.begin()
		return !withheld
	}
	response, err := rq.Client.Do(ctx, choice.Upstream.Address, message)
	err = watch.head(response, err)
	if err == nil {
		rq.countSend()
		defer response.Close()
		rq.recordLimit(choice.Upstream, response, known)
		err = rq.handleResponse(choice.Upstream, response, sent)
	} else {
		err = rq.classifySendError(err)
	}
	err = watch.ended(err)
	if err != nil {
		rq.recordSendFailure(choice.Upstream, err)
	}
	if withheld {
		rq.tried = rq.tried[:len(rq.tried)-1] // it may be sent there with a permit
	}
	if trial.IsTrial() {
		rq.trialEnded(choice.Upstream, trial, err)
	}
	return err
}

// chooseUpstream returns the upstream to send the request to, what the request needs of it, and the
// permit if a limit of the upstream is known. If the request is sent as a trial, the upstream is reserved.
func (rq *request) chooseUpstream() (selection.Choice, requirements, *ratelimit.Permit, error) {
	needs := rq.requirements()
	if rq.crashPass.IsTrial() {
		reserved, err := rq.reserveUpstream(needs)
		if err != nil {
			return selection.Choice{}, needs, nil, err
		}
		needs.only = reserved
	}
	choice, permit, err := rq.chooseWithinLimits(needs)
	if err != nil {
		rq.Guard.Release(rq.crashPass)
	}
	return choice, needs, permit, err
}

// maySend reports whether an upstream still takes work and the quarantine still allows the request.
func (rq *request) maySend(upstream routes.Upstream) bool {
	return rq.View.Upstreams().StillTakesWork(upstream, time.Now()) && rq.Guard.MaySend(rq.subject, rq.hdr.ID, rq.crashPass)
}

// awaitBackoff waits, if all upstreams of the service are backed off, until the first backoff ends.
// It waits only if results of stages would otherwise be lost and the request can still be served
// afterwards.
func (rq *request) awaitBackoff() {
	now := time.Now()
	availableAt := rq.availableAt(rq.service, now)
	if rq.results != nil && availableAt.After(now) && availableAt.Before(rq.startBy.Add(-firstEventAllowance)) {
		clock.Sleep(rq.ctx, availableAt.Sub(now))
	}
}

// readAllowance is the time after which an engine with a free slot has certainly read the inputs
// of a request that was sent to it. 4 MB take about 4 ms at 10,000 Mbit/s; the remainder covers
// network latency and busy links.
const readAllowance = 50 * time.Millisecond

// freeWhenRead frees the results of the stages as soon as the engine must have read them, if the
// engine is known to be idle and they need not be kept for another send. Otherwise they are kept until
// its first event. The returned function cancels the timer.
func (rq *request) freeWhenRead(choice selection.Choice) func() {
	if rq.results == nil || !choice.Idle || rq.keepsResults() {
		return func() {}
	}
	timer := time.AfterFunc(readAllowance, rq.results.free)
	return func() { timer.Stop() }
}

// message returns the request to send to the chosen upstream.
func (rq *request) message(choice selection.Choice, engine bool) httpconn.Request {
	workspace := ""
	if rq.workspace != nil {
		workspace = rq.workspace.Name
	}
	return httpconn.Request{
		Method: rq.r.Method,
		Target: rq.r.RequestURI,
		Host:   rq.r.Host,
		Body:   rq.body,
		ID:     rq.hdr.ID,
		Header: header.ForUpstream(rq.r.Header, header.Forward{
			Instance:  choice.Upstream.ID,
			Workspace: workspace,
			Remaining: time.Until(rq.deadline),
			Rank:      engineRank(rq.class),
			Engine:    engine,
			CopyFrom:  choice.CopyFrom,
			Inputs:    rq.results.handles(),
			HasInputs: len(rq.route.Stages) > 0,
			After:     rq.lastEvent,
		}),
	}
}

// Engines accept ranks from 0, the most urgent, to 9.
const (
	// ranksPerWorkspace is the number of route priorities that an engine distinguishes within
	// each workspace rank; the workspace rank takes precedence. Known deployments have
	// priorities 0 to 2.
	ranksPerWorkspace = 3
	maxEngineRank     = 9
)

// engineRank returns the rank that engines get for a class of requests.
func engineRank(class pools.Class) int {
	return min(maxEngineRank, ranksPerWorkspace*class.Rank+min(class.Priority, ranksPerWorkspace-1))
}

// classifySendError returns the sendFailure for a send that got no response.
func (rq *request) classifySendError(err error) error {
	if fault.Is(err, fault.Unavailable) {
		return &sendFailure{unsent: true, err: err}
	}
	rq.countSend()
	rq.mayHaveRun = true
	return &sendFailure{mayHaveRun: true, closedByUpstream: rq.wasClosedByUpstream(err), err: err}
}

// countSend counts a send that reached an upstream. The send uses up crashPass, which allows one
// send.
func (rq *request) countSend() {
	rq.sends++
	rq.crashPass, rq.usedPass = quarantine.Pass{}, rq.crashPass
}

// wasClosedByUpstream reports whether an exchange failed because the upstream closed the
// connection, by a reset or because its process ended.
func (rq *request) wasClosedByUpstream(err error) bool {
	if rq.ctx.Err() != nil {
		return false // this process closed the connection
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// handleResponse processes the response to a request that was sent at the given boot time: it
// records the upstream's state, and passes the response on or returns a sendFailure.
func (rq *request) handleResponse(upstream routes.Upstream, response *httpconn.Response, sent time.Duration) error {
	id := upstream.ID
	info := header.ReadResponse(response.Status, response.Header)
	rq.View.RecordUpstreamReport(view.UpstreamReport{Upstream: upstream, Request: rq.hdr.ID, Leaving: info.Leaving, Backoff: info.RetryAfter})
	if !info.Replaced {
		rq.Guard.Responded(upstream, sent)
	}
	if info.Load.Known {
		rq.recordLoad(id, selection.Load{Running: info.Load.Running, Waiting: info.Load.Waiting, Slots: info.Load.Slots, At: time.Now()})
	}
	if info.NotRun {
		return rq.handleNotRun(upstream, response, info.Replaced)
	}
	rq.mayHaveRun = true
	rq.paceReported(upstream, response.Status, info.Load)
	switch {
	case response.Status/100 == 2 && info.Signature == "":
		return &sendFailure{mayHaveRun: true, err: fault.New(fault.Ambiguous, "upstream.receive", id, "status %d without a signature", response.Status)}
	case rq.headSent && response.Status/100 != 2:
		// The client has a part of a stream, of which this response can't be the remainder.
		return &sendFailure{mayHaveRun: true, err: fault.New(fault.Ambiguous, "upstream.receive", id, "status %d for the remainder of a stream", response.Status)}
	case response.Status/100 == 2 && rq.route.Stream:
		return rq.relayStream(upstream, response)
	default:
		return rq.relayWhole(upstream, response)
	}
}

// handleNotRun handles a response which says that the request did not run.
func (rq *request) handleNotRun(upstream routes.Upstream, response *httpconn.Response, replaced bool) error {
	if replaced {
		rq.sends-- // the send did not reach the chosen upstream
	}
	if !replaced || !rq.presumeCrashAt(upstream, rq.usedPass) {
		rq.Guard.ReturnTrial(rq.hdr.ID, rq.usedPass, !replaced)
	}
	if response.Status == http.StatusConflict {
		// An input no longer exists; the stages run again before the next send.
		rq.results.free()
	}
	return &sendFailure{replaced: replaced, err: fault.New(fault.Refused, "upstream.receive", last(rq.tried), "status %d, not run", response.Status)}
}

// recordSend logs a send and records it in the metrics.
func (rq *request) recordSend(choice selection.Choice) {
	rq.Metrics.sendStarted(rq.service, len(rq.tried) > 1)
	rq.paceSent(choice)
	rq.Logger.Event(event.GatewaySent, observe.Fields{"request": rq.hdr.ID, "fingerprint": rq.fingerprint.String(), "parts": strings.Join(rq.hdr.SharedParts, ","), "route": rq.route.Name, "version": rq.table.Version,
		"service": rq.service, "upstream": choice.Upstream.ID, "software": choice.Upstream.Version, "attempt": len(rq.tried), "reason": choice.Reason,
		"load": fmt.Sprintf("%.1f", choice.Load), "cold": rq.isCold(choice.Upstream), "idle": choice.Idle, "copy_from": choice.CopyFrom,
		"used_ms": rq.started.Sub(rq.clientStarted).Milliseconds(), "value": fmt.Sprintf("%.1f", rq.value), "remaining_ms": time.Until(rq.deadline).Milliseconds(), "after": rq.lastEvent,
		"expected_first_ms": choice.FirstEvent.Milliseconds(), "expected_pause_ms": choice.Pause.Milliseconds(), "excluded": choice.Excluded})
}

// recordSendFailure logs a failed send. Unless the request itself has ended, or only the proof of a
// stream's end is missing, the upstream is avoided for a while.
func (rq *request) recordSendFailure(upstream routes.Upstream, err error) {
	id := upstream.ID
	f, ok := err.(*sendFailure)
	if ok && f.unproved {
		rq.recordUnproved(upstream)
		return
	}
	if ok && rq.ctx.Err() == nil && !errors.Is(err, httpconn.ErrWithdrawn) {
		rq.markFailed(id)
	}
	if closedByUpstream(err) {
		rq.wasBrokenOff = true
		rq.Guard.ConnectionClosed(rq.broken(false), upstream)
	}
	rq.Logger.Event(event.GatewayFailed, observe.Fields{"request": rq.hdr.ID, "fingerprint": rq.fingerprint.String(), "upstream": id, "attempt": len(rq.tried),
		"step": stepOf(err), "ran": ok && f.mayHaveRun, "error": err.Error()})
}
