package pipeline

import (
	"context"
	"errors"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/request"
	"acaciawinch/entry/route"
)

// do carries out the machine's actions.
func (f *flow) do(actions []request.Action) {
	for _, action := range actions {
		f.act(action)
	}
}

// act carries out one action.
func (f *flow) act(action request.Action) {
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
		f.answer(a)
	}
}

// choose asks the router for an upstream.
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
	f.attempt(a.Attempt, a.Stage)
	go func() {
		if !f.pause(a.After) {
			return
		}
		ctx, cancel := context.WithDeadline(f.ctx, f.record.deadline)
		defer cancel()
		choice, err := f.runner.opts.Router.Choose(ctx, need)
		if err != nil {
			f.notChosen(a, err)
			return
		}
		if !f.permitted(a) {
			f.giveBack(a, choice)
			return
		}
		f.chosen(a, choice)
	}()
}

// chosen posts a choice, or gives it back if the flow is over.
func (f *flow) chosen(a request.Choose, choice route.Choice) {
	event := request.Chosen{Attempt: a.Attempt, Upstream: choice.Upstream, Expected: choice.Expected}
	apply := func() {
		known := f.attempt(a.Attempt, a.Stage)
		known.choice = choice
		known.target = targetOf(choice)
	}
	if !f.post(post{event: event, apply: apply}) {
		f.giveBack(a, choice)
	}
}

// giveBack tells the router that a choice is not used.
func (f *flow) giveBack(a request.Choose, choice route.Choice) {
	f.runner.opts.Router.ObserveResult(route.Result{
		Upstream: choice.Upstream,
		Stage:    f.stages[a.Stage].Name,
		Kind:     route.ResultCancelled,
	})
}

// notChosen posts that no upstream was chosen.
func (f *flow) notChosen(a request.Choose, err error) {
	f.post(post{
		event: request.NotChosen{
			Attempt:    a.Attempt,
			Late:       route.Late(err),
			RetryAfter: route.RetryAfter(err),
			Detail:     err.Error(),
		},
		apply: func() { f.record.notChosen(f.stages[a.Stage].Name, err) },
	})
}

// pause waits, or returns false if the flow ended.
func (f *flow) pause(d time.Duration) bool {
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

// report tells the router and the metrics how an attempt ended.
func (f *flow) report(r request.Report) {
	a := f.attempts[r.Attempt]
	f.runner.opts.Router.ObserveResult(route.Result{
		Upstream: a.choice.Upstream,
		Stage:    f.stages[r.Stage].Name,
		Kind:     route.ResultKind(r.End),
		Duration: r.Duration,
	})
	f.record.ended(a, r)
}

// deliver hands a chunk to the caller. If that fails the caller is gone, which
// the machine is told once it has finished with the present event.
func (f *flow) deliver(e request.Emit) {
	if f.gone {
		return
	}
	if err := f.emit(e.Index, e.Data); err != nil {
		f.gone = true
	}
	f.record.emitted(e.Index)
}

// answer keeps the result for the caller.
func (f *flow) answer(a request.Answer) {
	f.result = Result{
		Outcome:    a.Outcome,
		Cause:      a.Cause,
		Step:       a.Step,
		Detail:     a.Detail,
		RetryAfter: a.RetryAfter,
	}
	f.record.answered(a)
}

// notSent tells whether err proves that a call never left this process.
func notSent(err error) bool {
	var dial *fault.Error
	return errors.As(err, &dial) && dial.Step == "link.dial" && dial.Code == fault.Unavailable
}
