package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: a plain service, a worker of stages or a model worker. It serves one
// request at a time on a channel.
type worker struct {
	id, kind string
	slots    int
	listener net.Listener
	record   *record

	// callTime and itemTime are how long a call of a stage takes; workTime how long another request takes, or
	// the first event of a stream.
	callTime, itemTime, workTime time.Duration

	mu sync.Mutex
	// busy holds a token for each slot.
	busy chan struct{}
	made int
	// madeFor holds the piece that each result was made for.
	madeFor map[string]piece
	// double is set if a second copy of the next answer to a call of a stage follows it; calls counts these
	// answers, extras those sent twice.
	double        bool
	calls, extras int

	draining bool

	// queue is how many requests may wait for a slot beyond those that run, 0 for any number; held counts both.
	queue, held int
	// doubleRejections is set while rejections of calls of a stage are sent twice, as far as extraShare of the
	// answers since then allows; answers counts all answers, rejected the rejections of such calls.
	doubleRejections            bool
	answers, rejected           int
	answersBefore, extrasBefore int
}

// piece is one piece of a request's stage.
type piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// startWorker starts a worker on a free port.
func startWorker(id, kind string, slots int, r *record) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, kind: kind, slots: slots, listener: listener, record: r, busy: make(chan struct{}, slots), madeFor: map[string]piece{},
		callTime: 200 * time.Millisecond, itemTime: 21 * time.Millisecond, workTime: 30 * time.Millisecond}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// entry is the worker's entry in the store.
func (w *worker) entry(service, zone, state string) map[string]any {
	return map[string]any{"service": service, "address": w.address(), "zone": zone, "version": "v1", "slots": w.slots, "state": state, "cold_left_ms": 0, "sequence": 1}
}

// serve serves one channel.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte // a second copy of the last answer, which arrives where the next answer is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		copied := late
		late = nil
		sendCopy := func() {
			if copied != nil {
				w.record.add("%s sends the extra copy of an answer on channel %s, where the answer to %s %s is expected", w.id, c.RemoteAddr(), r.URL.Path, r.Header.Get("X-Attempt-Id"))
				_, _ = c.Write(copied) // if the caller has gone, the next write fails too
				copied = nil
			}
		}
		answer := w.handle(channel{c, reader, sendCopy, &late}, r, body)
		sendCopy()
		if answer != nil {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	}
}

// channel is a channel on which a request has come.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// sendCopy sends the extra copy of the answer before, if there is one. It is called when the request has begun
	// to run, or right before its answer.
	sendCopy func()
	// late takes a copy of the answer that is sent once more at the next request.
	late *[]byte
}

// takeSlot waits for a free slot. It returns false if the channel was closed while the request waited.
func (w *worker) takeSlot(c channel) bool {
	select {
	case w.busy <- struct{}{}:
		return true
	default:
	}
	w.busy <- struct{}{}
	if isClosed(c.Conn, c.reader) {
		<-w.busy
		return false
	}
	return true
}

// answerOf encodes an answer with a length.
func (w *worker) answerOf(status int, headers map[string]string, body []byte) []byte {
	w.mu.Lock()
	leaving := w.draining
	w.answers++
	w.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=15\r\n", status, http.StatusText(status), len(body), len(w.busy), w.slots)
	if leaving {
		b.WriteString("Connection: close\r\n")
	}
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return []byte(b.String())
}

