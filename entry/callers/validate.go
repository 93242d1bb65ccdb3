package callers

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"acaciawinch/core/config"
	"acaciawinch/entry/pipeline"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// fallbackDeadline is used for a template that declares none.
const fallbackDeadline = 3 * time.Second

// validate reads a request and checks all that can be checked without an
// upstream. It returns a problem with outcome not_run otherwise.
func (s *Server) validate(w http.ResponseWriter, r *http.Request) (pipeline.Request, *Problem) {
	state, revision, ok := s.opts.State()
	if !ok {
		p := refuse(http.StatusServiceUnavailable, kindUnavailable, "admission.configuration", "no configuration is known yet").retryAfter(retryWhenStarting)
		return pipeline.Request{}, &p
	}
	workspace, template, problem := find(state, r.PathValue("workspace"), r.PathValue("pipeline"))
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
		return pipeline.Request{}, invalid("admission.key", "the idempotency key is no UTF-8")
	}
	body, problem := s.readBody(w, r)
	if problem != nil {
		return pipeline.Request{}, problem
	}
	id := s.newID()
	minted := key == ""
	if minted {
		key = string(id)
	}
	return pipeline.Request{
		ID:        id,
		Workspace: workspace,
		Template:  template,
		Revision:  revision,
		Key:       key,
		Minted:    minted,
		Deadline:  deadline,
		Body:      body,
	}, nil
}

// find returns the workspace and the template that a path names.
func find(state State, workspaceName, pipelineName string) (config.Workspace, config.Template, *Problem) {
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

// deadlineOf returns the time allowed: what the caller names, the workspace's or
// the template's default, capped by the template.
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

// readBody reads a JSON body within the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.opts.BodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		p := refuse(http.StatusRequestEntityTooLarge, kindTooLarge, "admission.body", "the body is larger than "+strconv.Itoa(s.opts.BodyBytes)+" bytes")
		return nil, &p
	case err != nil:
		return nil, invalid("admission.body", "the body can't be read")
	case !json.Valid(body):
		return nil, invalid("admission.body", "the body is no JSON")
	}
	return body, nil
}

// invalid returns the problem of a malformed request.
func invalid(step, detail string) *Problem {
	p := refuse(http.StatusBadRequest, kindInvalid, step, detail)
	return &p
}

// notFound returns the problem of an unknown name.
func notFound(step, detail string) *Problem {
	p := refuse(http.StatusNotFound, kindNotFound, step, detail)
	return &p
}
