package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and the broken rules.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	// results holds the piece that each result was made for; pieces the number of pieces of each request.
	results map[string]piece
	broken  []string
	// arrival is called with each request that reaches a worker; nil for nothing.
	arrival func(w *worker, r *http.Request)
	// wants holds how many pieces each request has in its only stage.
	wants map[string]int
}

// newRecord opens the record of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), results: map[string]piece{}, wants: map[string]int{}}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.write("BROKEN: "+format, args...)
}

// made records the piece that a result was made for.
func (r *record) made(handle string, item piece) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[handle] = item
}

// want records that a request has a number of pieces in its only stage.
func (r *record) want(id string, pieces int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wants[id] = pieces
}

// checkInputs checks that a piece of a stage is given results of its own request only.
func (r *record) checkInputs(w *worker, item piece) {
	for _, handle := range item.Inputs {
		r.checkHandle(w, item.ID, handle)
	}
}

// checkHandle checks that a result was made for a request.
func (r *record) checkHandle(w *worker, id, handle string) {
	r.mu.Lock()
	made, known := r.results[handle]
	r.mu.Unlock()
	if !known {
		r.breaks("MIXED: %s is given %s for request %s, which nobody made", w.id, handle, id)
	} else if made.ID != id {
		r.breaks("MIXED: %s is given %s for request %s; it was made for piece %d of stage %d of request %s", w.id, handle, id, made.Piece, made.Stage, made.ID)
	}
}

// arrived records a request that reached a worker, and checks the inputs that it is given.
func (r *record) arrived(w *worker, request *http.Request, _ []byte) {
	id := request.Header.Get("X-Attempt-Id")
	inputs := request.Header.Get("X-Inputs")
	r.add("%s runs request %s with X-Inputs %q", w.id, id, inputs)
	if r.arrival != nil {
		r.arrival(w, request)
	}
	if w.kind != "model" {
		return
	}
	seen := map[string]bool{}
	handles := []string{}
	if inputs != "" {
		handles = strings.Split(inputs, ",")
	}
	for _, handle := range handles {
		handle = strings.TrimSpace(handle)
		if seen[handle] {
			r.breaks("MIXED: %s is given %s twice for request %s", w.id, handle, id)
		}
		seen[handle] = true
		r.checkHandle(w, id, handle)
	}
	r.mu.Lock()
	wanted := r.wants[id]
	r.mu.Unlock()
	if len(seen) != wanted {
		r.breaks("MIXED: %s is given %d inputs for request %s, which has %d pieces", w.id, len(seen), id, wanted)
	}
}

// end writes the outcome and returns the exit code of the case.
func (r *record) end() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.file.Close()
	if len(r.broken) > 0 {
		r.write("the rule was broken %d times; first: %s", len(r.broken), r.broken[0])
		fmt.Printf("broken %d times; first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.write("the rule held")
	fmt.Println("held")
	return 0
}
