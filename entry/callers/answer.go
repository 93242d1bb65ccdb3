package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core"
)

// Response is the JSON document of a complete response. Exactly one of Output and OutputBase64
// is set unless the output is empty.
type Response struct {
	RequestID core.RequestID `json:"request_id"`
	Outcome   core.Outcome   `json:"outcome"`
	// Output is the last stage's output if it is UTF-8 text.
	Output string `json:"output"`
	// OutputBase64 is the last stage's output if it is not UTF-8 text.
	OutputBase64 []byte `json:"output_base64,omitempty"`
	// Chunks is the number of chunks that the last stage produced. Digest is the
	// xxhash64 of their bytes in order, as 16 hexadecimal digits.
	Chunks int    `json:"chunks"`
	Digest string `json:"digest"`
}

// ChunkEvent is the data of a server-sent event "chunk".
type ChunkEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text"`
	Base64 []byte `json:"base64,omitempty"`
}

// DoneEvent is the data of the final server-sent event "done".
type DoneEvent struct {
	RequestID core.RequestID `json:"request_id"`
	Outcome   core.Outcome   `json:"outcome"`
	Chunks    int            `json:"chunks"`
	Digest    string         `json:"digest"`
}

// responseWriter sends the response to one request. Chunks are passed to it in order.
type responseWriter interface {
	// chunk sends one chunk. An error means that the caller has disconnected.
	chunk(index uint64, data []byte) error
	// done ends a complete response.
	done(id core.RequestID)
	// problem ends a response that is not complete.
	problem(p Problem)
	// totals returns the count and digest of the chunks so far.
	totals() *deliveryTotals
}

// deliveryTotals holds the count and digest of the chunks that were sent.
type deliveryTotals struct {
	chunks int
	digest *xxhash.Digest
}

// add counts one chunk and adds it to the digest.
func (t *deliveryTotals) add(data []byte) {
	t.chunks++
	_, _ = t.digest.Write(data) // never fails
}

// totals implements responseWriter.
func (t *deliveryTotals) totals() *deliveryTotals { return t }

// hex returns the digest in the form that callers receive.
func (t *deliveryTotals) hex() string { return fmt.Sprintf("%016x", t.digest.Sum64()) }

// jsonWriter collects the chunks and sends them in one JSON document.
type jsonWriter struct {
	deliveryTotals
	w      http.ResponseWriter
	output []byte
}

// newJSONWriter returns a jsonWriter that sends to w.
func newJSONWriter(w http.ResponseWriter) *jsonWriter {
	return &jsonWriter{deliveryTotals: deliveryTotals{digest: xxhash.New()}, w: w}
}

// chunk implements responseWriter.
func (j *jsonWriter) chunk(_ uint64, data []byte) error {
	j.add(data)
	j.output = append(j.output, data...)
	return nil
}

// done implements responseWriter.
func (j *jsonWriter) done(id core.RequestID) {
	response := Response{RequestID: id, Outcome: core.OutcomeAnswered, Chunks: j.chunks, Digest: j.hex()}
	if utf8.Valid(j.output) {
		response.Output = string(j.output)
	} else {
		response.OutputBase64 = j.output
	}
	j.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(j.w).Encode(response) // the caller may have disconnected
}

// problem implements responseWriter.
func (j *jsonWriter) problem(p Problem) { p.write(j.w) }

// streamWriter sends server-sent events. Before the first chunk, a problem is sent as
// a plain problem document; after it, as an event.
type streamWriter struct {
	deliveryTotals
	w           http.ResponseWriter
	control     *http.ResponseController
	id          core.RequestID
	headersSent bool
}

// newStreamWriter returns a streamWriter that sends the response of request id to w.
func newStreamWriter(w http.ResponseWriter, id core.RequestID) *streamWriter {
	return &streamWriter{
		deliveryTotals: deliveryTotals{digest: xxhash.New()},
		w:              w,
		control:        http.NewResponseController(w),
		id:             id,
	}
}

// chunk implements responseWriter.
func (s *streamWriter) chunk(index uint64, data []byte) error {
	s.sendHeaders()
	s.add(data)
	event := ChunkEvent{Index: index}
	if utf8.Valid(data) {
		event.Text = string(data)
	} else {
		event.Base64 = data
	}
	return s.send("chunk", strconv.FormatUint(index, 10), event)
}

// done implements responseWriter.
func (s *streamWriter) done(id core.RequestID) {
	s.sendHeaders()
	event := DoneEvent{RequestID: id, Outcome: core.OutcomeAnswered, Chunks: s.chunks, Digest: s.hex()}
	_ = s.send("done", "", event) // the caller may have disconnected
}

// problem implements responseWriter.
func (s *streamWriter) problem(p Problem) {
	if !s.headersSent {
		p.write(s.w)
		return
	}
	_ = s.send("problem", "", p) // the caller may have disconnected
}

// sendHeaders sends the response headers once.
func (s *streamWriter) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// send writes and flushes one event.
func (s *streamWriter) send(name, id string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	if _, err := fmt.Fprintf(s.w, "event: %s\n%sdata: %s\n\n", name, id, encoded); err != nil {
		return err
	}
	return s.control.Flush()
}
