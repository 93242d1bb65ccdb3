package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// batch is the body of a stage call.
type batch struct {
	Items []Item `json:"items"`
}

// result is the result of one item: a handle, or the reason why there is none.
type result struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// results is the response to a stage call.
type results struct {
	Items []result `json:"items"`
}

// runStage runs the items of a stage call.
func (w *Worker) runStage(out http.ResponseWriter, body []byte) {
	if w.consume(&w.faults.Reject) {
		w.reject(out, "")
		return
	}
	var call batch
	if err := json.Unmarshal(body, &call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.work(w.CallTime)
	var response results
	w.mu.Lock()
	w.batches = append(w.batches, call.Items)
	for _, item := range call.Items {
		w.madeCount++
		handle := fmt.Sprintf("%s/%s.%d", w.Address(), w.ID, w.madeCount) // unique over all incarnations
		w.kept[handle] = true
		w.madeFor[handle] = item
		response.Items = append(response.Items, result{Handle: handle})
	}
	w.mu.Unlock()
	for i := range response.Items {
		switch {
		case w.consume(&w.faults.NoRoom):
			response.Items[i] = w.discard(response.Items[i], "room")
		case w.consume(&w.faults.Gone):
			response.Items[i] = w.discard(response.Items[i], "gone")
		}
	}
	out.Header().Set("Content-Type", "application/json")
	if w.consume(&w.faults.Unmarked) {
		content, _ := json.Marshal(response) // never fails for these fields
		sendHalf(out, string(content))
		return
	}
	_ = json.NewEncoder(out).Encode(response) // a caller that has disconnected needs no response
}

// discard frees a result and returns one with a reason in its place.
func (w *Worker) discard(made result, reason string) result {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.kept, made.Handle)
	return result{Reason: reason}
}

// free handles a call that frees results.
func (w *Worker) free(out http.ResponseWriter, body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range call.Handles {
		delete(w.kept, strings.TrimSpace(handle))
	}
}

// roomMB is the room for results that a worker reports, in MB. Its results have no size, so all of it is free.
const roomMB = 1000

// report handles a call that asks for the worker's room.
func (w *Worker) report(out http.ResponseWriter) {
	out.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(out, `{"queued":0,"busy":0,"free_mb":%d}`, roomMB) // a caller that has disconnected needs no response
}
