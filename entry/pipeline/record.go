package pipeline

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/core/request"
	"acaciawinch/entry/route"
	"acaciawinch/entry/trace"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// Recorder is the destination of the decisions about all requests.
type Recorder struct {
	Logger *observe.Logger
	Traces *trace.Ring
	Scope  tally.Scope
}

// record writes the decisions about one request to log, trace and metrics.
type record struct {
	Recorder
	req       Request
	stages    []stagePlan
	startedAt time.Time
	deadline  time.Time
	// lastEmittedAt is when the last chunk was sent to the caller.
	lastEmittedAt time.Time
	// usefulPasses counts, by stage, the passes (runs of a stage at an upstream) of
	// idempotent stages that returned a result.
	usefulPasses map[int]int64
}

// newRecord returns the record of a request that starts now.
func newRecord(r Recorder, req Request, stages []stagePlan) *record {
	now := time.Now()
	return &record{
		Recorder:     r,
		req:          req,
		stages:       stages,
		startedAt:    now,
		deadline:     now.Add(req.Deadline),
		usefulPasses: make(map[int]int64),
	}
}

// recordDecision writes one decision to the log and the trace. The attempt is nil if
// the decision concerns none.
func (r *record) recordDecision(e event.Event, a *attempt, reason string, extra observe.Fields) {
	d := trace.Decision{
		AtUS:   time.Since(r.startedAt).Microseconds(),
		Event:  e.Number,
		Name:   e.Name,
		Reason: reason,
	}
	fields := observe.Fields{"request": r.req.ID, "reason": reason}
	if a != nil {
		d.Stage = r.stages[a.stage].Name
		d.Attempt = a.number
		d.Upstream = a.choice.Upstream
		fields["stage"] = d.Stage
		fields["attempt"] = d.Attempt
		fields["upstream"] = d.Upstream
	}
	if e.Number == event.AttemptDispatched.Number {
		d.Alternatives = alternativesOf(a.choice.Alternatives)
		fields["alternatives"] = a.choice.Alternatives
	}
	for name, value := range extra {
		fields[name] = value
	}
	r.Traces.Add(r.req.ID, d)
	r.Logger.Event(e, fields)
}

// alternativesOf converts the alternatives that the router considered for the trace.
func alternativesOf(considered []route.Alternative) []trace.Alternative {
	alternatives := make([]trace.Alternative, 0, len(considered))
	for _, c := range considered {
		reason := c.Reason
		if c.Expected > 0 {
			reason += fmt.Sprintf(" (%s)", c.Expected.Round(time.Millisecond))
		}
		alternatives = append(alternatives, trace.Alternative{Upstream: c.Upstream, Reason: reason})
	}
	return alternatives
}

// dispatched records that an attempt was sent.
func (r *record) dispatched(a *attempt, run request.Run) {
	service := r.stages[a.stage].Service
	r.Scope.Tagged(map[string]string{"service": service, "cause": string(run.Cause)}).Counter("passes").Inc(1)
	r.recordDecision(event.AttemptDispatched, a, string(run.Cause)+": "+a.choice.Reason, observe.Fields{
		"remaining_ms": run.Remaining.Milliseconds(),
		"resume":       run.Resume,
	})
}

// attached records that an attempt is followed on a new stream.
func (r *record) attached(a *attempt, attach request.Attach) {
	r.recordDecision(event.AttemptReattached, a, attach.Reason, observe.Fields{"from": attach.From})
}

// cancelled records that an attempt was cancelled.
func (r *record) cancelled(a *attempt, cancel request.Cancel) {
	r.recordDecision(event.AttemptCancelled, a, cancel.Detail, observe.Fields{"cause": cancel.Reason})
}

// attemptEnded records how an attempt ended.
func (r *record) attemptEnded(a *attempt, report request.Report) {
	service := r.stages[a.stage].Service
	if report.Wasted != "" {
		r.countWasted(service, report.Wasted, 1)
	}
	if report.End == request.EndOK {
		if !r.stages[a.stage].NonIdempotent {
			r.usefulPasses[a.stage]++
		}
		return
	}
	if !report.Sent {
		return
	}
	r.recordDecision(event.AttemptUnused, a, string(report.End), observe.Fields{
		"wasted":      report.Wasted,
		"duration_us": report.Duration.Microseconds(),
	})
}

// countWasted counts passes whose output did not contribute to an answer.
func (r *record) countWasted(service, cause string, passes int64) {
	r.Scope.Tagged(map[string]string{"service": service, "cause": cause}).Counter("wasted_passes").Inc(passes)
}

