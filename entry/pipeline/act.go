package pipeline

import (
	"context"
	"errors"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/request"
	"acaciawinch/entry/route"
)

// executeAll carries out the machine's actions in order.
func (f *flow) executeAll(actions []request.Action) {
	for _, action := range actions {
		f.execute(action)
	}
}

// execute carries out one action.
func (f *flow) execute(action request.Action) {
	switch a := action.(type) {
	case request.Choose:
		f.choose(a)
	case request.Run:
		f.run(a)
	case request.Attach:
		f.attach(a)
	case request.Ping:
		f.ping(a)
	case request.Resolve:
		f.resolve(a)
	case request.Cancel:
		f.cancelAttempt(a)
	case request.Acknowledge:
		f.acknowledge(a)
	case request.Report:
		f.report(a)
	case request.OpenClaim:
		f.openClaim(a)
	case request.Reassign:
		f.reassign(a)
	case request.Release:
		f.release(a)
	case request.Finish:
		f.finish(a)
	case request.Emit:
		f.deliver(a)
	case request.Note:
		f.record.note(f.attempts[a.Attempt], a)
	case request.Answer:
		f.setResult(a)
	}
}

// choose requests an upstream from the router, after a delay, and posts the router's
// choice or refusal.
func (f *flow) choose(a request.Choose) {
	stage := f.stages[a.Stage]
	need := route.Need{
		Request:    f.req.ID,
		Stage:      stage.Name,
		Service:    stage.Service,
		Workspace:  f.req.Workspace.Name,
		Priority:   f.req.Workspace.Priority,
		Kind:       stage.Kind,
		Model:      stage.Model,
		Version:    stage.Version,
		MaxTokens:  stage.MaxTokens,
		PrefixHash: stage.prefixHash,
		Remaining:  a.Remaining,
		Exclude:    a.Exclude,
		Hedge:      a.Hedge,
	}
	f.ensureAttempt(a.Attempt, a.Stage)
	go func() {
		if !f.sleep(a.After) {
			return
		}
		ctx, cancel := context.WithDeadline(f.ctx, f.record.deadline)
		defer cancel()
		choice, err := f.runner.opts.Router.Choose(ctx, need)
		if err != nil {
			f.postNotChosen(a, err)
			return
		}
		if !f.waitUntilPermitted(a) {
			f.discardChoice(a, choice)
			return
		}
		f.postChosen(a, choice)
	}()
}

// postChosen posts the router's choice, or discards it if the flow has ended.
func (f *flow) postChosen(a request.Choose, choice route.Choice) {
	event := request.Chosen{Attempt: a.Attempt, Upstream: choice.Upstream, Expected: choice.Expected}
	apply := func() {
		state := f.ensureAttempt(a.Attempt, a.Stage)
		state.choice = choice
		state.target = targetFromChoice(choice)
	}
	if !f.post(post{event: event, apply: apply}) {
		f.discardChoice(a, choice)
	}
}

// discardChoice reports to the router that a choice will not be used.
func (f *flow) discardChoice(a request.Choose, choice route.Choice) {
	f.runner.opts.Router.ObserveResult(route.Result{
		Upstream: choice.Upstream,
		Stage:    f.stages[a.Stage].Name,
		Kind:     route.ResultCancelled,
	})
}

// postNotChosen posts that the router chose no upstream.
func (f *flow) postNotChosen(a request.Choose, err error) {
	f.post(post{
		event: request.NotChosen{
			Attempt:    a.Attempt,
			LackOfTime: route.TooLate(err),
			RetryAfter: route.RetryAfter(err),
			Detail:     err.Error(),
		},
		apply: func() { f.record.notChosen(f.stages[a.Stage].Name, err) },
	})
}

// sleep waits for d. It returns false if the flow ends first.
func (f *flow) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// report passes the end of an attempt to the router, the log and the metrics.
func (f *flow) report(r request.Report) {
	a := f.attempts[r.Attempt]
	f.runner.opts.Router.ObserveResult(route.Result{
		Upstream: a.choice.Upstream,
		Stage:    f.stages[r.Stage].Name,
		Kind:     route.ResultKind(r.End),
		Duration: r.Duration,
	})
	f.record.attemptEnded(a, r)
}

// deliver sends a chunk to the caller. An error means that the caller has
// disconnected; the machine learns of it after it has handled the current event.
func (f *flow) deliver(e request.Emit) {
	if f.callerGone {
		return
	}
	if err := f.emit(e.Index, e.Data); err != nil {
		f.callerGone = true
	}
	f.record.emitted(e.Index)
}

// setResult stores the machine's answer as the result that Runner.Run returns.
func (f *flow) setResult(a request.Answer) {
	f.result = Result{
		Outcome:    a.Outcome,
		Cause:      a.Cause,
		Step:       a.Step,
		Detail:     a.Detail,
		RetryAfter: a.RetryAfter,
	}
	f.record.requestEnded(a)
}

// notSent reports whether err proves that a call never left this process.
func notSent(err error) bool {
	var dial *fault.Error
	return errors.As(err, &dial) && dial.Step == "link.dial" && dial.Code == fault.Unavailable
}
