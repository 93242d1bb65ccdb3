package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is a result of a stage that a worker keeps.
type result struct {
	request      string
	stage, piece int
	until        time.Time
}

// results holds the results of all stage workers by handle. It stands for the calls with which workers
// fetch results from each other.
type results struct {
	mu sync.Mutex
	by map[string]result
	// made holds every result that was ever made, so that the record can name the owner of an old handle.
	made map[string]result
}

// find returns a result that its worker still keeps.
func (r *results) find(handle string) (result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, known := r.by[handle]
	return found, known && time.Now().Before(found.until)
}

// owner returns the request for which a result was made, also if it is gone.
func (r *results) owner(handle string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made[handle].request
}

// worker is a stand-in for a worker of one service. It serves one request at a time on a channel.
type worker struct {
	id, service, address string
	handle               func(w *worker, c *channel, r *http.Request, body []byte) []byte
	results              *results
	record               *record
	// stage settings
	call, item, keep time.Duration
	slots            chan struct{}
	waiting          chan struct{}
	// beforeRun, if not nil, returns bytes that are sent on a channel before a run call is handled.
	beforeRun func(c *channel) []byte
	// onRun, if not nil, is called when the worker is at work on a request.
	onRun func(request string)
	// answers counts the responses.
	answers atomic.Int64
}

// channel is one connection to a worker.
type channel struct {
	net.Conn
	number  int
	lastRun []byte
	lastAt  time.Time
}

// serve accepts channels on a free loopback port.
func (w *worker) serve() error {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	go func() {
		for number := 1; ; number++ {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serveChannel(&channel{Conn: accepted, number: number})
		}
	}()
	return nil
}

// serveChannel serves the requests of one channel, one after the other.
func (w *worker) serveChannel(c *channel) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var response []byte
		expected := r.Header.Get("X-Expect-Instance")
		switch {
		case r.URL.Path == "/healthz":
			response = w.response(r, 200, "", "text/plain", nil)
		case expected != "" && expected != w.id:
			response = w.response(r, 421, "X-Not-Executed: 1\r\n", "text/plain", nil)
		default:
			response = w.handle(w, c, r, body)
		}
		if response == nil {
			continue
		}
		if _, err := c.Write(response); err != nil {
			return
		}
		w.answers.Add(1)
	}
}

// response encodes a response with a length.
func (w *worker) response(r *http.Request, status int, extra, kind string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Instance-Id: %s\r\nX-Instance-Load: 0,0,%d\r\nKeep-Alive: timeout=15\r\nContent-Type: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), w.id, max(1, cap(w.slots)), kind, len(body))
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	return append([]byte(head+extra+"\r\n"), body...)
}

// stageItem is one piece of a run call.
type stageItem struct {
	ID          string   `json:"id"`
	Stage       int      `json:"stage"`
	Piece       int      `json:"piece"`
	RemainingMS *float64 `json:"remaining_ms"`
	Key         string   `json:"key"`
	Inputs      []string `json:"inputs"`
}

// handleStage handles the calls to a worker of a stage's service.
func handleStage(w *worker, c *channel, r *http.Request, body []byte) []byte {
	switch r.URL.Path {
	case "/report":
		return w.response(r, 200, "", "application/json", []byte(`{"queued":0,"busy":0,"free_mb":18}`))
	case "/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		w.results.mu.Lock()
		for _, handle := range call.Handles {
			delete(w.results.by, handle)
		}
		w.results.mu.Unlock()
		return w.response(r, 200, "", "application/json", []byte(`{}`))
	case "/stage-run":
		return w.runStage(c, r, body)
	}
	return w.response(r, 404, "", "text/plain", nil)
}

