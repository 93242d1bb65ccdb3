package callers

import (
	"encoding/json"
	"net/http"

	"acaciawinch/core"
)

// Status is the JSON document that reports the outcome of an earlier request.
type Status struct {
	RequestID core.RequestID `json:"request_id"`
	Outcome   core.Outcome   `json:"outcome"`
	Step      string         `json:"step,omitempty"`
	Detail    string         `json:"detail,omitempty"`
	Chunks    int            `json:"chunks,omitempty"`
	Digest    string         `json:"digest,omitempty"`
}

// lookup handles GET …/requests/{id}.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	workspace, pipelineName := r.PathValue("workspace"), r.PathValue("pipeline")
	id := core.RequestID(r.PathValue("id"))
	found, ok := s.opts.Finder.Find(r.Context(), workspace, pipelineName, id, r.Header.Get(headerKey))
	if !ok || found.Workspace != workspace || found.Pipeline != pipelineName {
		p := *notFound("lookup", "no record of this request exists")
		p.Outcome = core.OutcomeUnknown
		p.RequestID = id
		p.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{ // the caller may have disconnected
		RequestID: found.RequestID,
		Outcome:   found.Outcome,
		Step:      found.Step,
		Detail:    found.Detail,
		Chunks:    found.Chunks,
		Digest:    found.Digest,
	})
}
