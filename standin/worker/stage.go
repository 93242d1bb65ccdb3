package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// batch is the body of a stage call.
type batch struct {
	Items []Item `json:"items"`
}

// result is one item's end.
type result struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// results is the answer to a stage call.
type results struct {
	Items []result `json:"items"`
}

// runStage makes the items of a call.
func (w *Worker) runStage(out http.ResponseWriter, body []byte) {
	if w.strike(&w.faults.Reject) {
		w.reject(out, "")
		return
	}
	var asked batch
	if err := json.Unmarshal(body, &asked); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(w.CallTime)
	var answer results
	w.mu.Lock()
	w.batches = append(w.batches, asked.Items)
	for _, item := range asked.Items {
		w.made++
		handle := fmt.Sprintf("%s/%s.%d", w.Address(), w.ID, w.made) // another start never makes the same
		w.kept[handle] = true
		w.makes[handle] = item
		answer.Items = append(answer.Items, result{Handle: handle})
	}
	w.mu.Unlock()
	for i := range answer.Items {
		switch {
		case w.strike(&w.faults.NoRoom):
			answer.Items[i] = w.undo(answer.Items[i], "room")
		case w.strike(&w.faults.Gone):
			answer.Items[i] = w.undo(answer.Items[i], "gone")
		}
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(answer) // a caller that is gone needs no answer
}

// undo takes a result back for a reason.
func (w *Worker) undo(made result, reason string) result {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.kept, made.Handle)
	return result{Reason: reason}
}

// free drops results.
func (w *Worker) free(out http.ResponseWriter, body []byte) {
	var asked struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range asked.Handles {
		delete(w.kept, strings.TrimSpace(handle))
	}
}
