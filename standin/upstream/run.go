package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"acaciawinch/standin/answer"
	"acaciawinch/standin/internal/jsonhttp"
	"acaciawinch/standin/ledger"
)

// line is one line of the answer of POST /v1/run.
type line struct {
	Chunk []byte  `json:"chunk,omitempty"`
	Done  bool    `json:"done,omitempty"`
	Cost  *uint64 `json:"cost,omitempty"`
	Error string  `json:"error,omitempty"`
}

// refusal is the answer of a call that was not run.
type refusal struct {
	Refused string `json:"refused"`
}

// run answers POST /v1/run.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var call Call
	if !jsonhttp.Read(w, r, &call) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !s.enter(call.ID, cancel) {
		jsonhttp.Write(w, http.StatusConflict, refusal{Refused: "leaving"})
		return
	}
	defer s.leave(call.ID)
	s.noteStatus()
	s.carryOut(ctx, call, &stream{writer: w, late: s.late})
}

// carryOut runs the call and records its course.
func (s *Server) carryOut(ctx context.Context, call Call, out *stream) {
	record := ledger.Record{
		ID:          call.ID,
		Workspace:   call.Workspace,
		InputDigest: answer.Digest(call.Input),
	}
	started := func() {
		record.Event = ledger.Start
		s.record(record)
	}
	cost, err := s.worker.Run(ctx, call, Output{
		Started: started,
		Emit:    func(chunk []byte) error { return out.emit(ctx, chunk) },
	})
	if errors.Is(err, ErrNotRun) {
		jsonhttp.Write(out.writer, http.StatusConflict, refusal{Refused: err.Error()})
		return
	}
	record.Cost = cost
	s.close(record, err, out)
}

// close records how a call that started ended, and ends its answer.
func (s *Server) close(record ledger.Record, err error, out *stream) {
	switch {
	case err != nil && record.Event == "":
		// Cancelled before it started: nothing was run.
		return
	case err != nil:
		record.Event = ledger.Cancel
		s.record(record)
	case s.conditions.FailThis():
		record.Event = ledger.Error
		s.record(record)
		_ = out.write(line{Error: "the upstream failed"}) // the ledger has it; a caller that is gone needs no answer
	default:
		record.Event = ledger.End
		s.record(record)
		_ = out.write(line{Done: true, Cost: &record.Cost}) // as above
	}
}

// late returns how long an answer's first chunk is held back.
func (s *Server) late() time.Duration {
	control, _ := s.conditions.Get()
	return time.Duration(control.LateMS) * time.Millisecond
}

// stream writes one call's answer as JSON lines.
type stream struct {
	writer http.ResponseWriter
	late   func() time.Duration
	began  bool
}

// emit writes one chunk; the first is held back by the switch for late answers.
func (s *stream) emit(ctx context.Context, chunk []byte) error {
	if !s.began {
		if err := sleep(ctx, s.late()); err != nil {
			return err
		}
	}
	return s.write(line{Chunk: chunk})
}

// write writes one line and sends it off.
func (s *stream) write(l line) error {
	if !s.began {
		s.began = true
		s.writer.Header().Set("Content-Type", "application/x-ndjson")
	}
	if err := json.NewEncoder(s.writer).Encode(l); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}
