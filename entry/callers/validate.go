package callers

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"acaciawinch/core/config"
	"acaciawinch/core/memory"
	"acaciawinch/entry/pipeline"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// fallbackDeadline applies if neither the caller, the workspace nor the template sets a
// deadline.
const fallbackDeadline = 3 * time.Second

// validate reads a request, whose body takes its memory from room, and makes all checks that need no
// upstream. If a check fails, it returns a problem with the outcome not_run.
func (s *Server) validate(w http.ResponseWriter, r *http.Request, room *memory.Reservation) (pipeline.Request, *Problem) {
	state, revision, ok := s.opts.State()
	if !ok {
		p := newProblem(http.StatusServiceUnavailable, kindUnavailable, "admission.configuration", "no configuration has been loaded yet").withRetryAfter(retryWhenStarting)
		return pipeline.Request{}, &p
	}
	workspace, template, problem := findTemplate(state, r.PathValue("workspace"), r.PathValue("pipeline"))
	if problem != nil {
		return pipeline.Request{}, problem
	}
	deadline, problem := deadlineOf(r.Header.Get(headerDeadline), workspace, template)
	if problem != nil {
		return pipeline.Request{}, problem
	}
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return pipeline.Request{}, invalid("admission.key", "the idempotency key is longer than 255 bytes")
	}
	if !utf8.ValidString(key) {
		return pipeline.Request{}, invalid("admission.key", "the idempotency key is not valid UTF-8")
	}
	body, problem := s.readBody(w, r, room)
	if problem != nil {
		return pipeline.Request{}, problem
	}
	id := s.newID()
	generated := key == ""
	if generated {
		key = string(id)
	}
	return pipeline.Request{
		ID:           id,
		Workspace:    workspace,
		Template:     template,
		Revision:     revision,
		Key:          key,
		KeyGenerated: generated,
		Deadline:     deadline,
		Body:         body,
	}, nil
}

// findTemplate returns the workspace and the pipeline template that the request path names,
// if the workspace may use the pipeline.
func findTemplate(state State, workspaceName, pipelineName string) (config.Workspace, config.Template, *Problem) {
	workspace, ok := state.Workspace(workspaceName)
	if !ok {
		return config.Workspace{}, config.Template{}, notFound("admission.workspace", "no such workspace: "+workspaceName)
	}
	template, ok := state.Template(pipelineName)
	if !ok || !slices.Contains(workspace.Pipelines, pipelineName) {
		return config.Workspace{}, config.Template{}, notFound("admission.pipeline", "the workspace has no such pipeline: "+pipelineName)
	}
	return workspace, template, nil
}

// deadlineOf returns the deadline of a request relative to its start: the caller's
// value, else the default of the workspace, else that of the template. The template's
// maximum caps it.
func deadlineOf(header string, workspace config.Workspace, template config.Template) (time.Duration, *Problem) {
	deadline := time.Duration(template.DeadlineMS) * time.Millisecond
	if workspace.DeadlineMS > 0 {
		deadline = time.Duration(workspace.DeadlineMS) * time.Millisecond
	}
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return 0, invalid("admission.deadline", headerDeadline+" must be a positive number of milliseconds")
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	if deadline <= 0 {
		deadline = fallbackDeadline
	}
	if template.MaxDeadlineMS > 0 {
		deadline = min(deadline, time.Duration(template.MaxDeadlineMS)*time.Millisecond)
	}
	return deadline, nil
}

// readBody reads a JSON body of at most BodyBytes bytes into memory that is reserved before.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, room *memory.Reservation) ([]byte, *Problem) {
	limit := int64(s.opts.BodyBytes)
	// A longer body is read up to the limit only, which reports that it is too large.
	body, err := memory.ReadBody(room, http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit+1), limit)
	var tooLarge *http.MaxBytesError
	var noRoom *memory.NoRoomError
	switch {
	case errors.As(err, &noRoom):
		p := newProblem(http.StatusServiceUnavailable, kindOverload, "admission.memory", err.Error()).withRetryAfter(retryWhenFull)
		return nil, &p
	case errors.As(err, &tooLarge):
		p := newProblem(http.StatusRequestEntityTooLarge, kindTooLarge, "admission.body", "the body is larger than "+strconv.Itoa(s.opts.BodyBytes)+" bytes")
		return nil, &p
	case err != nil:
		return nil, invalid("admission.body", "the body cannot be read")
	case !json.Valid(body):
		return nil, invalid("admission.body", "the body is not valid JSON")
	}
	return body, nil
}

// invalid returns the problem of a malformed request.
func invalid(step, detail string) *Problem {
	p := newProblem(http.StatusBadRequest, kindInvalid, step, detail)
	return &p
}

// notFound returns the problem of an unknown name.
func notFound(step, detail string) *Problem {
	p := newProblem(http.StatusNotFound, kindNotFound, step, detail)
	return &p
}