// requestEnded counts the useful passes of a request as wasted if the request was
// given up.
func (r *record) requestEnded(a request.Answer) {
	if a.Outcome == core.OutcomeAnswered {
		return
	}
	for stage, passes := range r.usefulPasses {
		r.countWasted(r.stages[stage].Service, "given_up", passes)
	}
}

// noteEvents maps the kinds of the machine's notes to log events.
var noteEvents = map[request.NoteKind]event.Event{
	request.NoteDropped:     event.EventDropped,
	request.NoteAttemptKept: event.AttemptKept,
	request.NoteNoHedge:     event.HedgeDeclined,
	request.NoteResultKept:  event.ResultKept,
	request.NoteReplaced:    event.AttemptLeft,
	request.NoteSettling:    event.RequestAwaitingProof,
	request.NoteTrial:       event.StageTried,
	request.NoteBug:         event.ChartViolated,
}

// note records a decision that leads to no other action.
func (r *record) note(a *attempt, n request.Note) {
	r.recordDecision(noteEvents[n.Kind], a, n.Reason, nil)
}

// notChosen records in the trace that no upstream was chosen. The router has already
// logged it.
func (r *record) notChosen(stage string, err error) {
	r.Traces.Add(r.req.ID, trace.Decision{
		AtUS:   time.Since(r.startedAt).Microseconds(),
		Event:  event.RouteRefused.Number,
		Name:   event.RouteRefused.Name,
		Stage:  stage,
		Reason: err.Error(),
	})
}

// dropped records that an event of another attempt was dropped.
func (r *record) dropped(a *attempt, key *wirepb.AttemptKey) {
	r.recordDecision(event.EventDropped, a, fmt.Sprintf("event belongs to attempt %s/%s/%d of incarnation %d",
		key.GetRequestId(), key.GetStage(), key.GetAttempt(), key.GetSideIncarnation()), nil)
}

// resolved records the resolution of a claimed attempt.
func (r *record) resolved(a *attempt, e request.Resolved) {
	r.recordDecision(event.ClaimedPassResolved, a, resolutionNames[e.Resolution]+" "+e.Detail, nil)
}

// resolutionNames are the names of resolutions in the log and the trace.
var resolutionNames = map[request.Resolution]string{
	request.ResolvedNotRun:      "not run",
	request.ResolvedDone:        "done",
	request.ResolvedRunning:     "running",
	request.ResolvedGone:        "gone",
	request.ResolvedUnreachable: "unreachable",
}

// claimed records the verdict on a claim.
func (r *record) claimed(a *attempt, e request.Claimed) {
	r.recordDecision(event.StageClaimed, a, claimNames[e.Status]+": "+e.Detail, nil)
}

// claimNames are the names of claim statuses in the log and the trace.
var claimNames = map[request.ClaimStatus]string{
	request.ClaimOwned:       "mine",
	request.ClaimDone:        "done",
	request.ClaimRunning:     "running",
	request.ClaimUnknown:     "unknown",
	request.ClaimUnavailable: "unavailable",
	request.ClaimNotRun:      "not run",
	request.ClaimInvalid:     "invalid",
}

// received measures the time to an attempt's first chunk and between its chunks.
func (r *record) received(a *attempt, e request.Event) {
	if _, ok := e.(request.Chunk); !ok {
		return
	}
	now := time.Now()
	scope := r.Scope.Tagged(map[string]string{"service": r.stages[a.stage].Service})
	if a.lastChunkAt.IsZero() {
		scope.Histogram("stage_first_chunk_seconds", firstChunkBuckets).RecordDuration(now.Sub(a.sentAt))
	} else {
		scope.Histogram("stage_gap_seconds", chunkGapBuckets).RecordDuration(now.Sub(a.lastChunkAt))
	}
	a.lastChunkAt = now
}

// emitted measures the time to the caller's first chunk and between the caller's
// chunks.
func (r *record) emitted(index uint64) {
	now := time.Now()
	if index == 0 {
		r.Scope.Histogram("first_chunk_seconds", firstChunkBuckets).RecordDuration(now.Sub(r.startedAt))
	} else {
		r.Scope.Histogram("gap_seconds", chunkGapBuckets).RecordDuration(now.Sub(r.lastEmittedAt))
	}
	r.lastEmittedAt = now
}

// Buckets of the histograms of first chunks, from 5 ms, and of the gaps between
// chunks, from 1 ms.
var (
	firstChunkBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 20)
	chunkGapBuckets   = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 20)
)
