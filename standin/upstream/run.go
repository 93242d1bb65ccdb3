package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"acaciawinch/standin/internal/jsonhttp"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/output"
)

// responseLine is one line of the response to POST /v1/run.
type responseLine struct {
	Chunk []byte  `json:"chunk,omitempty"`
	Done  bool    `json:"done,omitempty"`
	Cost  *uint64 `json:"cost,omitempty"`
	Error string  `json:"error,omitempty"`
}

// rejection is the response to a call that was not run.
type rejection struct {
	Refused string `json:"refused"`
}

// run handles POST /v1/run.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var call Call
	if !jsonhttp.Read(w, r, &call) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !s.addCall(call.ID, cancel) {
		jsonhttp.Write(w, http.StatusConflict, rejection{Refused: "leaving"})
		return
	}
	defer s.removeCall(call.ID)
	s.publishStatus()
	s.execute(ctx, call, &stream{writer: w, delay: s.firstChunkDelay})
}

// execute runs the call and records its start and end in the ledger.
func (s *Server) execute(ctx context.Context, call Call, out *stream) {
	record := ledger.Record{
		ID:          call.ID,
		Workspace:   call.Workspace,
		InputDigest: output.Digest(call.Input),
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
		jsonhttp.Write(out.writer, http.StatusConflict, rejection{Refused: err.Error()})
		return
	}
	record.Cost = cost
	s.finishCall(record, err, out)
}

// finishCall records the end of a started call and completes its response.
func (s *Server) finishCall(record ledger.Record, err error, out *stream) {
	switch {
	case err != nil && record.Event == "":
		// The call was cancelled before it started, so there is nothing to record.
		return
	case err != nil:
		record.Event = ledger.Cancel
		s.record(record)
	case s.conditions.ConsumeFailure():
		record.Event = ledger.Error
		s.record(record)
		_ = out.write(responseLine{Error: "the upstream failed"}) // the ledger has the failure; a disconnected caller needs no response
	default:
		record.Event = ledger.End
		s.record(record)
		_ = out.write(responseLine{Done: true, Cost: &record.Cost}) // the ledger has the end; a disconnected caller needs no response
	}
}

// firstChunkDelay returns the delay before the first chunk of a response.
func (s *Server) firstChunkDelay() time.Duration {
	control, _ := s.conditions.Get()
	return time.Duration(control.LateMS) * time.Millisecond
}

// stream writes the response to one call as JSON lines.
type stream struct {
	writer  http.ResponseWriter
	delay   func() time.Duration
	started bool
}

// emit writes one chunk. It delays the first one by Control.LateMS.
func (s *stream) emit(ctx context.Context, chunk []byte) error {
	if !s.started {
		if err := sleep(ctx, s.delay()); err != nil {
			return err
		}
	}
	return s.write(responseLine{Chunk: chunk})
}

// write writes one line and flushes it.
func (s *stream) write(l responseLine) error {
	if !s.started {
		s.started = true
		s.writer.Header().Set("Content-Type", "application/x-ndjson")
	}
	if err := json.NewEncoder(s.writer).Encode(l); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}
