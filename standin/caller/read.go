package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/output"
)

// maxEventBytes bounds one line of a server-sent event.
const maxEventBytes = 8 << 20

// jsonResponse is the body of a JSON response.
type jsonResponse struct {
	RequestID    string       `json:"request_id"`
	Outcome      core.Outcome `json:"outcome"`
	Output       string       `json:"output"`
	OutputBase64 []byte       `json:"output_base64"`
	Chunks       int          `json:"chunks"`
	Digest       string       `json:"digest"`
}

// problemDocument is the problem document of a refusal or failure.
type problemDocument struct {
	Type         string       `json:"type"`
	Detail       string       `json:"detail"`
	Outcome      core.Outcome `json:"outcome"`
	RequestID    string       `json:"request_id"`
	Step         string       `json:"step"`
	RetryAfterMS int64        `json:"retry_after_ms"`
}

// chunkEvent is the data of a "chunk" event.
type chunkEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text"`
	Base64 []byte `json:"base64"`
}

// doneEvent is the data of the closing "done" event.
type doneEvent struct {
	RequestID string       `json:"request_id"`
	Outcome   core.Outcome `json:"outcome"`
	Chunks    int          `json:"chunks"`
	Digest    string       `json:"digest"`
}

// readJSON reads a JSON response and checks it.
func (c *Client) readJSON(body io.Reader, r Request, result *Result) {
	var got jsonResponse
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		result.Verdict = Unreadable
		result.Detail = err.Error()
		return
	}
	result.RequestID = got.RequestID
	result.Outcome = got.Outcome
	chunk := got.OutputBase64
	if chunk == nil {
		chunk = []byte(got.Output)
	}
	result.Chunks = [][]byte{chunk}
	if got.Digest != output.Digest(chunk) {
		result.Verdict = Mismatch
		result.Detail = "the digest does not match the output"
		return
	}
	c.checkOutput(r, result)
}

// readProblem reads a problem document.
func readProblem(body io.Reader, result *Result) {
	var got problemDocument
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		result.Verdict = Unreadable
		result.Detail = err.Error()
		return
	}
	result.recordProblem(got)
}

// recordProblem records a problem document in the result.
func (r *Result) recordProblem(p problemDocument) {
	r.Verdict = Problem
	r.Outcome = p.Outcome
	r.RequestID = p.RequestID
	r.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
	r.Detail = strings.TrimSpace(p.Step + " " + p.Detail)
}

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// readStream reads server-sent events up to the closing event and checks them.
func (c *Client) readStream(body io.Reader, r Request, result *Result) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	last := result.Began
	for {
		e, ok := nextEvent(scanner)
		if !ok {
			result.Verdict = Truncated
			result.Detail = fmt.Sprintf("the stream ended behind %d chunks without its closing event", len(result.Chunks))
			return
		}
		switch e.name {
		case "chunk":
			if !recordChunk(e, r, result) {
				return
			}
			last = result.recordChunkTime(last)
		case "done":
			c.checkDone(e, r, result)
			return
		case "problem":
			readProblem(bytes.NewReader(e.data), result)
			return
		}
	}
}

// nextEvent reads one event, or returns false at the end of the stream.
func nextEvent(scanner *bufio.Scanner) (event, bool) {
	var e event
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			e.name = value
		case "data":
			e.data = append(e.data, value...)
		case "":
			if e.name != "" {
				return e, true
			}
		}
	}
	return event{}, false
}

// recordChunk records one chunk. It returns false if the chunk is malformed or out
// of order.
func recordChunk(e event, r Request, result *Result) bool {
	var chunk chunkEvent
	err := json.Unmarshal(e.data, &chunk)
	if err != nil || chunk.Index != uint64(len(result.Chunks)) {
		result.Verdict = Mismatch
		result.Detail = fmt.Sprintf("chunk %d came as number %d", chunk.Index, len(result.Chunks))
		return false
	}
	data := chunk.Base64
	if data == nil {
		data = []byte(chunk.Text)
	}
	result.Chunks = append(result.Chunks, data)
	if r.OnChunk != nil {
		r.OnChunk(data)
	}
	return true
}

// recordChunkTime records the arrival of a chunk and returns its time; last is the
// time of the previous chunk.
func (r *Result) recordChunkTime(last time.Time) time.Time {
	now := time.Now()
	if len(r.Chunks) == 1 {
		r.First = now.Sub(r.Began)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(last))
	}
	return now
}

// checkDone checks the closing event against the received chunks, and the chunks
// against the expected output.
func (c *Client) checkDone(e event, r Request, result *Result) {
	var done doneEvent
	if err := json.Unmarshal(e.data, &done); err != nil {
		result.Verdict = Truncated
		result.Detail = err.Error()
		return
	}
	result.RequestID = done.RequestID
	result.Outcome = done.Outcome
	if done.Chunks != len(result.Chunks) || done.Digest != output.Digest(output.Join(result.Chunks)) {
		result.Verdict = Mismatch
		result.Detail = "the closing event does not match the chunks"
		return
	}
	c.checkOutput(r, result)
}
