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

// Recorder is where the decisions about all requests go.
type Recorder struct {
	Logger *observe.Logger
	Traces *trace.Ring
	Scope  tally.Scope
}

// record writes down the decisions about one request: log line, trace, metrics.
type record struct {
	Recorder
	req      Request
	stages   []stagePlan
	began    time.Time
	deadline time.Time
	// lastChunk is when the caller got its last chunk.
	lastChunk time.Time
	// served counts the passes of idempotent stages that gave a result.
	served map[int]int64
}

// newRecord returns the record of a request that begins now.
func newRecord(r Recorder, req Request, stages []stagePlan) *record {
	now := time.Now()
	return &record{
		Recorder: r,
		req:      req,
		stages:   stages,
		began:    now,
		deadline: now.Add(req.Deadline),
		served:   make(map[int]int64),
	}
}

// decide writes one decision about an attempt to the log and to the trace.
func (r *record) decide(e event.Event, a *attempt, reason string, more observe.Fields) {
	d := trace.Decision{
		AtUS:   time.Since(r.began).Microseconds(),
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
	for name, value := range more {
		fields[name] = value
	}
	r.Traces.Add(r.req.ID, d)
	r.Logger.Event(e, fields)
}

// alternativesOf returns the trace's form of what the router weighed.
func alternativesOf(weighed []route.Alternative) []trace.Alternative {
	alternatives := make([]trace.Alternative, 0, len(weighed))
	for _, w := range weighed {
		reason := w.Reason
		if w.Expected > 0 {
			reason += fmt.Sprintf(" (%s)", w.Expected.Round(time.Millisecond))
		}
		alternatives = append(alternatives, trace.Alternative{Upstream: w.Upstream, Reason: reason})
	}
	return alternatives
}

// dispatched records an attempt that was sent.
func (r *record) dispatched(a *attempt, run request.Run) {
	service := r.stages[a.stage].Service
	r.Scope.Tagged(map[string]string{"service": service, "cause": string(run.Cause)}).Counter("passes").Inc(1)
	r.decide(event.AttemptDispatched, a, string(run.Cause)+": "+a.choice.Reason, observe.Fields{
		"remaining_ms": run.Remaining.Milliseconds(),
		"resume":       run.Resume,
	})
}

// attached records an attempt that is followed on a new stream.
func (r *record) attached(a *attempt, attach request.Attach) {
	r.decide(event.AttemptReattached, a, attach.Reason, observe.Fields{"from": attach.From})
}

// cancelled records an attempt that was cancelled.
func (r *record) cancelled(a *attempt, cancel request.Cancel) {
	r.decide(event.AttemptCancelled, a, cancel.Detail, observe.Fields{"cause": cancel.Reason})
}

// ended records how an attempt ended.
func (r *record) ended(a *attempt, report request.Report) {
	service := r.stages[a.stage].Service
	if report.Wasted != "" {
		r.wasted(service, report.Wasted, 1)
	}
	if report.End == request.EndOK {
		if !r.stages[a.stage].NonIdempotent {
			r.served[a.stage]++
		}
		return
	}
	if !report.Sent {
		return
	}
	r.decide(event.PassEnded, a, string(report.End), observe.Fields{
		"wasted":      report.Wasted,
		"duration_us": report.Duration.Microseconds(),
	})
}

// wasted counts passes that served no answer.
func (r *record) wasted(service, cause string, passes int64) {
	r.Scope.Tagged(map[string]string{"service": service, "cause": cause}).Counter("wasted_passes").Inc(passes)
}

// answered charges the passes of a request that was given up.
func (r *record) answered(a request.Answer) {
	if a.Outcome == core.OutcomeAnswered {
		return
	}
	for stage, passes := range r.served {
		r.wasted(r.stages[stage].Service, "given_up", passes)
	}
}

// noteEvents are the log events of the machine's notes.
var noteEvents = map[request.NoteKind]event.Event{
	request.NoteDropped:  event.EventDropped,
	request.NoteStayed:   event.AttemptKept,
	request.NoteNoHedge:  event.HedgeDeclined,
	request.NoteKept:     event.ResultKept,
	request.NoteLeft:     event.AttemptLeft,
	request.NoteSettling: event.RequestSettling,
	request.NoteTrial:    event.StageTried,
	request.NoteBug:      event.ChartViolated,
}

// note records a decision without an action of its own.
func (r *record) note(a *attempt, n request.Note) {
	r.decide(noteEvents[n.Kind], a, n.Reason, nil)
}

// notChosen records in the trace that no upstream was chosen; the router logged it.
func (r *record) notChosen(stage string, err error) {
	r.Traces.Add(r.req.ID, trace.Decision{
		AtUS:   time.Since(r.began).Microseconds(),
		Event:  event.RouteRefused.Number,
		Name:   event.RouteRefused.Name,
		Stage:  stage,
		Reason: err.Error(),
	})
}

// dropped records an event that belongs to another attempt.
func (r *record) dropped(a *attempt, key *wirepb.AttemptKey) {
	r.decide(event.EventDropped, a, fmt.Sprintf("the event names %s/%s/%d of incarnation %d",
		key.GetRequestId(), key.GetStage(), key.GetAttempt(), key.GetSideIncarnation()), nil)
}

// resolved records what a side said of a claimed attempt.
func (r *record) resolved(a *attempt, e request.Resolved) {
	r.decide(event.ClaimedPassResolved, a, resolutionNames[e.Resolution]+" "+e.Detail, nil)
}

var resolutionNames = map[request.Resolution]string{
	request.ResolvedNotRun:      "not run",
	request.ResolvedDone:        "done",
	request.ResolvedRunning:     "running",
	request.ResolvedGone:        "gone",
	request.ResolvedUnreachable: "unreachable",
}

// claimed records the verdict of a claim.
func (r *record) claimed(a *attempt, e request.Claimed) {
	r.decide(event.StageClaimed, a, claimNames[e.Status]+": "+e.Detail, nil)
}

var claimNames = map[request.ClaimStatus]string{
	request.ClaimMine:        "mine",
	request.ClaimDone:        "done",
	request.ClaimRunning:     "running",
	request.ClaimUnknown:     "unknown",
	request.ClaimUnavailable: "unavailable",
	request.ClaimNotRun:      "not run",
	request.ClaimInvalid:     "invalid",
}

// received measures the times between an attempt's events.
func (r *record) received(a *attempt, e request.Event) {
	if _, ok := e.(request.Chunk); !ok {
		return
	}
	now := time.Now()
	scope := r.Scope.Tagged(map[string]string{"service": r.stages[a.stage].Service})
	if a.last.IsZero() {
		scope.Histogram("stage_first_chunk_seconds", firstBuckets).RecordDuration(now.Sub(a.sent))
	} else {
		scope.Histogram("stage_gap_seconds", gapBuckets).RecordDuration(now.Sub(a.last))
	}
	a.last = now
}

// emitted measures what the caller sees.
func (r *record) emitted(index uint64) {
	now := time.Now()
	if index == 0 {
		r.Scope.Histogram("first_chunk_seconds", firstBuckets).RecordDuration(now.Sub(r.began))
	} else {
		r.Scope.Histogram("gap_seconds", gapBuckets).RecordDuration(now.Sub(r.lastChunk))
	}
	r.lastChunk = now
}

// Buckets of the histograms, from 5 ms and from 1 ms.
var (
	firstBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 20)
	gapBuckets   = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 20)
)
