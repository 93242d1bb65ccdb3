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

// Options configures a Runner. Zero Rules stand for request.DefaultRules.
type Options struct {
	Router Router
	Claims Claims
	Dialer *link.Dialer
	Record Recorder
	// Revision returns the newest configuration revision that this gateway knows.
	// Probes carry it.
	Revision func() core.Revision
	// NoteRevision is called with the revision and address of each sidecar that
	// responds to a probe.
	NoteRevision func(revision core.Revision, addr string)
	Rules        request.Rules
	// Retry and Hedge limit the extra calls to each service; zero allows none.
	Retry, Hedge budget.Limits
}

// Runner runs requests through the stages of their pipelines. It is safe for
// concurrent use.
type Runner struct {
	opts   Options
	shared *sharedState
	flows  sync.WaitGroup
}

// NewRunner returns a Runner with the given options.
func NewRunner(opts Options) *Runner {
	if opts.Rules == (request.Rules{}) {
		opts.Rules = request.DefaultRules()
	}
	return &Runner{opts: opts, shared: newSharedState(opts.Router, opts.Retry, opts.Hedge)}
}

// Run carries out one request and returns its result as soon as it is known. Run
// calls emit only from the calling goroutine. The context ends when the caller
// disconnects.
//
// Work that remains after the answer, such as recording the result of a claimed
// stage, continues in the background; Wait waits for it.
func (r *Runner) Run(ctx context.Context, req Request, emit Emit) Result {
	f := newFlow(r, req, emit)
	r.flows.Add(1)
	go f.awaitPermit()
	f.executeAll(f.machine.Start(time.Now()))
	f.loop(ctx.Done(), f.machine.Answered)
	go func() {
		defer r.flows.Done()
		f.loop(nil, f.machine.Finished)
		f.close()
	}()
	return f.result
}

// Wait waits until the background work of all requests has ended, or until ctx ends.
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

// stagePlan is one stage with the workspace's parameters applied.
type stagePlan struct {
	config.Stage
	prefix string
	// prefixHash is zero if there is no prefix.
	prefixHash uint64
}

// planOf returns the request's stages and the machine's plan for them.
func planOf(req Request) ([]stagePlan, request.Plan) {
	plan := request.Plan{Deadline: req.Deadline, KeyGenerated: req.KeyGenerated}
	var stages []stagePlan
	for _, declared := range req.Template.Stages {
		stage, prefix := effectiveStage(req, declared)
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

// bodyDigest returns the digest of the body that the claims of the request's key
// record.
func bodyDigest(req Request) string { return claim.DigestBody(req.Body) }
