// Package jsonhttp reads and writes the small JSON bodies of the stand-ins.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds what a stand-in reads of one request.
const maxBodyBytes = 16 << 20

// Read decodes the request's body into value. On failure it answers 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, value any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write answers with value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure here means that the client has gone, which it notices itself.
	_ = json.NewEncoder(w).Encode(value)
}
