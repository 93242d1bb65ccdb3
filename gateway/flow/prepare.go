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

// maxStageRestarts bounds how often the stages of a request are started again because a
// result was lost.
const maxStageRestarts = 2

// stageUpdate is an event of one stage of a request: it has read its inputs, or it has ended.
type stageUpdate struct {
	stage      int
	inputsRead bool
	result     pools.Result
	owner      string
	took       time.Duration
	err        error
}

// prepare runs the stages of the request's route, unless it still has their results.
func (rq *request) prepare() error {
	if len(rq.route.Stages) == 0 || rq.results != nil && !rq.results.isFreed() {
		return nil
	}
	if rq.events > 0 {
		rq.startBy = rq.startLimit(time.Now())
	}
	for range maxStageRestarts + 1 {
		lost, err := rq.runStages()
		if err != nil || !lost {
			return err
		}
	}
	return fault.New(fault.Unavailable, "stage.restart", "", "results were lost %d times", maxStageRestarts+1)
}

// stageRun is one pass through the stages of a request.
type stageRun struct {
	*request
	ctx      context.Context
	progress *stages.Progress
	updates  chan stageUpdate
	// running is the number of stages that have started and not ended.
	running int
	// waiting are stages that could start but are delayed while longer ones run.
	waiting []int
	// startedAt holds the times at which stages were submitted to their pools, doneAt those at
	// which they completed.
	startedAt, doneAt map[int]time.Time
}

// updatesPerStage exceeds the number of updates that one stage can send: one when it ends, and
// one for each owner under which its inputs are read.
const updatesPerStage = 8

// runStages runs all stages once. It reports whether a result was lost meanwhile.
func (rq *request) runStages() (lost bool, err error) {
	ctx, cancel := context.WithCancel(rq.ctx)
	defer cancel()
	run := &stageRun{
		request:   rq,
		ctx:       ctx,
		progress:  stages.New(rq.route.Stages, rq.hdr.Items),
		updates:   make(chan stageUpdate, updatesPerStage*len(rq.route.Stages)),
		startedAt: make(map[int]time.Time),
		doneAt:    make(map[int]time.Time),
	}
	rq.results = &results{request: rq, progress: run.progress}
	for {
		run.waiting = append(run.waiting, run.progress.Start()...)
		wait := run.startDue()
		if run.running == 0 && len(run.waiting) == 0 {
			break
		}
		end, ended := run.nextUpdate(wait)
		if !ended {
			continue
		}
		if end.err != nil || end.result.Failure != "" {
			cancel()
			run.awaitCancelled()
			rq.results.free()
			return end.result.Failure == pools.Gone, stageError(end)
		}
	}
	return false, nil
}

// nextUpdate waits for a stage update for at most the given time and applies it. It returns true
// if the update is the end of a stage.
func (run *stageRun) nextUpdate(wait time.Duration) (stageUpdate, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return stageUpdate{}, false
	case update := <-run.updates:
		if update.inputsRead {
			run.progress.MarkInputsRead(update.stage)
			run.freeUnneeded(run.progress, false)
			return update, false
		}
		run.running--
		run.recordStage(update)
		if update.err == nil && update.result.Failure == "" {
			run.progress.Finish(update.stage, update.result.Handles)
			run.doneAt[update.stage] = time.Now()
			run.freeUnneeded(run.progress, false)
		}
		return update, true
	}
}

// A stage whose results only the request itself uses is started late enough to end together
// with the longest of the other stages. If it ended earlier, its results would occupy memory of
// their upstream, and large results fill that memory.
const (
	// startMarginDivisor and startMargin set how much earlier such a stage starts than its estimate
	// requires, as the estimate may be too short: its estimated duration divided by
	// startMarginDivisor, and startMargin.
	startMarginDivisor = 3
	startMargin        = 100 * time.Millisecond
	// maxWait bounds the wait for a stage update.
	maxWait = time.Second
)

// startDue starts the waiting stages that need no further delay, and returns how long the others
// may still wait.
func (run *stageRun) startDue() time.Duration {
	wait := maxWait
	remaining := run.progress.Remaining(run.remaining)
	var delayed []int
	for _, stage := range run.waiting {
		length := run.progress.CriticalPath(stage, run.estimate)
		slack := remaining - length - length/startMarginDivisor - startMargin
		if slack > 0 && run.progress.IsLast(stage) {
			delayed = append(delayed, stage)
			wait = min(wait, slack)
			continue
		}
		run.running++
		run.startedAt[stage] = time.Now()
		go run.runStage(stage, run.times(stage), run.later(stage), run.progress.Inputs(stage))
	}
	run.waiting = delayed
	return wait
}

// runStage submits one stage to the owner of its pool and waits for it to end.
func (run *stageRun) runStage(stage int, times stageTimes, later []pools.LaterWait, inputs []string) {
	spec := run.route.Stages[stage]
	started := time.Now()
	result, owner, err := run.Dispatcher.Do(run.ctx, pools.Task{
		Part:        pools.Part{Service: spec.Service},
		Request:     run.hdr.ID,
		Stage:       stage,
		Items:       run.hdr.Items[stage],
		Key:         run.inputKey(stage),
		Inputs:      inputs,
		ResultBytes: spec.ResultBytes,
		Remaining:   times.remaining,
		Due:         times.due,
		Class:       run.class,
		Value:       run.value,
		Transfers:   run.transfers(stage, run.progress.IsLast(stage), inputs),
		Later:       later,
		Fingerprint: run.fingerprint[:],
		Workspace:   run.workspaceName(),
		Ends:        run.startBy.Sub(started) - firstEventAllowance,
	}, func() { run.updates <- stageUpdate{stage: stage, inputsRead: true} })
	run.updates <- stageUpdate{stage: stage, result: result, owner: owner, took: time.Since(started), err: err}
}

// awaitCancelled waits for the cancelled stages to end and records their results, so that these are
// freed.
func (run *stageRun) awaitCancelled() {
	for run.running > 0 {
		run.nextUpdate(maxWait)
	}
}

// stageError returns why a stage has no results, or nil if the stages only have to run again
// because an input was lost.
func stageError(end stageUpdate) error {
	switch {
	case end.err != nil:
		return end.err
	case end.result.Failure == pools.Gone:
		return nil
	case end.result.Failure == pools.Late:
		return fault.Wrap(fault.Unavailable, "stage.wait", end.owner, lateStage(end.stage, end.result))
	default:
		return fault.New(fault.Unavailable, "stage.wait", end.owner, "stage %d: %s", end.stage, end.result.Failure)
	}
}

// inputKey returns the key of the input of a first stage; it is empty for later stages.
func (rq *request) inputKey(stage int) string {
	if len(rq.route.Stages[stage].After) > 0 {
		return ""
	}
	return rq.hdr.InputKey
}

// recordStage logs the end of a stage and records it in the metrics.
func (rq *request) recordStage(end stageUpdate) {
	service := rq.route.Stages[end.stage].Service
	rq.Metrics.stageEnded(service, string(end.result.Failure), end.took)
	fields := observe.Fields{"request": rq.hdr.ID, "stage": end.stage, "service": service, "owner": end.owner,
		"pieces": rq.hdr.Items[end.stage], "duration_us": end.took.Microseconds()}
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
