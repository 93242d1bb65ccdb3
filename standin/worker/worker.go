// Package worker has stand-ins of the platform's workers: plain services, workers of stage
// pools and model engines, which use the published protocol. They record the requests that
// reach them and inject the faults that tests set.
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

// Kind is the kind of a worker.
type Kind int

// The kinds of workers.
const (
	Plain Kind = iota
	Stage
	Engine
)

// Faults are the faults of the next requests of a worker. Each field but RetryAfter and LateAfter counts the
// requests or items that the fault still strikes.
type Faults struct {
	// Reject responds with 503 without running the request, with RetryAfter as Retry-After if set.
	Reject     int
	RetryAfter time.Duration
	// Fail runs the request and responds with 500.
	Fail int
	// Cut runs the request and closes the connection: for a stream after its first event, for other
	// responses before the header.
	Cut int
	// Foreign sends the response of another request instead of its own.
	Foreign int
	// Unsigned omits the signature.
	Unsigned int
	// NoRoom and Gone fail stage items with the reasons "room" and "gone".
	NoRoom, Gone int
	// Unmarked sends half of a response without a length or chunks, a stream up to the end of an event, and
	// closes the connection.
	Unmarked int
	// Repeat sends an event of a stream twice. Restart begins a stream again in its middle.
	Repeat, Restart int
	// Extra sends a response twice at once. ExtraLate sends it once more when another request has come on its
	// connection after an idle time of LateAfter. Both strike
	// rejections and calls that run items too.
	Extra, ExtraLate int
	LateAfter        time.Duration
	// Silent runs the request and sends nothing while the connection stays open, Stalled sends nothing after the
	// first event of a stream.
	Silent, Stalled int
	// Broken runs the request and responds with one of malformedHeads, or with a part of a head, in turn. It strikes calls that run
	// items too.
	Broken int
	// Early strikes requests with long bodies: a part of a response without a length comes before the body is read, and the
	// connection is reset.
	Early int
}

// Run is a request that a worker started to run.
type Run struct {
	ID, Method, Target, Body string
	Header                   http.Header
	// At is when the run started.
	At time.Time
	// Leaving is set if the response announces that the worker leaves.
	Leaving bool
}

// Worker is a running stand-in.
type Worker struct {
	ID   string
	Kind Kind
	// Version is the version of the worker's software. It is part of each event of its streams, unless it is
	// empty. It is set before the worker is used.
	Version string
	// Events is the number of events of a stream.
	Events int
	// BreakAfter is the number of events after which each stream that resumes none is broken off; 0 for no
	// break. It is set before the worker is used.
	BreakAfter int
	// CallTime is how long a stage call takes, WorkTime how long other requests take until their
	// response starts.
	CallTime, WorkTime time.Duration
	// EventTime is how long each event of a stream takes, and Machine the machine that the worker runs on; nil for
	// one that is never slower and reports no pace. Both are set before the worker is used.
	EventTime time.Duration
	Machine   *Machine
	// CrashBody is the body of requests that crash the worker as soon as it runs them; empty for none.
	// With CrashUnframed the worker first sends a header without a length and a part of the body, so that
	// the response looks complete. Both are set before the worker is used.
	CrashBody     string
	CrashUnframed bool
	// CrashParts are parts of prompts that crash the worker. They are set before the worker is used.
	CrashParts []CrashPart
	// Unframed is set if all streams end with their connection, with neither a length nor chunks. It is set
	// before the worker is used.
	Unframed bool
	// EchoesCalls is set if the worker echoes the IDs of stage calls as it does those of requests, and NamesNoRejection
	// if it echoes none in rejections. Both are set before the worker is used.
	EchoesCalls, NamesNoRejection bool
	// KeepAlive is the idle timeout of connections that responses name; 0 for none. It is set before the worker is
	// used.
	KeepAlive time.Duration
	// Advertised is the IP:port that callers use if a proxy stands in front of the worker; empty for
	// none. It is set before the worker is used.
	Advertised string

	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	faults  Faults
	leaving bool
	// limit holds the values of the header that names the limit, empty if there is none; arrivals holds
	// everything that arrived.
	limit      []string
	periods    []LimitPeriod
	arrivals   []Arrival
	runs       []Run
	rejections []Rejection
	batches    [][]Item
	// kept holds the handles of the stored results.
	kept map[string]bool
	// madeFor holds the item that each result was made for, by its handle.
	madeFor   map[string]Item
	madeCount int
	// hold, if set, delays responses until it is closed.
	hold chan struct{}
	// doubledAtOnce and doubledLate count the responses that were sent twice.
	doubledAtOnce, doubledLate int
	// brokenHeads counts the responses with broken heads, early those before the body was read.
	brokenHeads, early int
	// abandoned counts the callers that disconnected before their response.
	abandoned int
	// crashed is closed when the worker has crashed; crashedBy is the request that crashed it.
	crashed   chan struct{}
	crashedBy Run
}

