package flow

import (
	"context"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/pool"
	"acaciawinch/core/stages"
	"acaciawinch/gateway/pools"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Allowances for what follows the stages, taken off the time by which a stage is due.
const (
	// engineAllowance is the time from a request's last stage to its first event: the
	// prompt of a large request and an engine's step.
	engineAllowance = 300 * time.Millisecond
)

// maxRestarts bounds how often the stages of a request are begun again because a
// result was lost.
const maxRestarts = 2

// stageEnd is the end of one stage of a request.
type stageEnd struct {
	stage  int
	result pools.Result
	owner  string
	took   time.Duration
	err    error
}

// prepare runs the stages of the request's route, unless their results are there.
func (rq *request) prepare() error {
	if len(rq.route.Stages) == 0 || rq.inputs != nil {
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

// runStages runs all stages once. It returns true if a result was lost on the way.
func (rq *request) runStages() (lost bool, err error) {
	ctx, cancel := context.WithCancel(rq.ctx)
	defer cancel()
	progress := stages.New(rq.route.Stages, rq.asked.Pieces)
	ends := make(chan stageEnd, len(rq.route.Stages))
	open := 0
	rq.release = func() { rq.free(progress, true) }
	for {
		for _, stage := range progress.Start() {
			open++
			go func() { ends <- rq.runStage(ctx, progress.Depth(stage), stage, progress.Inputs(stage)) }()
		}
		if open == 0 {
			break
		}
		end := <-ends
		open--
		rq.noteStage(end)
		if end.err != nil || end.result.Failure != "" {
			cancel()
			rq.collect(ends, open, progress)
			rq.release()
			return end.result.Failure == pools.Gone, stageError(end)
		}
		progress.Finish(end.stage, end.result.Handles)
		rq.free(progress, false)
	}
	rq.inputs = progress.Final()
	if rq.inputs == nil {
		rq.inputs = []string{}
	}
	return false, nil
}

// collect waits for the stages that were cancelled and takes what they made, so that
// it is freed.
func (rq *request) collect(ends <-chan stageEnd, open int, progress *stages.Progress) {
	for range open {
		if end := <-ends; end.err == nil && end.result.Failure == "" {
			progress.Finish(end.stage, end.result.Handles)
		}
	}
}

// stageError returns why a stage has no results; nil if they only have to be made
// again.
func stageError(end stageEnd) error {
	switch {
	case end.err != nil:
		return end.err
	case end.result.Failure == pools.Gone:
		return nil
	default:
		return fault.New(fault.Unavailable, "stage.wait", end.owner, "stage %d: %s", end.stage, end.result.Failure)
	}
}

// runStage gives one stage to its pool's owner and waits.
func (rq *request) runStage(ctx context.Context, depth, stage int, inputs []string) stageEnd {
	described := rq.route.Stages[stage]
	began := time.Now()
	result, owner, err := rq.Asker.Do(ctx, pools.Task{
		Service:     described.Service,
		Request:     rq.asked.ID,
		Stage:       stage,
		Pieces:      rq.asked.Pieces[stage],
		Key:         rq.keyOf(stage),
		Inputs:      inputs,
		ResultBytes: described.ResultBytes,
		Remaining:   rq.deadline.Sub(began),
		Due:         rq.due(stage, depth).Sub(began),
		Rank:        rq.rank,
		Pulls:       rq.pulls(stage, depth, inputs),
	})
	return stageEnd{stage: stage, result: result, owner: owner, took: time.Since(began), err: err}
}

// keyOf returns what a first stage works on.
func (rq *request) keyOf(stage int) string {
	if len(rq.route.Stages[stage].After) > 0 {
		return ""
	}
	return rq.asked.PieceKey
}

// due returns when a stage must be done for the request to be on time: the stages
// behind it take a call each.
func (rq *request) due(stage, depth int) time.Time {
	due := rq.began.Add(rq.route.Objective - engineAllowance)
	if service := rq.table.Service(rq.route.Stages[stage].Service); service != nil && service.Pool != nil {
		due = due.Add(-time.Duration(depth) * (service.Pool.CallTime + service.Pool.ItemTime))
	}
	return due
}

// free gives back the results that nobody needs any more.
func (rq *request) free(progress *stages.Progress, all bool) {
	for _, stage := range progress.Spent(all) {
		rq.Asker.Free(rq.route.Stages[stage].Service, progress.Results(stage))
	}
}

// noteStage logs and counts the end of a stage.
func (rq *request) noteStage(end stageEnd) {
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
func (rq *request) pulls(stage, depth int, inputs []string) []pool.Pull {
	var pulls []pool.Pull
	for _, handle := range inputs {
		if zone := rq.zoneOf(handle); zone != "" {
			pulls = addPull(pulls, zone, rq.inputBytes(stage))
		}
	}
	if depth > 0 {
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
