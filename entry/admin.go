package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"acaciawinch/core"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/trace"
	"acaciawinch/feed"
)

// Status is the response body of GET /v1/status.
type Status struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Region      string           `json:"region"`
	Incarnation core.Incarnation `json:"incarnation"`
	Ready       bool             `json:"ready"`
	Revision    core.Revision    `json:"revision"`
	Hosts       int              `json:"hosts"`
	// PlacementVersion is the version of the placement object.
	PlacementVersion uint64 `json:"placement_version"`
	// PlacementLease is set while this process holds the placement lease.
	PlacementLease bool         `json:"placement_lease"`
	Feed           feed.Stats   `json:"feed"`
	Requests       admit.Counts `json:"requests"`
	// FleetReadBytes and FleetWrittenBytes count the traffic with the other processes
	// of the fleet.
	FleetReadBytes    uint64  `json:"fleet_read_bytes"`
	FleetWrittenBytes uint64  `json:"fleet_written_bytes"`
	UptimeSeconds     float64 `json:"uptime_seconds"`
}

// Timeouts of the admin listener and of the shutdown.
const (
	adminHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds the shutdown of both HTTP servers together.
	shutdownTimeout = time.Second
)

// adminOptions are the functions and handlers behind the admin endpoints.
type adminOptions struct {
	ready   func() bool
	status  func() Status
	explain func(ctx context.Context, id core.RequestID) (trace.Trace, bool)
	metrics http.Handler
}

// newAdmin returns the handler of the admin listener, which serves operators.
func newAdmin(opts adminOptions) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", opts.metrics)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !opts.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, opts.status())
	})
	mux.HandleFunc("GET /v1/explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		found, ok := opts.explain(r.Context(), core.RequestID(r.PathValue("id")))
		if !ok {
			http.Error(w, "no trace of this request exists", http.StatusNotFound)
			return
		}
		writeJSON(w, found)
	})
	return mux
}

// writeJSON sends a value as one JSON document.
func writeJSON[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}
