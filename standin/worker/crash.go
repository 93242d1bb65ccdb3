package worker

import (
	"fmt"
	"net/http"
)

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
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("worker: cannot hijack the connection: " + err.Error())
	}
	defer func() { _ = conn.Close() }()                                                                                      // the response is sent or its reader has disconnected
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\n\r\nanswer", id, Stamp(w.ID)) // Flush returns the error
	_ = buffer.Flush()                                                                                                       // a caller that has disconnected needs no response
}

// sendForeign writes the complete response of another request and closes the connection. It panics to
// abort the request that it serves, so it does not return.
func sendForeign(out http.ResponseWriter) {
	conn, buffer, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("worker: cannot hijack the connection: " + err.Error())
	}
	defer func() { _ = conn.Close() }()                                                                                          // the response is sent or its reader has disconnected
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Stamp: x\r\nContent-Length: 5\r\n\r\nother") // Flush returns the error
	_ = buffer.Flush()                                                                                                           // a caller that has disconnected needs no response
	panic(http.ErrAbortHandler)
}