// runStage handles one run call.
func (w *worker) runStage(c *channel, r *http.Request, body []byte) []byte {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return w.response(r, 400, "X-Not-Executed: 1\r\n", "text/plain", nil)
	}
	names := make([]string, len(call.Items))
	for i, item := range call.Items {
		names[i] = fmt.Sprintf("%s/%d/%d", item.ID, item.Stage, item.Piece)
	}
	w.record.line("%s channel %d: asked for %s", w.id, c.number, strings.Join(names, " "))
	if w.beforeRun != nil {
		if extra := w.beforeRun(c); extra != nil {
			_, _ = c.Write(extra)
		}
	}
	arrived := time.Now()
	select {
	case w.waiting <- struct{}{}:
	default:
		return w.response(r, 503, "X-Not-Executed: 1\r\n", "text/plain", nil)
	}
	w.slots <- struct{}{}
	<-w.waiting
	answers := make([]map[string]string, len(call.Items))
	time.Sleep(w.call + time.Duration(len(call.Items))*w.item)
	for i, item := range call.Items {
		answers[i] = w.makePiece(item, arrived)
		if w.onRun != nil {
			w.onRun(item.ID)
		}
	}
	<-w.slots
	content, _ := json.Marshal(map[string]any{"items": answers})
	response := w.response(r, 200, "", "application/json", content)
	c.lastRun, c.lastAt = response, time.Now()
	w.record.line("%s channel %d: made %s as %s", w.id, c.number, strings.Join(names, " "), content)
	return response
}

// makePiece makes the result of one piece, unless it is late or an input is gone.
func (w *worker) makePiece(item stageItem, arrived time.Time) map[string]string {
	if item.RemainingMS != nil && time.Since(arrived) > time.Duration(*item.RemainingMS)*time.Millisecond {
		return map[string]string{"reason": "late"}
	}
	for _, input := range item.Inputs {
		if owner := w.results.owner(input); owner != item.ID {
			w.record.broken("MIXED: piece %s/%d/%d is given the input %s of request %s", item.ID, item.Stage, item.Piece, input, owner)
		}
		if _, known := w.results.find(input); !known {
			return map[string]string{"reason": "gone"}
		}
	}
	handle := w.address + "/" + randomID()
	made := result{request: item.ID, stage: item.Stage, piece: item.Piece, until: time.Now().Add(w.keep)}
	w.results.mu.Lock()
	w.results.by[handle], w.results.made[handle] = made, made
	w.results.mu.Unlock()
	return map[string]string{"handle": handle}
}

// randomID returns a random name.
func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// The stream of a model worker.
const (
	streamEvents = 6
	eventGap     = 20 * time.Millisecond
)

// handleModel runs a request: it fetches the inputs and streams events that name their owners.
func handleModel(w *worker, c *channel, r *http.Request, _ []byte) []byte {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/report" {
		return w.response(r, 200, "", "application/json", []byte(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":404836,"handles":0}`))
	}
	values := r.Header.Values("X-Inputs")
	if len(values) == 0 {
		return w.response(r, 400, "X-Not-Executed: 1\r\n", "text/plain", nil)
	}
	var owners []string
	for _, handle := range strings.Split(values[0], ",") {
		if handle == "" {
			continue
		}
		owner := w.results.owner(handle)
		owners = append(owners, owner)
		_, known := w.results.find(handle)
		if owner != id {
			w.record.broken("MIXED: request %s is given the input %s of request %s (the result exists: %t)", id, handle, owner, known)
		}
		if !known {
			w.record.line("%s: 409 for %s, input %s is gone", w.id, id, handle)
			return w.response(r, 409, "X-Not-Executed: 1\r\n", "text/plain", nil)
		}
	}
	w.record.line("%s: runs %s with inputs of %s", w.id, id, strings.Join(owners, " "))
	if w.onRun != nil {
		w.onRun(id)
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: s." + randomID() + "\r\nX-Weight-Versions: 1\r\nX-Instance-Load: 1,0,64\r\nKeep-Alive: timeout=15\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return nil
	}
	for event := 1; event <= streamEvents; event++ {
		time.Sleep(eventGap)
		if w.onRun != nil {
			w.onRun(id)
		}
		text := fmt.Sprintf("id: %d\ndata: %s inputs of %s\n\n", event, id, strings.Join(owners, " "))
		if _, err := fmt.Fprintf(c, "%s\r\n%s\r\n", strconv.FormatInt(int64(len(text)), 16), text); err != nil {
			return nil
		}
	}
	return []byte("0\r\n\r\n")
}

// linesOf returns the distinct data lines of a stream.
func linesOf(body []byte) string {
	seen, list := map[string]bool{}, []string{}
	for _, line := range bytes.Split(body, []byte("\n")) {
		if text, found := strings.CutPrefix(string(line), "data: "); found && !seen[text] {
			seen[text] = true
			list = append(list, text)
		}
	}
	return strings.Join(list, "; ")
}
