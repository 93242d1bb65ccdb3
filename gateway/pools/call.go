package pools

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/pool"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
	"acaciawinch/platform/stagecall"
)

// maxResultBytes bounds what is read of a call's answer: a full batch of handles.
const maxResultBytes = 1 << 20

// call makes one call and records its end.
func (o *Owner) call(p *owned, call *pool.Call, items []stagecall.Item, longest time.Duration) {
	results, err := o.run(call, items, longest)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	took := now.Sub(call.Began)
	if err != nil {
		o.logger.Warn(event.PoolCallFailed, observe.Fields{"service": p.Service, "upstream": call.Upstream.ID,
			"items": len(items), "error": err.Error(), "duration_us": took.Microseconds()})
		if !cutByDeadline(took, longest, call.Expected) {
			p.queue.Fail(call, now)
		}
		results = nil
	}
	made := o.finish(p, call, results, now)
	if err == nil {
		p.queue.Succeed(call, now)
		o.logger.Event(event.PoolCall, observe.Fields{"service": p.Service, "upstream": call.Upstream.ID,
			"items": len(items), "made": made, "waiting": p.queue.Waiting(), "duration_us": took.Microseconds()})
	}
	o.pump(p, now)
}

// deadlineSlack is how long before the end of its longest request a call counts as cut
// by that: an upstream stops then too, and its word takes some ms.
const deadlineSlack = 50 * time.Millisecond

// cutByDeadline tells whether a call without results ended because no request waits any
// more, before it could be expected to end. That is no fault of its upstream: to pass over
// it took sound upstreams away for 0.8 to 3.2 s in bursts, when late tasks are sent with
// little time left.
func cutByDeadline(took, longest, expected time.Duration) bool {
	return took >= longest-deadlineSlack && took < expected
}

// run sends a batch and returns its results.
func (o *Owner) run(call *pool.Call, items []stagecall.Item, longest time.Duration) ([]stagecall.Result, error) {
	ctx, cancel := context.WithTimeout(o.life, min(call.Patience, longest))
	defer cancel()
	body, err := stagecall.RunBody(items)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "stage.encode", call.Upstream.ID, err)
	}
	content, err := o.post(ctx, call.Upstream, stagecall.RunPath, body, longest)
	if err != nil {
		return nil, err
	}
	return stagecall.Results(content, len(items))
}

// post sends one call to an upstream of a pool and returns the body of its answer.
func (o *Owner) post(ctx context.Context, to routes.Upstream, path string, body []byte, left time.Duration) ([]byte, error) {
	answer, err := o.client.Do(ctx, to.Address, httpconn.Request{
		Method: http.MethodPost,
		Target: path,
		Host:   to.Address,
		Header: stagecall.Headers(to.ID, left.Milliseconds()),
		Body:   body,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxResultBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Ambiguous, "stage.read", to.ID, err)
	}
	said := header.ReadAnswer(answer.Status, answer.Header)
	o.fleet.UpstreamAsked(view.Asked{Upstream: to, Leaving: said.Leaving, Pause: said.RetryAfter})
	if answer.Status != http.StatusOK {
		return nil, fault.New(fault.Refused, "stage.call", to.ID, "status %d, not run %t", answer.Status, said.NotRun)
	}
	return content, nil
}

// finish records the results of a call, none if it failed, and returns how many
// were made.
func (o *Owner) finish(p *owned, call *pool.Call, results []stagecall.Result, now time.Time) int {
	outcomes := make([]pool.Outcome, len(call.Items))
	reasons := make(map[*pool.Item]Failure)
	made := 0
	for i, item := range call.Items {
		result := stagecall.Result{Reason: stagecall.Failed}
		if results != nil {
			result = results[i]
		}
		if result.Handle != "" {
			outcomes[i] = pool.Made
			made++
			o.made(p, call, item, result.Handle, now)
			continue
		}
		outcomes[i], reasons[item] = p.outcome(item, result.Reason)
	}
	for _, item := range p.queue.Finish(call, outcomes, now) {
		o.fail(p, item.Task.Ticket, reasons[item])
	}
	return made
}

// outcome returns what becomes of an item without a result, and how its task ends if
// there is no other try. An item whose task has ended is not tried again.
func (p *owned) outcome(item *pool.Item, reason stagecall.Reason) (pool.Outcome, Failure) {
	if p.tasks[item.Task.Ticket] == nil {
		return pool.Ended, Failed
	}
	switch reason {
	case stagecall.Room:
		return pool.NoRoom, Failed
	case stagecall.Late:
		return pool.Ended, Late
	case stagecall.Gone:
		return pool.Ended, Gone
	default:
		return pool.Again, Failed
	}
}

// made records one result. The last one of a task ends it; a result that nobody
// waits for is freed.
func (o *Owner) made(p *owned, call *pool.Call, item *pool.Item, handle string, now time.Time) {
	p.results[handle] = kept{upstream: call.Upstream, bytes: item.Task.Bytes, until: now.Add(p.keep)}
	task := p.tasks[item.Task.Ticket]
	if task == nil {
		p.free([]string{handle})
		return
	}
	task.handles[item.Index] = handle
	task.left--
	if task.left == 0 {
		p.end(item.Task.Ticket)
		task.notify.Done(Result{Handles: task.handles, Wait: p.queue.Wait(task.Class.Rank, task.Value), Backlog: p.queue.Backlog()})
	}
}

// free marks results as to be freed. Those that an earlier owner had made are freed
// too: a handle tells where its result lies.
func (p *owned) free(handles []string) {
	for _, handle := range handles {
		if handle == "" {
			continue
		}
		address, _, _ := strings.Cut(handle, "/")
		at := p.freeing[address]
		if at == nil {
			at = &freeing{}
			p.freeing[address] = at
		}
		at.handles = append(at.handles, handle)
		if result, known := p.results[handle]; known {
			delete(p.results, handle)
			at.bytes += result.bytes
		}
	}
}

// sendFrees tells the upstreams of a pool which results to drop, those that have asked for a pause
// after it. What lies at others is gone with them.
func (o *Owner) sendFrees(p *owned, now time.Time) {
	if len(p.freeing) == 0 {
		return
	}
	later := make(map[string]*freeing)
	for _, upstream := range o.fleet.Upstreams().Of(p.Service) {
		switch at := p.freeing[upstream.Address]; {
		case at == nil:
		case now.Before(upstream.PausedUntil):
			later[upstream.Address] = at
		default:
			go o.sendFree(p, upstream, at)
		}
	}
	p.freeing = later
}

// freeTimeout bounds a call that frees results.
const freeTimeout = time.Second

// sendFree tells one upstream, and counts its room as free only then.
func (o *Owner) sendFree(p *owned, upstream routes.Upstream, at *freeing) {
	ctx, cancel := context.WithTimeout(o.life, freeTimeout)
	defer cancel()
	body, err := stagecall.FreeBody(at.handles)
	if err == nil {
		_, err = o.post(ctx, upstream, stagecall.FreePath, body, freeTimeout)
	}
	if err != nil {
		o.logger.Warn(event.PoolFreeFailed, observe.Fields{"upstream": upstream.ID, "handles": len(at.handles), "error": err.Error()})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p.queue.Free(upstream, at.bytes)
	o.pump(p, time.Now())
}
