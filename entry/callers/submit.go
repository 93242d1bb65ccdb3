package callers

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/memory"
	"acaciawinch/core/request"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/trace"
)

// Retry delays after a refusal at admission.
const (
	retryWhenFull       = time.Second
	retryWhenDraining   = time.Second
	retryWhenOverloaded = 100 * time.Millisecond
	retryWhenStarting   = 2 * time.Second
)

// writeGrace is the time after a request's deadline within which its response may
// still be written.
const writeGrace = 2 * time.Second

// submit handles POST …/requests: it validates, admits and runs one request.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	started := s.opts.Now()
	room := s.opts.Memory.Begin(memory.Bulk)
	defer room.Release()
	admitted, problem := s.validate(w, r, room)
	if problem != nil {
		s.refuse(w, r, *problem)
		return
	}
	stream := strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	ticket, problem := s.admit(admitted, stream)
	if problem != nil {
		s.refuse(w, r, *problem)
		return
	}
	result := pipeline.Result{}
	// Deferred, so that a panic of the handler releases the ticket too.
	defer func() { ticket.Done(s.opts.Now(), endOf(admitted, result), result.RetryAfter) }()
	if admitted.Workspace.MaxInFlight > 0 {
		permit := s.opts.Limiter.Acquire(admitted)
		defer permit.Release()
		admitted.Permit = permit
	}
	result = s.run(w, r, admitted, stream, started)
}

// endOf returns how an admitted request ended, for the adaptive limit of admission.
// Overload counts only if the caller allowed at least the default deadline of the template: a
// shorter one is no sign of overloaded upstreams.
func endOf(admitted pipeline.Request, result pipeline.Result) admit.End {
	defaultDeadline := time.Duration(admitted.Template.DeadlineMS) * time.Millisecond
	switch {
	case result.Outcome == core.OutcomeAnswered:
		return admit.EndCompleted
	case result.Cause == request.GiveUpOverload && admitted.Deadline >= defaultDeadline:
		return admit.EndOverloaded
	}
	return admit.EndOther
}

// admit requests admission at the gate.
func (s *Server) admit(request pipeline.Request, stream bool) (*admit.Ticket, *Problem) {
	ticket, refusal, retryAfter := s.opts.Gate.Admit(s.opts.Now(), admit.Request{
		Workspace: request.Workspace.Name,
		Pipeline:  request.Template.Name,
		Bound:     request.Workspace.MaxInFlight,
		Stream:    stream,
	})
	switch refusal {
	case admit.Admitted:
		return ticket, nil
	case admit.Overloaded:
		p := newProblem(http.StatusServiceUnavailable, kindOverload, "admission.pace", string(refusal)).withRetryAfter(max(retryAfter, retryWhenOverloaded))
		return nil, &p
	case admit.WorkspaceFull:
		p := newProblem(http.StatusTooManyRequests, kindLimit, "admission.workspace", string(refusal)).withRetryAfter(retryWhenFull)
		return nil, &p
	case admit.Draining:
		p := newProblem(http.StatusServiceUnavailable, kindUnavailable, "admission.draining", string(refusal)).withRetryAfter(retryWhenDraining)
		return nil, &p
	}
	p := newProblem(http.StatusServiceUnavailable, kindOverload, "admission.limit", string(refusal)).withRetryAfter(retryWhenFull)
	return nil, &p
}

// run runs an admitted request and ends its response.
func (s *Server) run(w http.ResponseWriter, r *http.Request, request pipeline.Request, stream bool, started time.Time) pipeline.Result {
	s.opts.Traces.Begin(trace.Trace{
		RequestID:  request.ID,
		Workspace:  request.Workspace.Name,
		Pipeline:   request.Template.Name,
		Revision:   request.Revision,
		AdmittedAt: started,
	})
	s.opts.Journal.Admitted(request, stream)
	w.Header().Set(headerRequestID, string(request.ID))
	control := http.NewResponseController(w)
	// A caller that stops reading must not keep the request open beyond its deadline.
	// Errors are ignored: not every ResponseWriter supports deadlines, but the HTTP
	// server's does.
	_ = control.SetWriteDeadline(started.Add(request.Deadline + writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // as above
	out := s.newWriter(w, request.ID, stream)
	result := s.opts.Runner.Run(r.Context(), request, out.chunk)
	sent := out.totals()
	end := trace.End{
		Outcome:  result.Outcome,
		Step:     result.Step,
		Detail:   result.Detail,
		Chunks:   sent.chunks,
		Digest:   sent.hex(),
		Duration: s.opts.Now().Sub(started),
	}
	s.opts.Traces.End(request.ID, end)
	s.opts.Journal.Ended(request, result, end)
	if result.Outcome == core.OutcomeAnswered {
		out.done(request.ID)
		return result
	}
	out.problem(problemOf(request.ID, result))
	return result
}

// newWriter returns the writer for the response format that the caller requested.
func (s *Server) newWriter(w http.ResponseWriter, id core.RequestID, stream bool) responseWriter {
	if stream {
		return newStreamWriter(w, id)
	}
	return newJSONWriter(w)
}

// problemOf returns the problem document for a request that did not complete.
func problemOf(id core.RequestID, result pipeline.Result) Problem {
	status, kind := http.StatusBadGateway, kindFailed
	switch result.Cause {
	case request.GiveUpOverload:
		status, kind = http.StatusServiceUnavailable, kindOverload
	case request.GiveUpLimit:
		status, kind = http.StatusTooManyRequests, kindLimit
	case request.GiveUpUnavailable, request.GiveUpNoUpstream:
		status, kind = http.StatusServiceUnavailable, kindUnavailable
	case request.GiveUpConflict:
		status, kind = http.StatusUnprocessableEntity, kindKeyReused
	case request.GiveUpDeadline:
		status, kind = http.StatusGatewayTimeout, kindDeadline
	}
	if result.Outcome == core.OutcomeUnknown {
		kind = kindUnknown
	}
	p := newProblem(status, kind, result.Step, result.Detail)
	p.Outcome = result.Outcome
	p.RequestID = id
	if result.RetryAfter > 0 {
		p = p.withRetryAfter(result.RetryAfter)
	}
	return p
}

// newID returns a new request id.
func (s *Server) newID() core.RequestID {
	return core.RequestID(fmt.Sprintf("%s-%016x", s.opts.Name, s.opts.NewID()))
}
