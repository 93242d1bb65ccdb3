package entry

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/entry/callers"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/trace"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// journal writes the log lines of requests and counts their outcomes. It implements
// callers.Journal.
type journal struct {
	logger *observe.Logger
	scope  tally.Scope
}

// Admitted implements callers.Journal.
func (j journal) Admitted(request pipeline.Request, stream bool) {
	j.logger.Event(event.RequestAdmitted, observe.Fields{
		"request":     request.ID,
		"workspace":   request.Workspace.Name,
		"pipeline":    request.Template.Name,
		"revision":    request.Revision,
		"deadline_ms": request.Deadline.Milliseconds(),
		"stream":      stream,
		"keyed":       request.Key != string(request.ID),
	})
}

// Refused implements callers.Journal.
func (j journal) Refused(workspace, pipeline string, problem callers.Problem) {
	j.scope.Tagged(map[string]string{"outcome": string(core.OutcomeNotRun)}).Counter("requests").Inc(1)
	j.logger.Event(event.RequestRefused, observe.Fields{
		"workspace": workspace,
		"pipeline":  pipeline,
		"step":      problem.Step,
		"status":    problem.Status,
		"detail":    problem.Detail,
	})
}

// Ended implements callers.Journal.
func (j journal) Ended(request pipeline.Request, result pipeline.Result, end trace.End) {
	j.scope.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("requests").Inc(1)
	if result.Outcome == core.OutcomeAnswered {
		j.logger.Event(event.RequestAnswered, observe.Fields{
			"request":     request.ID,
			"chunks":      end.Chunks,
			"digest":      end.Digest,
			"duration_us": end.Duration.Microseconds(),
		})
		return
	}
	j.logger.Event(event.RequestGivenUp, observe.Fields{
		"request":        request.ID,
		"outcome":        result.Outcome,
		"cause":          result.Cause,
		"step":           result.Step,
		"detail":         result.Detail,
		"retry_after_ms": result.RetryAfter.Milliseconds(),
		"duration_us":    end.Duration.Microseconds(),
	})
}
