// Package storetap is a proxy between one process and the object API. It lets a test
// hold a write before it takes effect, or hold the response afterwards.
package storetap

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"acaciawinch/standin/faults/hold"
)

// Point names a position on the path of a call.
type Point string

// The points at which calls can be held.
const (
	// Before is a request that has not reached the store.
	Before Point = "before"
	// After is a response that has not reached the process.
	After Point = "after"
)

// Message is one call in transit.
type Message struct {
	Point   Point
	Process string
	Method  string
	Path    string
	Body    []byte
	// Status is the status of the response at the point After.
	Status int
}

// Gate holds the calls of all taps of a test.
type Gate = hold.Gate[Message]

// Tap is the proxy of one process to the object API.
type Tap struct {
	process string
	target  string
	gate    *Gate
	client  *http.Client
	server  *http.Server
	// addresses, if set, are rewritten in the values that pass through.
	addresses atomic.Pointer[addresses]
}

// New returns a tap that listens on address and forwards to the object API at target,
// both IP:port.
func New(process, address, target string, gate *Gate) (*Tap, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Tap{
		process: process,
		target:  target,
		gate:    gate,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.forward)}
	go func() { _ = t.server.Serve(listener) }() // returns after Close
	return t, nil
}

// Close stops the tap and closes its connections.
func (t *Tap) Close() {
	t.server.Close()
	t.client.CloseIdleConnections()
}

// forward forwards one call. If the call to the object API fails, the connection of the
// process breaks too, as it would without the tap.
func (t *Tap) forward(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body = t.toStore(body)
	message := Message{Point: Before, Process: t.process, Method: r.Method, Path: r.URL.Path, Body: body}
	t.gate.Pass(message)
	response, err := t.send(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	message.Point = After
	message.Status = response.StatusCode
	t.gate.Pass(message)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(t.fromStore(responseBody)) // the process may have closed the connection
}

// send sends the call to the object API.
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
