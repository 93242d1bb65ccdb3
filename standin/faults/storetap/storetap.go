// Package storetap stands between one process and the object API, so that a
// trial can hold a write before it takes effect, or its answer behind that.
package storetap

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"acaciawinch/standin/faults/hold"
)

// Point names where a call is on its way.
type Point string

// The points at which calls can be held.
const (
	// Before is a call that has not reached the store.
	Before Point = "before"
	// After is an answer that has not reached the process.
	After Point = "after"
)

// Message is one call on its way.
type Message struct {
	Point   Point
	Process string
	Method  string
	Path    string
	Body    []byte
	// Status is the answer's status at the point After.
	Status int
}

// Board holds calls of all taps of a trial.
type Board = hold.Board[Message]

// Tap stands before the object API for one process.
type Tap struct {
	process string
	target  string
	board   *Board
	client  *http.Client
	server  *http.Server
	// addresses, if set, are rewritten in the values that pass.
	addresses atomic.Pointer[addresses]
}

// New returns a tap that listens on address before the object API at target,
// both IP:port.
func New(process, address, target string, board *Board) (*Tap, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Tap{
		process: process,
		target:  target,
		board:   board,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.pass)}
	go func() { _ = t.server.Serve(listener) }() // ends with Close
	return t, nil
}

// Close ends the tap and its connections.
func (t *Tap) Close() {
	t.server.Close()
	t.client.CloseIdleConnections()
}

// pass passes one call on. Any failure behind the tap breaks the connection
// before it, as it would without the tap.
func (t *Tap) pass(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body = t.written(body)
	message := Message{Point: Before, Process: t.process, Method: r.Method, Path: r.URL.Path, Body: body}
	t.board.Pass(message)
	response, err := t.send(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	message.Point = After
	message.Status = response.StatusCode
	t.board.Pass(message)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(t.read(answer)) // the process may be gone
}

// send passes the call on to the object API.
func (t *Tap) send(r *http.Request, body []byte) (*http.Response, error) {
	target := *r.URL
	target.Scheme = "http"
	target.Host = t.target
	out, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.Header = r.Header.Clone()
	return t.client.Do(out)
}
