package flow

import (
	"sync"
	"time"

	"acaciawinch/core/stages"
)

// results are the results of a request's stages. They are safe for concurrent use once all
// stages have completed.
type results struct {
	request  *request
	progress *stages.Progress
	mu       sync.Mutex
	freed    bool
	// keptUntil is the time until which the request's own results are kept at least, unless they are
	// freed; zero before the first send.
	keptUntil time.Time
}

// handles returns the handles of the results that the request itself uses.
func (r *results) handles() []string {
	if r == nil {
		return nil
	}
	return r.progress.Final()
}

// free frees all results; later calls do nothing.
func (r *results) free() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed {
		return
	}
	r.freed = true
	r.request.freeUnneeded(r.progress, true)
}

// isFreed reports whether the results were freed.
func (r *results) isFreed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freed
}

// freeUnneeded frees the results that no stage needs any more. If all is set, the request itself
// does not need its results any more either.
func (rq *request) freeUnneeded(progress *stages.Progress, all bool) {
	for _, stage := range progress.TakeUnneeded(all) {
		rq.Dispatcher.Free(rq.route.Stages[stage].Service, progress.Results(stage))
	}
}
