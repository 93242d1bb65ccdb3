package worker

import (
	"fmt"
	"net/http"
)

// Crashed returns what is closed once the worker has crashed.
func (w *Worker) Crashed() <-chan struct{} { return w.crashed }

// CrashedBy returns the request under which the worker crashed, and false if it has not.
func (w *Worker) CrashedBy() (Run, bool) {
	select {
	case <-w.crashed:
		return w.crashedBy, true
	default:
		return Run{}, false
	}
}

// crash ends the worker at once, with all that it runs.
func (w *Worker) crash(under Run) {
	w.mu.Lock()
	first := w.crashedBy.ID == ""
	if first {
		w.crashedBy = under
	}
	w.mu.Unlock()
	w.Close()
	if first {
		close(w.crashed)
	}
	panic(http.ErrAbortHandler)
}

// sendUnframed writes an answer that ends with its connection, and ends that.
func (w *Worker) sendUnframed(out http.ResponseWriter, id string) {
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("worker: the connection can't be taken over: " + err.Error())
	}
	defer func() { _ = conn.Close() }()                                                                                     // the answer is on its way or its reader gone
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: stamp.%s\r\n\r\nanswer", id, w.ID) // Flush tells
	_ = buffer.Flush()                                                                                                      // a caller that is gone needs no answer
}

// sendForeign writes the whole answer of another request on the connection.
func sendForeign(out http.ResponseWriter) {
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("worker: the connection can't be taken over: " + err.Error())
	}
	defer func() { _ = conn.Close() }()                                                                                          // the answer is on its way or its reader gone
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother") // Flush tells
	_ = buffer.Flush()                                                                                                           // a caller that is gone needs no answer
	panic(http.ErrAbortHandler)
}
