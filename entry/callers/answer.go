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

// Answer is a whole answer as JSON. Exactly one of Output and OutputBase64 is
// set unless the output is empty.
type Answer struct {
	RequestID core.RequestID `json:"request_id"`
	Outcome   core.Outcome   `json:"outcome"`
	// Output is the last stage's output if it is UTF-8 text.
	Output string `json:"output"`
	// OutputBase64 is the output otherwise.
	OutputBase64 []byte `json:"output_base64,omitempty"`
	// Chunks is how many chunks the last stage made, and Digest the xxhash64 of
	// their bytes in order, as 16 hexadecimal digits.
	Chunks int    `json:"chunks"`
	Digest string `json:"digest"`
}

// ChunkEvent is the data of one server-sent event "chunk".
type ChunkEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text"`
	Base64 []byte `json:"base64,omitempty"`
}

// DoneEvent is the data of the closing event "done".
type DoneEvent struct {
	RequestID core.RequestID `json:"request_id"`
	Outcome   core.Outcome   `json:"outcome"`
	Chunks    int            `json:"chunks"`
	Digest    string         `json:"digest"`
}

// writer delivers one answer to a caller. Chunk is called in order.
type writer interface {
	// chunk delivers one chunk; an error means that the caller is gone.
	chunk(index uint64, data []byte) error
	// done closes a whole answer.
	done(id core.RequestID)
	// problem closes an answer that is not whole.
	problem(p Problem)
	// delivered counts the chunks so far.
	delivered() *tally
}

// tally counts and digests the chunks that were delivered.
type tally struct {
	chunks int
	digest *xxhash.Digest
}

// add takes one chunk into account.
func (t *tally) add(data []byte) {
	t.chunks++
	_, _ = t.digest.Write(data) // never fails
}

// delivered implements writer.
func (t *tally) delivered() *tally { return t }

// hex returns the digest as it is shown to callers.
func (t *tally) hex() string { return fmt.Sprintf("%016x", t.digest.Sum64()) }

// jsonWriter collects the chunks and answers with one JSON document.
type jsonWriter struct {
	tally
	w      http.ResponseWriter
	output []byte
}

// newJSONWriter returns a writer of one JSON document.
func newJSONWriter(w http.ResponseWriter) *jsonWriter {
	return &jsonWriter{tally: tally{digest: xxhash.New()}, w: w}
}

// chunk implements writer.
func (a *jsonWriter) chunk(_ uint64, data []byte) error {
	a.add(data)
	a.output = append(a.output, data...)
	return nil
}

// done implements writer.
func (a *jsonWriter) done(id core.RequestID) {
	answer := Answer{RequestID: id, Outcome: core.OutcomeAnswered, Chunks: a.chunks, Digest: a.hex()}
	if utf8.Valid(a.output) {
		answer.Output = string(a.output)
	} else {
		answer.OutputBase64 = a.output
	}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(answer) // the caller may be gone
}

// problem implements writer.
func (a *jsonWriter) problem(p Problem) { p.write(a.w) }

// streamWriter answers with server-sent events. Until the first chunk a problem
// is sent as a plain problem document, behind it as an event.
type streamWriter struct {
	tally
	w       http.ResponseWriter
	control *http.ResponseController
	id      core.RequestID
	open    bool
}

// newStreamWriter returns a writer of server-sent events.
func newStreamWriter(w http.ResponseWriter, id core.RequestID) *streamWriter {
	return &streamWriter{
		tally:   tally{digest: xxhash.New()},
		w:       w,
		control: http.NewResponseController(w),
		id:      id,
	}
}

// chunk implements writer.
func (a *streamWriter) chunk(index uint64, data []byte) error {
	a.begin()
	a.add(data)
	event := ChunkEvent{Index: index}
	if utf8.Valid(data) {
		event.Text = string(data)
	} else {
		event.Base64 = data
	}
	return a.send("chunk", strconv.FormatUint(index, 10), event)
}

// done implements writer.
func (a *streamWriter) done(id core.RequestID) {
	a.begin()
	event := DoneEvent{RequestID: id, Outcome: core.OutcomeAnswered, Chunks: a.chunks, Digest: a.hex()}
	_ = a.send("done", "", event) // the caller may be gone
}

// problem implements writer.
func (a *streamWriter) problem(p Problem) {
	if !a.open {
		p.write(a.w)
		return
	}
	_ = a.send("problem", "", p) // the caller may be gone
}

// begin sends the headers once.
func (a *streamWriter) begin() {
	if a.open {
		return
	}
	a.open = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

// send writes and flushes one event.
func (a *streamWriter) send(name, id string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	if _, err := fmt.Fprintf(a.w, "event: %s\n%sdata: %s\n\n", name, id, encoded); err != nil {
		return err
	}
	return a.control.Flush()
}
