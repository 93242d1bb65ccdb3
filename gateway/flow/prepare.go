package flow

import (
	"context"
	"strings"
	"sync"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/pool"
	"acaciawinch/core/stages"
	"acaciawinch/gateway/pools"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// engineAllowance is taken off the time by which the last stage is due. It is the time
// from there to the first event, which came within 0.07 to 0.25 s for nine requests of
// ten; with 450 ms most tasks of a chain of three stages count as late from the start.
const engineAllowance = 250 * time.Millisecond

// maxRestarts bounds how often the stages of a request are begun again because a
// result was lost.
const maxRestarts = 2

// stageNews tells of one stage of a request: that it has read its inputs, or its end.
type stageNews struct {
	stage  int
	begun  bool
	result pools.Result
	owner  string
	took   time.Duration
	err    error
}

// prepare runs the stages of the request's route, unless their results are there.
func (rq *request) prepare() error {
	if len(rq.route.Stages) == 0 || rq.results != nil && !rq.results.freed() {
		return nil
	}
	for range maxRestarts + 1 {
		lost, err := rq.runStages()
		if err != nil || !lost {
			return err
		}
	}
	return fault.New(fault.Unavailable, "stage.restart", "", "results were lost %d times", maxRestarts+1)
}

// stageRun is one pass through the stages of a request.
type stageRun struct {
	*request
	ctx      context.Context
	progress *stages.Progress
	news     chan stageNews
	// open counts the stages that were started and have not ended.
	open int
	// waiting are stages that could start but wait for longer ones beside them.
	waiting []int
	// startedAt holds when stages were given to their pools, doneAt when they ended.
	startedAt, doneAt map[int]time.Time
}

// newsPerStage is above what there can be of one stage: its end, and the reading of its
// inputs under each owner that it is given to.
const newsPerStage = 8

// runStages runs all stages once. It returns true if a result was lost on the way.
func (rq *request) runStages() (lost bool, err error) {
	ctx, cancel := context.WithCancel(rq.ctx)
	defer cancel()
	run := &stageRun{
		request:   rq,
		ctx:       ctx,
		progress:  stages.New(rq.route.Stages, rq.asked.Pieces),
		news:      make(chan stageNews, newsPerStage*len(rq.route.Stages)),
		startedAt: make(map[int]time.Time),
		doneAt:    make(map[int]time.Time),
	}
	rq.results = &results{request: rq, progress: run.progress}
	for {
		run.waiting = append(run.waiting, run.progress.Start()...)
		wake := run.launch()
		if run.open == 0 && len(run.waiting) == 0 {
			break
		}
		end, ended := run.next(wake)
		if !ended {
			continue
		}
		if end.err != nil || end.result.Failure != "" {
			cancel()
			run.collect()
			rq.results.free()
			return end.result.Failure == pools.Gone, stageError(end)
		}
	}
	return false, nil
}

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

// next waits for news, or until wake, and takes it in. It returns the end of a stage.
func (run *stageRun) next(wake time.Duration) (stageNews, bool) {
	timer := time.NewTimer(wake)
	defer timer.Stop()
	select {
	case <-timer.C:
		return stageNews{}, false
	case news := <-run.news:
		if news.begun {
			run.progress.Take(news.stage)
			run.free(run.progress, false)
			return news, false
		}
		run.open--
		run.noteStage(news)
		if news.err == nil && news.result.Failure == "" {
			run.progress.Finish(news.stage, news.result.Handles)
			run.doneAt[news.stage] = time.Now()
			run.free(run.progress, false)
		}
		return news, true
	}
}

// launch starts the waiting stages whose time has come, and returns how long the
// others may still wait.
func (run *stageRun) launch() time.Duration {
	wake := longestWake
	left := run.progress.Left(run.remaining)
	var kept []int
	for _, stage := range run.waiting {
		length := run.progress.Length(stage, run.estimate)
		spare := left - length - length/startMarginShare - startMargin
		if spare > 0 && run.progress.IsLast(stage) {
			kept = append(kept, stage)
			wake = min(wake, spare)
			continue
		}
		run.open++
		run.startedAt[stage] = time.Now()
		go run.stage(stage, run.times(stage), run.progress.Inputs(stage))
	}
	run.waiting = kept
	return wake
}

// A stage whose results only the request itself takes is started late enough to end
// with the longest of the others: until then its results would take up room at their
// upstream, of which large ones fill all that there is. The margins are for estimates
// that are too short.
const (
	startMarginShare = 3
	startMargin      = 100 * time.Millisecond
	longestWake      = time.Second
)

// estimate returns how long a stage takes.
func (run *stageRun) estimate(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Asker.Wait(name, run.class), run.shortestCall(name))
}

