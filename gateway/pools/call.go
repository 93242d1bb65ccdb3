package pools

import (
	"context"
	"errors"
	"net/http"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/memory"
	"acaciawinch/core/pool"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
	"acaciawinch/platform/stagecall"
)

// Limits of the body of a response.
const (
	// maxResultBytes bounds the response to a run call; a full batch of handles fits into it.
	maxResultBytes = 1 << 20
	// maxReportBytes bounds the response to a report call.
	maxReportBytes = 64 << 10
)

// call makes one call and records its outcome.
func (o *Owner) call(p *ownedPart, b *batch) {
	response, err := o.run(p, b)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	took := now.Sub(b.StartedAt)
	if errors.Is(err, httpconn.ErrWithdrawn) {
		o.withdraw(p, b.Call, now)
		o.sendCalls(p, now)
		return
	}
	results, assignErr := o.assign(p, response, b.body)
	if err == nil {
		err = assignErr
	}
	if err != nil && !cutByDeadline(took, b.maxRemaining, b.Expected) {
		p.queue.Fail(b.Call, now)
	}
	made := o.finish(p, b, results, now)
	p.late.completed(made, now)
	if err != nil {
		o.logger.Warn(event.PoolCallFailed, observe.Fields{"service": p.Service, "upstream": b.Upstream.ID,
			"items": len(b.body), "made": made, "error": err.Error(), "duration_us": took.Microseconds()})
	} else {
		p.queue.Succeed(b.Call, now)
		o.logger.Event(event.PoolCall, observe.Fields{"service": p.Service, "upstream": b.Upstream.ID,
			"items": len(b.body), "made": made, "waiting": p.queue.Waiting(), "duration_us": took.Microseconds()})
	}
	o.sendCalls(p, now)
}

// withdraw queues the items of a call that was not sent again. The queue gets the list of upstreams by
// which the call was withdrawn, so that it does not choose the same upstream again. o.mu must be held.
func (o *Owner) withdraw(p *ownedPart, call *pool.Call, now time.Time) {
	o.logger.Event(event.PoolCallWithdrawn, observe.Fields{"service": p.Service, "upstream": call.Upstream.ID,
		"items": len(call.Items), "duration_us": now.Sub(call.StartedAt).Microseconds()})
	p.queue.SetUpstreams(p.of(o.fleet.Upstreams()))
	o.applyLimits(p)
	outcomes := make([]pool.Outcome, len(call.Items))
	for i, item := range call.Items {
		outcomes[i] = pool.NotSent
		if p.tasks[item.Task.Ticket] == nil {
			outcomes[i] = pool.Abandoned
		}
	}
	p.queue.Finish(call, outcomes, now)
}

// deadlineSlack is how long before the latest deadline of its requests a call counts as cut off
// by that deadline: the upstream stops then too, and its response takes some ms.
const deadlineSlack = 50 * time.Millisecond

// cutByDeadline reports whether a call without results ended at the latest deadline of its
// requests, before it could be expected to end. Such a call is not counted as a fault of the
// upstream: when it was, healthy upstreams were out of use for 0.8 to 3.2 s during bursts, when
// late tasks are sent with little time remaining.
func cutByDeadline(took, maxRemaining, expected time.Duration) bool {
	return took >= maxRemaining-deadlineSlack && took < expected
}

// run sends a batch and returns its response. With an error, the response holds what arrived before it. It
// sends nothing if the upstream takes no work any more.
func (o *Owner) run(p *ownedPart, b *batch) (stagecall.Response, error) {
	ctx, cancel := context.WithTimeout(o.lifetime, min(b.Timeout, b.maxRemaining))
	defer cancel()
	body, err := stagecall.RunBody(b.body)
	if err != nil {
		return stagecall.Response{}, fault.Wrap(fault.Internal, "stage.encode", b.Upstream.ID, err)
	}
	defer b.permit.Release()
	request := o.message(b.Upstream, stagecall.RunPath, body, b.maxRemaining)
	request.MaxBody = maxResultBytes
	request.ShouldSend = func() bool {
		if !o.fleet.Upstreams().StillTakesWork(b.Upstream, time.Now()) || !o.limits.MaySend(b.Upstream, b.permit, "") {
			return false
		}
		o.reportInputsRead(p, b.inputsOf)
		if b.hasNext {
			go o.client.Prepare(o.lifetime, b.Upstream.Address, stagecall.RunPath)
		}
		return true
	}
	content, err := o.post(ctx, b.Upstream, request)
	response, decodeErr := stagecall.ReadResponse(content)
	if err == nil {
		err = decodeErr
	}
	return response, err
}

// message returns a request to an upstream of a pool.
func (o *Owner) message(to routes.Upstream, path string, body []byte, remaining time.Duration) httpconn.Request {
	return httpconn.Request{
		Method: http.MethodPost,
		Target: path,
		Host:   to.Address,
		Header: stagecall.Headers(to.ID, remaining.Milliseconds()),
		Body:   body,
	}
}

// post sends one request to an upstream of a pool and returns the response body. If the body breaks off,
// post returns the part that arrived and an error.
func (o *Owner) post(ctx context.Context, to routes.Upstream, request httpconn.Request) ([]byte, error) {
	known, mayWrite := core.Stamp{}, request.ShouldSend
	request.ShouldSend = func() bool {
		known = o.limits.Stamp(to)
		return mayWrite()
	}
	response, err := o.client.Do(ctx, to.Address, request)
	if err != nil {
		return nil, err
	}
	defer response.Close()
	hints := header.ReadResponse(response.Status, response.Header)
	if !hints.Replaced {
		o.limits.Responded(to, known, hints.Limit, "")
	}
	if hints.Leaving || hints.RetryAfter > 0 {
		o.fleet.RecordUpstreamReport(view.UpstreamReport{Upstream: to, Leaving: hints.Leaving, Backoff: hints.RetryAfter})
	}
	room := o.memory.Begin(memory.Completion)
	defer room.Release()
	content, err := memory.ReadAll(room, response.Body, -1)
	if err != nil && response.Status == http.StatusOK {
		return content, fault.Wrap(fault.Ambiguous, "stage.read", to.ID, err)
	}
	if response.Status != http.StatusOK {
		return nil, fault.New(fault.Refused, "stage.call", to.ID, "status %d, not run %t", response.Status, hints.NotRun)
	}
	return content, nil
}

