package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
	"acaciawinch/core/budget"
	"acaciawinch/core/claim"
	"acaciawinch/core/config"
	"acaciawinch/core/request"
	"acaciawinch/wire/link"
)

// Options are what a Runner needs. Zero Rules are the default ones.
type Options struct {
	Router Router
	Claims Claims
	Dialer *link.Dialer
	Record Recorder
	// Revision returns the newest revision known here, for probes.
	Revision func() core.Revision
	// NoteRevision is told the revision and address of each side that answers.
	NoteRevision func(revision core.Revision, addr string)
	Rules        request.Rules
	// Retry and Hedge bound the extra calls of each service; zero allows none.
	Retry, Hedge budget.Limits
}

// Runner walks requests through their stages. It may be used by many goroutines.
type Runner struct {
	opts  Options
	know  *knowledge
	flows sync.WaitGroup
}

// NewRunner returns a Runner.
func NewRunner(opts Options) *Runner {
	if opts.Rules == (request.Rules{}) {
		opts.Rules = request.DefaultRules()
	}
	return &Runner{opts: opts, know: newKnowledge(opts.Router, opts.Retry, opts.Hedge)}
}

// Run carries out one request and returns its outcome as soon as it is known.
// Emit is called by the calling goroutine only. Ctx ends when the caller is gone.
//
// What remains to be done behind the answer, such as recording the result of a
// claimed stage, goes on in the background; Wait waits for it.
func (r *Runner) Run(ctx context.Context, req Request, emit Emit) Result {
	f := newFlow(r, req, emit)
	r.flows.Add(1)
	go f.awaitPermit()
	f.do(f.machine.Start(time.Now()))
	f.loop(ctx.Done(), f.machine.Answered)
	go func() {
		defer r.flows.Done()
		f.loop(nil, f.machine.Over)
		f.close()
	}()
	return f.result
}

// Wait waits until nothing is left to be done of any request, or until ctx ends.
func (r *Runner) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.flows.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// stagePlan is one stage with the workspace's parameters.
type stagePlan struct {
	config.Stage
	prefix string
	// prefixHash is zero if there is no prefix.
	prefixHash uint64
}

// planOf returns the request's stages and what the machine needs of them.
func planOf(req Request) ([]stagePlan, request.Plan) {
	plan := request.Plan{Deadline: req.Deadline, Minted: req.Minted}
	var stages []stagePlan
	for _, declared := range req.Template.Stages {
		stage, prefix := effective(req, declared)
		s := stagePlan{Stage: stage, prefix: prefix}
		if prefix != "" {
			s.prefixHash = xxhash.Sum64String(prefix)
		}
		stages = append(stages, s)
		plan.Stages = append(plan.Stages, request.Stage{
			Name:          stage.Name,
			Service:       stage.Service,
			NonIdempotent: stage.NonIdempotent,
			Resumable:     stage.Kind == config.KindEngine,
			Declared:      time.Duration(stage.ExpectedMS) * time.Millisecond,
		})
	}
	return stages, plan
}

// bodyDigest returns the digest under which the key's claims are kept.
func bodyDigest(req Request) string { return claim.DigestBody(req.Body) }
