// Package jsonhttp reads and writes the JSON bodies of the stand-ins' HTTP endpoints.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 16 << 20

// Read decodes the request's body into value. On failure it writes status 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, value any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write writes a response with the status and value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
