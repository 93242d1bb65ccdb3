package side

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"acaciawinch/core/gate"
)

// Status is the response body of GET /v1/status.
type Status struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	// Process is the state of the process's lifecycle, and State that of the upstream.
	Process string `json:"process"`
	State   string `json:"state"`
	Why     string `json:"why"`
	// Incarnation is a decimal string, since JSON numbers lose precision in some
	// languages.
	Incarnation string `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	ClockMS     int64  `json:"clock_ms"`
	LoadStatus
	Drain   []gate.DrainSource `json:"drain_sources"`
	Fencing uint64             `json:"fencing"`
	// Costs is the work charged to each cause.
	Costs  []gate.Charge `json:"costs"`
	Memory MemoryStatus  `json:"memory"`
	// FleetBytesRead and FleetBytesWritten count the traffic with other processes.
	FleetBytesRead    uint64 `json:"fleet_bytes_read"`
	FleetBytesWritten uint64 `json:"fleet_bytes_written"`
}

// LoadStatus is the upstream's load. Times are in milliseconds.
type LoadStatus struct {
	Queued       int      `json:"queued"`
	InFlight     int      `json:"in_flight"`
	Capacity     int      `json:"capacity"`
	WaitMS       int64    `json:"wait_ms"`
	ServiceP50MS int64    `json:"service_p50_ms"`
	ServiceP95MS int64    `json:"service_p95_ms"`
	FirstP95MS   int64    `json:"first_p95_ms"`
	GapP95MS     int64    `json:"gap_p95_ms"`
	Draining     bool     `json:"draining"`
	Stalled      bool     `json:"stalled"`
	Models       []string `json:"models"`
	Finished     uint64   `json:"finished"`
	Failed       uint64   `json:"failed"`
}

// MemoryStatus is the state that the sidecar stores of attempts.
type MemoryStatus struct {
	Attempts  int `json:"attempts"`
	KeptBytes int `json:"kept_bytes"`
	// HorizonMS is the highest ticket time of a forgotten claimed attempt, on the
	// sidecar's clock; -1 if none was forgotten.
	HorizonMS int64 `json:"horizon_ms"`
}

// status returns the current status.
func (p *process) status() Status {
	s := Status{
		Upstream:          p.settings.Upstream.Name,
		Service:           p.settings.Upstream.Service,
		Zone:              p.settings.Process.Zone,
		Process:           string(p.lifecycle.State()),
		Incarnation:       strconv.FormatUint(uint64(p.incarnation), 10),
		Revision:          uint64(p.revision()),
		FleetBytesRead:    p.rpc.Traffic().Read() + p.dialer.Traffic().Read(),
		FleetBytesWritten: p.rpc.Traffic().Written() + p.dialer.Traffic().Written(),
	}
	p.dispatcher.read(func(now time.Duration) { fillStatus(&s, now, p.dispatcher.gate) })
	return s
}

// fillStatus adds the gate's state.
func fillStatus(s *Status, now time.Duration, g *gate.Gate) {
	s.State = string(g.State())
	s.Why = g.StateReason()
	s.ClockMS = now.Milliseconds()
	s.LoadStatus = loadStatus(g.Load(now))
	s.Drain = g.DrainSources()
	s.Fencing = g.Fencing()
	s.Costs = g.Charges()
	memory := g.Memory()
	s.Memory = MemoryStatus{Attempts: memory.Attempts, KeptBytes: memory.KeptBytes, HorizonMS: -1}
	if memory.Horizon >= 0 {
		s.Memory.HorizonMS = memory.Horizon.Milliseconds()
	}
}

// loadStatus converts a load to its form in the status.
func loadStatus(load gate.Load) LoadStatus {
	return LoadStatus{
		Queued:       load.Queued,
		InFlight:     load.InFlight,
		Capacity:     load.Capacity,
		WaitMS:       load.Wait.Milliseconds(),
		ServiceP50MS: load.ServiceP50.Milliseconds(),
		ServiceP95MS: load.ServiceP95.Milliseconds(),
		FirstP95MS:   load.FirstChunkP95.Milliseconds(),
		GapP95MS:     load.ChunkGapP95.Milliseconds(),
		Draining:     load.Draining,
		Stalled:      load.Stalled,
		Models:       load.Models,
		Finished:     load.Finished,
		Failed:       load.Failed,
	}
}

// adminOptions are the data sources of the admin paths.
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
		_ = json.NewEncoder(w).Encode(options.status()) // a client that has disconnected needs no response
	})
	mux.Handle("GET /metrics", options.metrics)
	return mux
}
