package pipeline

import (
	"context"
	"time"

	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
)

// flow carries out one request. Only the goroutine that runs loop accesses its
// mutable fields; calls run in their own goroutines and post their results to it.
type flow struct {
	runner  *Runner
	req     Request
	stages  []stagePlan
	machine *request.Machine
	record  *record
	emit    Emit

	// ctx ends with the flow; calls that must outlive the flow don't use it.
	ctx    context.Context
	cancel context.CancelFunc
	posts  chan post

	attempts map[request.AttemptID]*attempt
	// claims holds the claim of each stage that has one.
	claims map[int]claims.Claim
	result Result
	// callerGone is set once delivery to the caller has failed.
	callerGone bool
}

// post is a message to the flow's loop, usually the result of a call. The loop runs
// apply, which may change the flow's fields, before it passes event to the machine.
// Either of them may be nil.
type post struct {
	event request.Event
	apply func()
	// streamNumber is the number of the stream that posted the event, zero for none.
	streamNumber int
}

// attempt is the flow's own state of an attempt, in addition to the machine's.
type attempt struct {
	id     request.AttemptID
	stage  int
	number uint32
	choice route.Choice
	target target
	// streamNumber is the number of the attempt's newest stream. The ends of earlier
	// streams are ignored.
	streamNumber int
	// cancelStream closes the current stream.
	cancelStream context.CancelFunc
	sentAt       time.Time
	lastChunkAt  time.Time
}

// newFlow returns a flow that has not started.
func newFlow(r *Runner, req Request, emit Emit) *flow {
	stages, plan := planOf(req)
	ctx, cancel := context.WithCancel(context.Background())
	f := &flow{
		runner:   r,
		req:      req,
		stages:   stages,
		machine:  request.New(req.ID, plan, r.shared, r.opts.Rules),
		emit:     emit,
		ctx:      ctx,
		cancel:   cancel,
		posts:    make(chan post),
		attempts: make(map[request.AttemptID]*attempt),
		claims:   make(map[int]claims.Claim),
	}
	f.record = newRecord(r.opts.Record, req, stages)
	return f
}

// loop handles posts and timer events until done returns true. The channel
// disconnected is closed when the caller disconnects; nil means that no caller is
// waiting.
func (f *flow) loop(disconnected <-chan struct{}, done func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		timer.Reset(time.Until(f.machine.Wake()))
		select {
		case p := <-f.posts:
			f.handlePost(p)
		case <-timer.C:
			f.handleEvent(request.Tick{})
		case <-disconnected:
			disconnected = nil
			f.handleEvent(request.CallerGone{})
		}
	}
}

// handlePost passes a post's event to the machine, unless it is the end of a stream
// that has been replaced.
func (f *flow) handlePost(p post) {
	if p.apply != nil {
		p.apply()
	}
	if p.event == nil {
		return
	}
	if broken, ok := p.event.(request.Broken); ok {
		a := f.attempts[broken.Attempt]
		if a == nil || p.streamNumber != a.streamNumber {
			return
		}
	}
	f.handleEvent(p.event)
}

// handleEvent passes an event to the machine and executes the resulting actions.
func (f *flow) handleEvent(event request.Event) {
	f.executeAll(f.machine.Handle(time.Now(), event))
	if f.callerGone && !f.machine.Answered() {
		f.executeAll(f.machine.Handle(time.Now(), request.CallerGone{}))
	}
}

// post sends p to the loop. It returns false if the flow has ended.
func (f *flow) post(p post) bool {
	select {
	case f.posts <- p:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// postEvent posts an event without changes to the flow's fields.
func (f *flow) postEvent(event request.Event) { f.post(post{event: event}) }

// close cancels the flow's calls and streams.
func (f *flow) close() {
	f.cancel()
	for _, a := range f.attempts {
		if a.cancelStream != nil {
			a.cancelStream()
		}
	}
}

// ensureAttempt returns the flow's state of an attempt and creates it on first use.
func (f *flow) ensureAttempt(id request.AttemptID, stage int) *attempt {
	a, ok := f.attempts[id]
	if !ok {
		a = &attempt{id: id, stage: stage}
		f.attempts[id] = a
	}
	return a
}

// input returns the input of a stage: its prefix, followed by the output of the
// previous stage or, for the first stage, by the caller's body.
func (f *flow) input(stage int) []byte {
	input := []byte(f.stages[stage].prefix)
	if stage == 0 {
		return append(input, f.req.Body...)
	}
	for _, chunk := range f.machine.Output(stage - 1) {
		input = append(input, chunk...)
	}
	return input
}
