package flow

import (
	"sync"

	"acaciawinch/core/stages"
)

// results are what the stages of a request have made. They may be used by several
// goroutines once all stages are done.
type results struct {
	request  *request
	progress *stages.Progress
	mu       sync.Mutex
	gone     bool
}

// handles returns the results that the request itself takes.
func (r *results) handles() []string {
	if r == nil {
		return nil
	}
	return r.progress.Final()
}

// free gives all results back; later calls do nothing.
func (r *results) free() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.gone = true
	r.request.free(r.progress, true)
}

// freed tells whether the results were given back.
func (r *results) freed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// free gives back the results that nobody needs any more.
func (rq *request) free(progress *stages.Progress, all bool) {
	for _, stage := range progress.Spent(all) {
		rq.Asker.Free(rq.route.Stages[stage].Service, progress.Results(stage))
	}
}
