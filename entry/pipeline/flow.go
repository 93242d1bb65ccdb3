package pipeline

import (
	"context"
	"time"

	"acaciawinch/core/request"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/route"
)

// flow carries out one request. Its fields belong to the goroutine of the loop;
// calls run in goroutines of their own and post what came of them.
type flow struct {
	runner  *Runner
	req     Request
	stages  []stagePlan
	machine *request.Machine
	record  *record
	emit    Emit

	// ctx ends with the flow; calls that must outlive it don't use it.
	ctx    context.Context
	cancel context.CancelFunc
	posts  chan post

	attempts map[request.AttemptID]*attempt
	// claims holds the claim of each stage that has one.
	claims map[int]claims.Claim
	result Result
	// gone is set once the caller's connection failed.
	gone bool
}

// post is something that a call of the flow came to. Before it is handed to the
// machine, apply changes the flow's own fields.
type post struct {
	event request.Event
	apply func()
	// stream is the number of the stream that it came from, zero if from none.
	stream int
}

// attempt is what the flow knows of an attempt beside the machine.
type attempt struct {
	id     request.AttemptID
	stage  int
	number uint32
	choice route.Choice
	target target
	// stream numbers the streams of the attempt; only the last one may break it.
	stream int
	// stop closes the present stream.
	stop context.CancelFunc
	sent time.Time
	last time.Time
}

// newFlow returns a flow that has not begun.
func newFlow(r *Runner, req Request, emit Emit) *flow {
	stages, plan := planOf(req)
	ctx, cancel := context.WithCancel(context.Background())
	f := &flow{
		runner:   r,
		req:      req,
		stages:   stages,
		machine:  request.New(req.ID, plan, r.know, r.opts.Rules),
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

// loop handles posts and time until done says that it is enough. The channel
// gone is closed when the caller is gone; nil if nobody waits.
func (f *flow) loop(gone <-chan struct{}, done func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		timer.Reset(time.Until(f.machine.Wake()))
		select {
		case p := <-f.posts:
			f.handle(p)
		case <-timer.C:
			f.tell(request.Tick{})
		case <-gone:
			gone = nil
			f.tell(request.CallerGone{})
		}
	}
}

// handle hands a post to the machine, unless it is the end of a stream that was
// replaced.
func (f *flow) handle(p post) {
	if p.apply != nil {
		p.apply()
	}
	if p.event == nil {
		return
	}
	if broken, ok := p.event.(request.Broken); ok {
		a := f.attempts[broken.Attempt]
		if a == nil || p.stream != a.stream {
			return
		}
	}
	f.tell(p.event)
}

// tell hands an event to the machine and carries out what follows.
func (f *flow) tell(event request.Event) {
	f.do(f.machine.Handle(time.Now(), event))
	if f.gone && !f.machine.Answered() {
		f.do(f.machine.Handle(time.Now(), request.CallerGone{}))
	}
}

// post hands over what a call came to. It returns false if the flow is over.
func (f *flow) post(p post) bool {
	select {
	case f.posts <- p:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// postEvent posts an event that changes nothing else.
func (f *flow) postEvent(event request.Event) { f.post(post{event: event}) }

// close ends the flow's calls.
func (f *flow) close() {
	f.cancel()
	for _, a := range f.attempts {
		if a.stop != nil {
			a.stop()
		}
	}
}

// attempt returns the flow's side of an attempt.
func (f *flow) attempt(id request.AttemptID, stage int) *attempt {
	a, ok := f.attempts[id]
	if !ok {
		a = &attempt{id: id, stage: stage}
		f.attempts[id] = a
	}
	return a
}

// input returns the input of a stage: its prefix and the output of the stage
// before, or the caller's body.
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
