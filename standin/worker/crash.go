package worker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// CrashPart is a part of prompts that crashes the workers that run a request with it, unless it is the last
// part of the prompt.
type CrashPart struct {
	ID string
	// InTen is how many of ten runs crash their workers, spread evenly over the runs that Runs counts.
	InTen int
	Runs  *atomic.Int64
	// After is the time from the start of the run to the crash.
	After time.Duration
}

// SharedParts returns the IDs of all parts of the prompt of a run but the last.
func (r Run) SharedParts() []string {
	var ids []string
	for entry := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// crashingPart returns the part of its prompt with which a run crashes the worker, and false if there is none.
func (w *Worker) crashingPart(run Run) (CrashPart, bool) {
	if len(w.CrashParts) == 0 {
		return CrashPart{}, false
	}
	shared := run.SharedParts()
	for _, part := range w.CrashParts {
		if slices.Contains(shared, part.ID) && part.strikes() {
			return part, true
		}
	}
	return CrashPart{}, false
}

// strikes counts a run and reports whether it crashes its worker.
func (p CrashPart) strikes() bool {
	number := int(p.Runs.Add(1)) - 1
	return number*p.InTen%10 < p.InTen
}

// sendFirstEvent writes the head of a stream without a length and its first event.
func (w *Worker) sendFirstEvent(out http.ResponseWriter, id string) {
	removeMark(out)
	out.Header().Set("X-Attempt-Id", id)
	out.Header().Set("X-Response-Stamp", Stamp(w.ID))
	out.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(out, w.event(id, 1))      // the connection closes next
	_ = http.NewResponseController(out).Flush() // as above
}

// Crashed returns a channel that is closed when the worker has crashed.
func (w *Worker) Crashed() <-chan struct{} { return w.crashed }

// CrashedBy returns the request that crashed the worker, and false if it has not crashed.
func (w *Worker) CrashedBy() (Run, bool) {
	select {
	case <-w.crashed:
		return w.crashedBy, true
	default:
		return Run{}, false
	}
}

// crash stops the worker at once, with all requests in flight. It panics to abort the request that
// it serves, so it does not return. Crashed reports the crash before anybody can notice it by a closed
// connection: closing all of them takes a while on a busy machine.
func (w *Worker) crash(cause Run) {
	w.mu.Lock()
	first := w.crashedBy.ID == ""
	if first {
		w.crashedBy = cause
	}
	w.mu.Unlock()
	if first {
		close(w.crashed)
	}
	w.Close()
	panic(http.ErrAbortHandler)
}

// sendUnframed writes the start of a response that ends with its connection, and closes the
// connection.
func (w *Worker) sendUnframed(out http.ResponseWriter, id string) {
	conn, buffer := hijack(out)
	defer func() { _ = conn.Close() }()                                                                                      // the response is sent or its reader has disconnected
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\n\r\nanswer", id, Stamp(w.ID)) // Flush returns the error
	_ = buffer.Flush()                                                                                                       // a caller that has disconnected needs no response
}

// sendForeign writes the complete response of another request and closes the connection. It panics to
// abort the request that it serves, so it does not return.
func sendForeign(out http.ResponseWriter) {
	conn, buffer := hijack(out)
	defer func() { _ = conn.Close() }()                                                                                          // the response is sent or its reader has disconnected
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother") // Flush returns the error
	_ = buffer.Flush()                                                                                                           // a caller that has disconnected needs no response
	panic(http.ErrAbortHandler)
}
