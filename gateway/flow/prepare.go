package flow

import (
	"context"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/stages"
	"acaciawinch/gateway/pools"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

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

// A stage whose results only the request itself takes is started late enough to end
// with the longest of the others: until then its results would take up room at their
// upstream, of which large ones fill all that there is. The margins are for estimates
// that are too short.
const (
	startMarginShare = 3
	startMargin      = 100 * time.Millisecond
	longestWake      = time.Second
)

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
