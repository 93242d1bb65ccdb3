package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// sendFailure is a send that brought no answer to hand on.
type sendFailure struct {
	// unsent: not a byte left this process. ran: the request may have run. replaced: the
	// upstream has ended, and another one at its address turned the request away.
	unsent, ran, replaced bool
	// cut: the upstream closed the connection before its answer was whole.
	cut bool
	err error
}

// Error implements error.
func (f *sendFailure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *sendFailure) Unwrap() error { return f.err }

// send sends the request to one upstream and hands its answer to the client. A nil
// error tells that the client has its whole answer.
func (rq *request) send() error {
	if rq.sends == 0 {
		rq.Guard.Settle(rq.ctx, rq.fingerprint)
	}
	if err := rq.checkCrashes(); err != nil {
		return err // an upstream has crashed while the request's stages were done
	}
	rq.awaitPause()
	wanted := rq.want()
	choice, found := rq.choose(wanted)
	if !found {
		return fault.New(fault.Unavailable, "request.choose", rq.service, "no upstream takes requests")
	}
	id := choice.Upstream.ID
	rq.tried = append(rq.tried, id)
	defer rq.ended(id)
	rq.noteSend(choice)
	ctx, cancel := context.WithCancel(rq.ctx)
	defer cancel()
	early := rq.freeWhenRead(choice)
	defer early()
	sent := clock.Boot()
	answer, err := rq.Client.Do(ctx, choice.Upstream.Address, rq.message(choice, wanted.service != nil && wanted.service.Engine != nil))
	if err == nil {
		rq.sent()
		defer answer.Close()
		err = rq.take(choice.Upstream, answer, sent)
	} else {
		err = rq.lost(err)
	}
	if err != nil {
		rq.noteFailure(choice.Upstream, err)
	}
	return err
}

// awaitPause waits for the end of the pause that all upstreams have asked for, if stages were done
// for the request that would be lost else, and it can still be served then.
func (rq *request) awaitPause() {
	now := time.Now()
	opens := rq.View.Upstreams().Opens(rq.service, now)
	if rq.results != nil && opens.After(now) && opens.Before(rq.startBy.Add(-engineAllowance)) {
		clock.Sleep(rq.ctx, opens.Sub(now))
	}
}

// readAllowance is how long after a request was sent to an engine that has a place for
// it the engine has read its inputs for certain; for some 4 MB that takes 4 ms at
// 10,000 Mbit/s, and the rest is for the way and for busy links.
const readAllowance = 50 * time.Millisecond

// freeWhenRead gives the results back as soon as an engine must have read them, if it
// is known to have had nothing waiting; else they are kept until its first event. It
// returns how to call that off.
func (rq *request) freeWhenRead(choice selection.Choice) func() {
	if rq.results == nil || !choice.Idle {
		return func() {}
	}
	timer := time.AfterFunc(readAllowance, rq.results.free)
	return func() { timer.Stop() }
}