// backlog returns how long a stage takes that is late, and so waits behind all others.
func (run *stageRun) backlog(stage int) time.Duration {
	name := run.route.Stages[stage].Service
	return max(run.Asker.Backlog(name), run.shortestCall(name))
}

// shortestCall returns how long a call of one item takes at a pool.
func (run *stageRun) shortestCall(name string) time.Duration {
	service := run.table.Service(name)
	if service == nil || service.Pool == nil {
		return 0
	}
	return service.Pool.CallTime + service.Pool.ItemTime
}

// remaining returns how long a stage still takes.
func (run *stageRun) remaining(stage int) time.Duration {
	whole := run.estimate(stage)
	if at, started := run.startedAt[stage]; started {
		return max(0, whole-time.Since(at))
	}
	return whole
}

// lapseMargin is how long before its inputs lapse a stage must have read them: results
// are kept from the end of the call that made them, of which this process hears later.
const lapseMargin = 200 * time.Millisecond

// inputsLeft returns how long the inputs of a stage are still kept. A stage that waits
// longer would find them gone, and all stages would be done again: that was so for 1,328 items
// on a day of bursts that made 81,831.
func (run *stageRun) inputsLeft(stage int) time.Duration {
	left := run.route.Timeout
	for _, before := range run.route.Stages[stage].After {
		service := run.table.Service(run.route.Stages[before].Service)
		if service == nil || service.Pool == nil || run.asked.Pieces[before] == 0 {
			continue
		}
		left = min(left, service.Pool.KeepTime-lapseMargin-time.Since(run.doneAt[before]))
	}
	return left
}

// stageTimes are until when a stage must be done, counted from now.
type stageTimes struct {
	// due is for the request to be on time, remaining for it to be served at all.
	due, remaining time.Duration
}

// times returns the times of a stage that starts now. The stages after it wait among
// the timely tasks of their pools, or behind all others if this one is late already: then
// it needs as much time for them as their pools will ask of it, or its work is lost.
func (run *stageRun) times(stage int) stageTimes {
	now := time.Now()
	tail := run.progress.Tail(stage, run.estimate)
	due := run.since.Add(run.route.Objective - engineAllowance - tail).Sub(now)
	if due < run.estimate(stage) {
		tail = pool.Doubt * run.progress.Tail(stage, run.backlog)
	}
	return stageTimes{
		due:       due,
		remaining: min(run.startBy.Sub(now)-engineAllowance-tail, run.inputsLeft(stage)),
	}
}

// stage gives one stage to its pool's owner and waits for its end.
func (run *stageRun) stage(stage int, times stageTimes, inputs []string) {
	described := run.route.Stages[stage]
	began := time.Now()
	result, owner, err := run.Asker.Do(run.ctx, pools.Task{
		Part:        pools.Part{Service: described.Service},
		Request:     run.asked.ID,
		Stage:       stage,
		Pieces:      run.asked.Pieces[stage],
		Key:         run.keyOf(stage),
		Inputs:      inputs,
		ResultBytes: described.ResultBytes,
		Remaining:   times.remaining,
		Due:         times.due,
		Class:       run.class,
		Value:       run.value,
		Pulls:       run.pulls(stage, run.progress.IsLast(stage), inputs),
	}, func() { run.news <- stageNews{stage: stage, begun: true} })
	run.news <- stageNews{stage: stage, result: result, owner: owner, took: time.Since(began), err: err}
}