// Item is one item of a stage call. Index is its number among the items that a request has in the
// stage.
type Item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Index  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// Start starts a worker on a free port.
func Start(id string, kind Kind) (*Worker, error) {
	return StartAt("127.0.0.1:0", id, kind)
}

// StartAt starts a worker on an address, such as that of a worker that has crashed.
func StartAt(address, id string, kind Kind) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return StartOn(listener, id, kind), nil
}

// StartOn starts a worker on a listener. Close closes the listener.
func StartOn(listener net.Listener, id string, kind Kind) *Worker {
	w := &Worker{ID: id, Kind: kind, Events: 5, listener: listener, kept: make(map[string]bool), madeFor: make(map[string]Item), crashed: make(chan struct{})}
	w.server = &http.Server{Handler: w, ConnContext: withConn, ConnState: connChanged}
	go func() { _ = w.server.Serve(doublingListener{listener}) }() // it returns when Close closes the server
	return w
}

// Stamp returns the signature of a worker's responses.
func Stamp(id string) string { return "stamp." + id }

// Address returns the IP:port at which callers reach the worker.
func (w *Worker) Address() string {
	if w.Advertised != "" {
		return w.Advertised
	}
	return w.ListenAddress()
}

// ListenAddress returns the IP:port on which the worker listens.
func (w *Worker) ListenAddress() string { return w.listener.Addr().String() }

// Close stops the worker at once.
func (w *Worker) Close() { _ = w.server.Close() } // its connections are cut in any case

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Hold delays the responses to requests until the returned function is called.
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

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Batches returns the items of each stage call so far.
func (w *Worker) Batches() [][]Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([][]Item(nil), w.batches...)
}

// Made returns the item that each result so far was made for, by its handle.
func (w *Worker) Made() map[string]Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.madeFor)
}

// Kept returns how many results the worker stores.
func (w *Worker) Kept() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.kept)
}

// Abandoned returns how many callers disconnected before their response.
func (w *Worker) Abandoned() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned
}