// message returns the request as the upstream gets it.
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
		ID:     rq.asked.ID,
		Wanted: func() bool { return rq.stillTakes(choice.Upstream) },
		Header: header.Apply(rq.r.Header, header.Forward{
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

// stillTakes tells whether an upstream that was chosen takes work by the newest list.
func (rq *request) stillTakes(chosen routes.Upstream) bool {
	now, known := rq.View.Upstreams().Find(chosen.ID)
	return known && now.Born == chosen.Born && now.TakesWork(time.Now())
}

// Engines take ranks from 0 to 9.
const (
	// ranksPerWorkspace is how many priorities of routes an engine tells apart under each
	// rank of a workspace, which goes first: the deployments known have 0 to 2.
	ranksPerWorkspace = 3
	lastEngineRank    = 9
)

// engineRank returns the rank of a class of requests at engines.
func engineRank(class pools.Class) int {
	return min(lastEngineRank, ranksPerWorkspace*class.Rank+min(class.Priority, ranksPerWorkspace-1))
}

// lost classifies a send without an answer.
func (rq *request) lost(err error) error {
	if fault.Is(err, fault.Unavailable) {
		return &sendFailure{unsent: true, err: err}
	}
	rq.sent()
	rq.mayHaveRun = true
	return &sendFailure{ran: true, cut: rq.cutByUpstream(err), err: err}
}

// sent counts a send that reached an upstream. A trial is one such send.
func (rq *request) sent() {
	rq.sends++
	rq.crashPass, rq.usedPass = quarantine.Pass{}, rq.crashPass
}

// cutByUpstream tells whether an exchange failed as the upstream closed the connection, by a
// reset or at the end of its process.
func (rq *request) cutByUpstream(err error) bool {
	if rq.ctx.Err() != nil {
		return false // this process closed it
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// take decides what becomes of the answer to a send at a boot time.
func (rq *request) take(upstream routes.Upstream, answer *httpconn.Answer, sent time.Duration) error {
	id := upstream.ID
	said := header.ReadAnswer(answer.Status, answer.Header)
	rq.View.UpstreamAsked(view.Asked{Upstream: upstream, Request: rq.asked.ID, Leaving: said.Leaving, Pause: said.RetryAfter})
	if !said.Replaced {
		rq.Guard.Answered(upstream, sent)
	}
	if said.Load.Known {
		rq.heard(id, selection.Load{Running: said.Load.Running, Waiting: said.Load.Waiting, Slots: said.Load.Slots, At: time.Now()})
	}
	if said.NotRun {
		return rq.notRun(answer, said.Replaced)
	}
	rq.mayHaveRun = true
	switch {
	case answer.Status/100 == 2 && said.Signature == "":
		return &sendFailure{ran: true, err: fault.New(fault.Ambiguous, "upstream.receive", id, "status %d without a signature", answer.Status)}
	case answer.Status/100 == 2 && rq.route.Stream:
		return rq.relayStream(upstream, answer)
	default:
		return rq.relayWhole(upstream, answer)
	}
}

// notRun handles an answer which says that the request did not run.
func (rq *request) notRun(answer *httpconn.Answer, replaced bool) error {
	rq.Guard.Return(rq.fingerprint, rq.asked.ID, rq.usedPass, !replaced)
	if replaced {
		rq.sends-- // it reached no upstream that it was meant for
	}
	if answer.Status == http.StatusConflict {
		// An input is gone: the stages are done again for the next send.
		rq.results.free()
	}
	return &sendFailure{replaced: replaced, err: fault.New(fault.Refused, "upstream.receive", last(rq.tried), "status %d, not run", answer.Status)}
}

// noteSend logs and counts a send.
func (rq *request) noteSend(choice selection.Choice) {
	rq.Metrics.sent(rq.service, len(rq.tried) > 1)
	rq.Logger.Event(event.GatewaySent, observe.Fields{"request": rq.asked.ID, "fingerprint": rq.fingerprint.String(), "route": rq.route.Name, "version": rq.table.Version,
		"service": rq.service, "upstream": choice.Upstream.ID, "attempt": len(rq.tried), "reason": choice.Reason,
		"load": fmt.Sprintf("%.1f", choice.Load), "cold": rq.isCold(choice.Upstream), "idle": choice.Idle, "copy_from": choice.CopyFrom,
		"used_ms": rq.began.Sub(rq.since).Milliseconds(), "value": fmt.Sprintf("%.1f", rq.value), "remaining_ms": time.Until(rq.deadline).Milliseconds(), "after": rq.lastEvent})
}

// noteFailure logs a failed send and passes its upstream over for a while, unless it
// only said that it is full, or the request itself has ended.
func (rq *request) noteFailure(upstream routes.Upstream, err error) {
	id := upstream.ID
	f, ok := err.(*sendFailure)
	if ok && rq.ctx.Err() == nil {
		rq.failed(id)
	}
	if ok && f.cut {
		rq.Guard.Broken(rq.fingerprint, rq.asked.ID, upstream)
	}
	rq.Logger.Event(event.GatewayFailed, observe.Fields{"request": rq.asked.ID, "fingerprint": rq.fingerprint.String(), "upstream": id, "attempt": len(rq.tried),
		"step": stepOf(err), "ran": ok && f.ran, "error": err.Error()})
}
