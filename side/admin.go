package side

import (
	"encoding/json"
	"net/http"
)

// Status is the answer of GET /v1/status.
type Status struct {
	Upstream    string `json:"upstream"`
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
	Queued      uint32 `json:"queued"`
	InFlight    uint32 `json:"in_flight"`
	Capacity    uint32 `json:"capacity"`
	Draining    bool   `json:"draining"`
	Stalled     bool   `json:"stalled"`
}

// adminOptions are what the admin paths read.
type adminOptions struct {
	ready   func() bool
	status  func() Status
	metrics http.Handler
}

// newAdmin returns the handler of the admin paths.
func newAdmin(options adminOptions) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !options.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(options.status())
	})
	mux.Handle("GET /metrics", options.metrics)
	return mux
}