// finish records the results of a call, nil if it failed, and returns how many items have a
// result.
func (o *Owner) finish(p *ownedPart, b *batch, results []stagecall.Result, now time.Time) int {
	outcomes := make([]pool.Outcome, len(b.Items))
	reasons := make(map[*pool.Item]Failure)
	made := 0
	for i, item := range b.Items {
		result := stagecall.Result{Reason: stagecall.ReasonFailed}
		if results != nil {
			result = results[i]
		}
		if result.Handle != "" {
			outcomes[i] = pool.Done
			made++
			kept := keptResult{upstream: b.Upstream, item: keyOf(b.body[i]), bytes: item.Task.Bytes, until: now.Add(p.keepTime)}
			o.recordResult(p, item, result.Handle, kept)
			continue
		}
		outcomes[i], reasons[item] = p.outcome(item, result.Reason)
	}
	for _, item := range p.queue.Finish(b.Call, outcomes, now) {
		o.fail(p, item.Task.Ticket, reasons[item])
	}
	return made
}

// outcome returns the outcome of an item without a result, and the failure of its task if the
// item is not retried. An item whose task has ended is not retried.
func (p *ownedPart) outcome(item *pool.Item, reason stagecall.Reason) (pool.Outcome, Failure) {
	if p.tasks[item.Task.Ticket] == nil {
		return pool.Abandoned, Failed
	}
	switch reason {
	case stagecall.ReasonNoRoom:
		return pool.NoRoom, Failed
	case stagecall.ReasonLate:
		return pool.Abandoned, Late
	case stagecall.ReasonInputGone:
		return pool.Abandoned, Gone
	default:
		return pool.Retryable, Failed
	}
}

// recordResult records one result. The last result of a task ends the task; a result whose task
// has already ended is freed.
func (o *Owner) recordResult(p *ownedPart, item *pool.Item, handle string, kept keptResult) {
	task := p.tasks[item.Task.Ticket]
	if task != nil {
		kept.caller = task.session.caller
	}
	p.results[handle] = kept
	if task == nil {
		p.free([]string{handle})
		return
	}
	task.handles[item.Index] = handle
	task.pending--
	if task.pending == 0 {
		p.end(item.Task.Ticket)
		task.notify.Done(p.resultOf(task, Result{Handles: task.handles}, time.Now()))
	}
}

// free marks results as to be freed. This includes results of an earlier owner's calls, because
// a handle names the upstream that holds the result.
func (p *ownedPart) free(handles []string) {
	for _, handle := range handles {
		if handle == "" {
			continue
		}
		address := addressOf(handle)
		pending := p.pendingFrees[address]
		if pending == nil {
			pending = &pendingFree{until: time.Now().Add(p.keepTime)}
			p.pendingFrees[address] = pending
		}
		pending.handles = append(pending.handles, handle)
		if result, known := p.results[handle]; known {
			delete(p.results, handle)
			p.freedResults[handle] = result
			pending.bytes += result.bytes
			pending.until = later(pending.until, result.until)
		}
	}
}

// sendFrees tells the upstreams of a pool which results to drop. Upstreams that are backed off are
// told once the backoff has ended, those with a limit now and then. Upstreams that leave are told too: calls that they accepted earlier need
// the room, and this is no work. Results of upstreams that are no longer listed are gone with
// them.
func (o *Owner) sendFrees(p *ownedPart, now time.Time) {
	if len(p.pendingFrees) == 0 {
		return
	}
	kept := make(map[string]*pendingFree)
	for _, upstream := range o.fleet.Upstreams().Of(p.Service) {
		switch pending := p.pendingFrees[upstream.Address]; {
		case pending == nil:
		case now.Before(upstream.BackoffUntil):
			kept[upstream.Address] = pending
		case o.limits.Limited(upstream):
			if !o.freeWithinLimit(p, upstream, pending, now) {
				kept[upstream.Address] = pending
			}
		default:
			go o.sendFree(p, upstream, pending, nil)
		}
	}
	p.pendingFrees = kept
}

// freeTimeout bounds a call that frees results.
const freeTimeout = time.Second

// sendFree tells one upstream which results to drop. The room that they take counts as available
// only after the call.
func (o *Owner) sendFree(p *ownedPart, upstream routes.Upstream, pending *pendingFree, permit *ratelimit.Permit) {
	defer permit.Release()
	ctx, cancel := context.WithTimeout(o.lifetime, freeTimeout)
	defer cancel()
	body, err := stagecall.FreeBody(pending.handles)
	if err == nil {
		request := o.message(upstream, stagecall.FreePath, body, freeTimeout)
		request.ShouldSend = func() bool { return o.limits.MaySend(upstream, permit, "") }
		err = o.client.Notify(ctx, upstream.Address, request)
	}
	if errors.Is(err, httpconn.ErrWithdrawn) {
		o.freeLater(p, upstream, pending)
		return
	}
	if err != nil {
		o.logger.Warn(event.PoolFreeFailed, observe.Fields{"upstream": upstream.ID, "handles": len(pending.handles), "error": err.Error()})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p.queue.Free(upstream, pending.bytes)
	o.sendCalls(p, time.Now())
}