// consume decrements the count of a fault and reports whether the fault strikes.
func (w *Worker) consume(count *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// stagePaths are the paths of the calls to a worker of a stage pool.
var stagePaths = map[string]bool{runPath: true, "/stage-free": true, "/report": true}

// runPath is the path of the call that runs items.
const runPath = "/stage-run"

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	conn := connOf(r)
	isCall := w.Kind == Stage && stagePaths[r.URL.Path]
	isRun := !isCall || r.URL.Path == runPath
	if conn.begin(isRun) {
		w.mu.Lock()
		w.doubledLate++
		w.mu.Unlock()
	}
	w.recordArrival(out, r)
	if w.KeepAlive > 0 {
		out.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(w.KeepAlive.Seconds())))
	}
	if id := r.Header.Get("X-Attempt-Id"); id != "" && (!isCall && !w.NamesNoRejection || isCall && w.EchoesCalls) {
		out.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isRun && r.ContentLength >= longUpload && w.consume(&w.faults.Early) {
		w.mu.Lock()
		w.early++
		w.mu.Unlock()
		w.respondEarly(out, r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if isRun {
		w.doubleResponse(conn)
	}
	if w.isLeaving() {
		out.Header().Set("Server-Leaving", "1")
	}
	if isRun && w.consume(&w.faults.Broken) {
		w.respondBroken(out, r, func(out http.ResponseWriter) { w.serve(out, r, body) })
	}
	w.serve(out, r, body)
}

// serve serves a request or a call whose body was read.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request, body []byte) {
	switch {
	case w.Kind == Stage && r.URL.Path == runPath:
		w.runStage(out, body)
	case w.Kind == Stage && r.URL.Path == "/stage-free":
		w.free(out, body)
	case w.Kind == Stage && r.URL.Path == "/report":
		w.report(out)
	default:
		w.run(out, r, string(body))
	}
}

// run runs a request of a client.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get("X-Attempt-Id")
	if w.consume(&w.faults.Reject) {
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
	if part, crashes := w.crashingPart(run); crashes {
		time.Sleep(part.After)
		if w.Unframed {
			w.sendFirstEvent(out, id)
		}
		w.crash(run)
	}
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			w.mu.Lock()
			w.abandoned++
			w.mu.Unlock()
			return
		}
	}
	if w.consume(&w.faults.Silent) {
		w.stayOpen(r)
	}
	w.work(w.WorkTime)
	if w.consume(&w.faults.Foreign) {
		sendForeign(out)
	}
	out.Header().Set("X-Attempt-Id", id)
	out.Header().Set("X-Instance-Load", w.load(time.Now()))
	if !w.consume(&w.faults.Unsigned) {
		out.Header().Set("X-Response-Stamp", Stamp(w.ID))
	}
	if w.consume(&w.faults.Fail) {
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(out, "failed") // a caller that has disconnected needs no response
		return
	}
	if w.Kind == Engine {
		w.stream(out, r)
		return
	}
	if w.consume(&w.faults.Cut) {
		panic(http.ErrAbortHandler)
	}
	if w.consume(&w.faults.Unmarked) {
		sendHalf(out, "answer of "+id)
		return
	}
	_, _ = io.WriteString(out, "answer of "+id) // a caller that has disconnected needs no response
}

// stream sends the events after Last-Event-Id.
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
	cut, unmarked, stalled := w.consume(&w.faults.Cut), w.consume(&w.faults.Unmarked), w.consume(&w.faults.Stalled)
	numbers := eventNumbers(first+1, w.Events, w.consume(&w.faults.Repeat), w.consume(&w.faults.Restart))
	if w.Unframed {
		removeMark(out)
	}
	if unmarked {
		removeMark(out)
		numbers = numbers[:(len(numbers)+1)/2]
	}
	for _, number := range numbers {
		breaks := w.BreakAfter > 0 && first == 0 && number > w.BreakAfter
		if breaks || cut && number > first+1 {
			_, _ = io.WriteString(out, "id: ")          // a part of an event before the connection is closed
			_ = http.NewResponseController(out).Flush() // a caller that has disconnected needs no event
			panic(http.ErrAbortHandler)
		}
		if stalled && number > first+1 {
			w.stayOpen(r)
		}
		w.work(w.EventTime)
		_, _ = io.WriteString(out, w.event(r.Header.Get("X-Attempt-Id"), number)) // a caller that has disconnected needs no event
		_ = http.NewResponseController(out).Flush()                               // the server notices a caller that has disconnected
	}
}

// event returns one event of the stream of a request.
func (w *Worker) event(id string, number int) string {
	if w.Version == "" {
		return fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, id, number)
	}
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", number, id, number, w.Version)
}