// collect waits for the stages that were cancelled and takes what they made, so that
// it is freed.
func (run *stageRun) collect() {
	for run.open > 0 {
		run.next(longestWake)
	}
}

// stageError returns why a stage has no results; nil if they only have to be made
// again.
func stageError(end stageNews) error {
	switch {
	case end.err != nil:
		return end.err
	case end.result.Failure == pools.Gone:
		return nil
	default:
		return fault.New(fault.Unavailable, "stage.wait", end.owner, "stage %d: %s", end.stage, end.result.Failure)
	}
}

// keyOf returns what a first stage works on.
func (rq *request) keyOf(stage int) string {
	if len(rq.route.Stages[stage].After) > 0 {
		return ""
	}
	return rq.asked.PieceKey
}

// free gives back the results that nobody needs any more.
func (rq *request) free(progress *stages.Progress, all bool) {
	for _, stage := range progress.Spent(all) {
		rq.Asker.Free(rq.route.Stages[stage].Service, progress.Results(stage))
	}
}

// noteStage logs and counts the end of a stage.
func (rq *request) noteStage(end stageNews) {
	service := rq.route.Stages[end.stage].Service
	rq.Metrics.stage(service, string(end.result.Failure), end.took)
	fields := observe.Fields{"request": rq.asked.ID, "stage": end.stage, "service": service, "owner": end.owner,
		"pieces": rq.asked.Pieces[end.stage], "duration_us": end.took.Microseconds()}
	if end.err == nil && end.result.Failure == "" {
		rq.Logger.Event(event.StageDone, fields)
		return
	}
	fields["reason"] = string(end.result.Failure)
	if end.err != nil {
		fields["reason"] = end.err.Error()
	}
	rq.Logger.Event(event.StageFailed, fields)
}

// pulls returns what each piece of a stage moves: its inputs from where they lie, and
// its result, if the request itself takes it, to where the request is likely to go.
func (rq *request) pulls(stage int, isLast bool, inputs []string) []pool.Pull {
	var pulls []pool.Pull
	for _, handle := range inputs {
		if zone := rq.zoneOf(handle); zone != "" {
			pulls = addPull(pulls, zone, rq.inputBytes(stage))
		}
	}
	if !isLast {
		return pulls
	}
	if zone := rq.likelyZone(); zone != "" {
		pulls = addPull(pulls, zone, rq.route.Stages[stage].ResultBytes)
	}
	return pulls
}

// addPull adds bytes to the pull of a zone.
func addPull(pulls []pool.Pull, zone string, bytes int64) []pool.Pull {
	for i := range pulls {
		if pulls[i].Zone == zone {
			pulls[i].Bytes += bytes
			return pulls
		}
	}
	return append(pulls, pool.Pull{Zone: zone, Bytes: bytes})
}

// zoneOf returns the zone of the upstream that keeps a result.
func (rq *request) zoneOf(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return rq.View.Upstreams().ZoneOf(address)
}

// inputBytes returns the size of one input of a stage, the mean of the stages before.
func (rq *request) inputBytes(stage int) int64 {
	after := rq.route.Stages[stage].After
	var sum int64
	for _, earlier := range after {
		sum += rq.route.Stages[earlier].ResultBytes
	}
	return sum / int64(max(1, len(after)))
}

// likelyZone returns the zone of the upstream that the request would get now.
func (rq *request) likelyZone() string {
	choice, found := rq.look(rq.table.Service(rq.service), rq.service, rq.asked.SharedPart, rq.tried)
	if !found {
		return ""
	}
	return choice.Upstream.Zone
}
