// Package worker holds stand-ins of the platform's workers: plain services, stage
// pools and model engines, over the published protocol. They record what reaches them
// and misbehave as tests ask.
package worker

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind is what a worker does.
type Kind int

// The kinds of workers.
const (
	Plain Kind = iota
	Stage
	Engine
)

// Faults are what goes wrong with a worker's next requests. Each count falls by one
// with each request that it strikes.
type Faults struct {
	// Reject answers 503 without running, with RetryAfter as its Retry-After if that is set.
	Reject     int
	RetryAfter time.Duration
	// Fail runs and answers 500.
	Fail int
	// Cut runs and ends the connection: a stream after its first event, other answers
	// before their head.
	Cut int
	// Foreign sends the answer of another request before its own.
	Foreign int
	// Unsigned leaves the signature out.
	Unsigned int
	// NoRoom and Gone are the reasons of stage items.
	NoRoom, Gone int
}

// Run is one request that a worker began to work on.
type Run struct {
	ID, Method, Target, Body string
	Header                   http.Header
	// At is when it began.
	At time.Time
	// Leaving is set if the worker's answer says that it leaves.
	Leaving bool
}

// Worker is a running stand-in.
type Worker struct {
	ID   string
	Kind Kind
	// Events is how many events a stream has.
	Events int
	// CallTime is what a stage call takes, WorkTime what other requests take before their
	// answer begins.
	CallTime, WorkTime time.Duration
	// CrashBody is the body of requests under which the worker crashes as soon as it runs them;
	// empty for none. With CrashUnframed it has sent a head without a length and a part of the body
	// by then, so that the answer looks whole. Both are set before the worker is used.
	CrashBody     string
	CrashUnframed bool
	// Advertised is the IP:port that callers know if something stands before the worker;
	// empty if nothing does. It is set before the worker is used.
	Advertised string

	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	faults  Faults
	leaving bool
	runs    []Run
	refused []Refusal
	batches [][]Item
	kept    map[string]bool
	// makes holds what each result was made for, by its handle.
	makes map[string]Item
	made  int
	hold  chan struct{}
	left  int
	// crashed is closed once the worker has crashed, under request crashedBy.
	crashed   chan struct{}
	crashedBy Run
}

// Item is one piece that a stage worker was asked for.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// Start starts a worker on a free port.
func Start(id string, kind Kind) (*Worker, error) {
	return StartAt("127.0.0.1:0", id, kind)
}

// StartAt starts a worker on an address, as one that comes back after a crash does.
func StartAt(address, id string, kind Kind) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return StartOn(listener, id, kind), nil
}

// StartOn starts a worker that takes the connections of a listener, which it closes in the end.
func StartOn(listener net.Listener, id string, kind Kind) *Worker {
	w := &Worker{ID: id, Kind: kind, Events: 5, listener: listener, kept: make(map[string]bool), makes: make(map[string]Item), crashed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // it ends with Close
	return w
}

// Address returns the IP:port at which callers find the worker.
func (w *Worker) Address() string {
	if w.Advertised != "" {
		return w.Advertised
	}
	return w.Listens()
}

// Listens returns the IP:port at which the worker itself listens.
func (w *Worker) Listens() string { return w.listener.Addr().String() }

// Close ends the worker at once.
func (w *Worker) Close() { _ = w.server.Close() }

// Set replaces the faults.
func (w *Worker) Set(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Hold keeps the answers of requests back until the returned function is called.
func (w *Worker) Hold() (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hold := make(chan struct{})
	w.hold = hold
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.hold = nil
		close(hold)
	}
}

// Runs returns what the worker has run so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Batches returns the stage calls so far.
func (w *Worker) Batches() [][]Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([][]Item(nil), w.batches...)
}

// Made returns what each result so far was made for, by its handle.
func (w *Worker) Made() map[string]Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.makes)
}

// Kept returns how many results lie at the worker.
func (w *Worker) Kept() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.kept)
}

// Left returns how many clients went before their answer.
func (w *Worker) Left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// strike takes one of a fault's count.
func (w *Worker) strike(count *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.isLeaving() {
		out.Header().Set("Server-Leaving", "1")
	}
	switch {
	case w.Kind == Stage && r.URL.Path == "/stage-run":
		w.runStage(out, body)
	case w.Kind == Stage && r.URL.Path == "/stage-free":
		w.free(out, body)
	default:
		w.run(out, r, string(body))
	}
}

// run runs one request of a client.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("X-Attempt-Id")
	if w.strike(&w.faults.Reject) {
		w.reject(out, id)
		return
	}
	run := Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: body, Header: r.Header.Clone(), At: time.Now()}
	w.mu.Lock()
	run.Leaving = w.leaving
	w.runs = append(w.runs, run)
	hold := w.hold
	w.mu.Unlock()
	if w.CrashBody != "" && body == w.CrashBody {
		if w.CrashUnframed {
			w.sendUnframed(out, id)
		}
		w.crash(run)
	}
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			w.mu.Lock()
			w.left++
			w.mu.Unlock()
			return
		}
	}
	time.Sleep(w.WorkTime)
	if w.strike(&w.faults.Foreign) {
		sendForeign(out)
	}
	out.Header().Set("X-Attempt-Id", id)
	out.Header().Set("X-Instance-Load", "1,0,8")
	if !w.strike(&w.faults.Unsigned) {
		out.Header().Set("X-Response-Stamp", "stamp."+w.ID)
	}
	if w.strike(&w.faults.Fail) {
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(out, "failed") // a caller that is gone needs no answer
		return
	}
	if w.Kind == Engine {
		w.stream(out, r)
		return
	}
	if w.strike(&w.faults.Cut) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, "answer of "+id) // a caller that is gone needs no answer
}

// stream sends events from the one after Last-Event-Id on.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request) {
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n
	}
	out.Header().Set("Content-Type", "text/event-stream")
	cut := w.strike(&w.faults.Cut)
	for number := first + 1; number <= w.Events; number++ {
		if cut && number > first+1 {
			_, _ = io.WriteString(out, "id: ")          // a part of an event, before the cut
			_ = http.NewResponseController(out).Flush() // a caller that is gone needs no part
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", number, r.Header.Get("X-Attempt-Id"), number) // as above
		_ = http.NewResponseController(out).Flush()                                                      // a caller that is gone is seen by the server
	}
}