// handle handles one request and returns the answer.
func (w *worker) handle(c channel, r *http.Request, body []byte) []byte {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return w.answerOf(421, map[string]string{"X-Instance-Id": w.id, "X-Not-Executed": "1", "X-Attempt-Id": id}, nil)
	}
	json1 := map[string]string{"Content-Type": "application/json"}
	switch {
	case w.kind == "stage" && r.URL.Path == "/stage-run":
		return w.runStage(c, body)
	case w.kind == "stage" && r.URL.Path == "/stage-free":
		w.record.add("%s frees %s on channel %s", w.id, body, c.RemoteAddr())
		return w.answerOf(200, json1, []byte("{}"))
	case r.URL.Path == "/report":
		return w.answerOf(200, json1, []byte(`{"queued":0,"busy":false,"free_mb":1000,"sequence":0,"active":0,"handles":0}`))
	case r.URL.Path == "/healthz":
		return w.answerOf(200, map[string]string{"X-Instance-Id": w.id}, nil)
	}
	if !w.enter() {
		w.record.add("%s is full and rejects %s on channel %s", w.id, id, c.RemoteAddr())
		return w.answerOf(503, map[string]string{"X-Not-Executed": "1", "X-Attempt-Id": id}, nil)
	}
	defer w.leave()
	if !w.takeSlot(c) {
		w.record.add("%s drops %s before it runs: its channel is closed", w.id, id)
		return nil
	}
	defer func() { <-w.busy }()
	w.record.arrived(w, r, body)
	c.sendCopy()
	echo := map[string]string{"X-Attempt-Id": id, "X-Response-Stamp": "stamp." + w.id + "." + id}
	time.Sleep(w.workTime)
	if w.kind != "model" {
		return w.answerOf(200, echo, []byte("answer of "+id))
	}
	w.stream(c, echo, id)
	return nil
}

// stream sends a stream of three events.
func (w *worker) stream(c io.Writer, headers map[string]string, id string) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\n"
	for name, value := range headers {
		head += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return
	}
	for n := 1; n <= 3; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// isClosed reports whether the caller has closed a channel.
func isClosed(c net.Conn, reader *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var late net.Error
	return err != nil && !(errors.As(err, &late) && late.Timeout())
}

// enter takes a place for a request, or reports that the worker is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue > 0 && w.held >= w.slots+w.queue {
		return false
	}
	w.held++
	return true
}

// leave gives the place of a request back.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held--
}

// garble makes the worker send rejections of calls of a stage twice, or ends that.
func (w *worker) garble(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubleRejections, w.answersBefore, w.extrasBefore = on, w.answers, w.extras
}

// doubleNext makes the worker send its next answer to a call of a stage twice, if that is at most a share of
// its answers.
func (w *worker) doubleNext(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.double = float64(w.extras+1) <= share*float64(w.calls+1)
}

// runStage runs a call of a stage.
func (w *worker) runStage(c channel, body []byte) []byte {
	var call struct {
		Items []piece `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return w.answerOf(400, nil, nil)
	}
	if !w.enter() {
		w.record.add("%s is full and rejects a call of a stage on channel %s", w.id, c.RemoteAddr())
		answer := w.answerOf(503, map[string]string{"X-Not-Executed": "1"}, nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.rejected++
		if w.doubleRejections && float64(w.extras-w.extrasBefore+1) <= extraShare*float64(w.answers-w.answersBefore) {
			w.extras++
			*c.late = answer
		}
		return answer
	}
	defer w.leave()
	if !w.takeSlot(c) {
		return nil
	}
	defer func() { <-w.busy }()
	c.sendCopy()
	for _, item := range call.Items {
		w.record.checkInputs(w, item)
	}
	time.Sleep(w.callTime + time.Duration(len(call.Items))*w.itemTime)
	results := []map[string]string{}
	w.mu.Lock()
	for _, item := range call.Items {
		w.made++
		handle := fmt.Sprintf("%s/%s%06x", w.address(), w.id, w.made)
		w.madeFor[handle] = item
		w.record.made(handle, item)
		results = append(results, map[string]string{"handle": handle})
		w.record.add("%s makes %s for piece %d of stage %d of request %s, on channel %s", w.id, handle, item.Piece, item.Stage, item.ID, c.RemoteAddr())
	}
	w.calls++
	doubled := w.double
	w.double = false
	if doubled {
		w.extras++
	}
	w.mu.Unlock()
	content, _ := json.Marshal(map[string]any{"items": results})
	answer := w.answerOf(200, map[string]string{"Content-Type": "application/json"}, content)
	if doubled {
		*c.late = answer
	}
	return answer
}
