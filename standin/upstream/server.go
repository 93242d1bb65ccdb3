package upstream

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"acaciawinch/standin/internal/jsonhttp"
	"acaciawinch/standin/internal/lag"
	"acaciawinch/standin/ledger"
)

// Options configure a Server.
type Options struct {
	Worker     Worker
	Conditions *Conditions
	Ledger     *ledger.Ledger
	// ReportLag is how far GET /v1/status lags behind the worker's state.
	ReportLag time.Duration
}

// Server serves the HTTP protocol of an upstream.
type Server struct {
	worker     Worker
	conditions *Conditions
	ledger     *ledger.Ledger
	report     *lag.Value[Status]
	mux        *http.ServeMux

	mu sync.Mutex
	// running holds the cancel functions of the calls in progress, by the id of the call.
	running map[string]context.CancelFunc
	// stopping is set once a planned stop has begun: new calls are rejected.
	stopping bool
}

// NewServer returns a Server that runs its calls on o.Worker.
func NewServer(o Options) *Server {
	s := &Server{
		worker:     o.Worker,
		conditions: o.Conditions,
		ledger:     o.Ledger,
		report:     lag.New(o.Worker.Status(), o.ReportLag, time.Now),
		mux:        http.NewServeMux(),
		running:    map[string]context.CancelFunc{},
	}
	s.mux.HandleFunc("POST /v1/run", s.run)
	s.mux.HandleFunc("POST /v1/cancel", s.cancel)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("GET /v1/cache-events", s.cacheEvents)
	s.mux.HandleFunc("POST /control", s.control)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// RejectNewCalls begins a planned stop: the server rejects all new calls from now on.
func (s *Server) RejectNewCalls() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.publishStatus()
}

// publishStatus stores the worker's current state in the lagging status report.
func (s *Server) publishStatus() {
	control, _ := s.conditions.Get()
	status := s.worker.Status()
	s.mu.Lock()
	status.InFlight = len(s.running)
	status.Leaving = control.Leaving || s.stopping
	s.mu.Unlock()
	s.report.Set(status)
}

// addCall records a call as running. It returns false if the server is stopping.
func (s *Server) addCall(id string, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running[id] = cancel
	return true
}

// removeCall removes a call that ended.
func (s *Server) removeCall(id string) {
	s.mu.Lock()
	delete(s.running, id)
	s.mu.Unlock()
	s.publishStatus()
}

// cancel handles POST /v1/cancel.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if !jsonhttp.Read(w, r, &body) {
		return
	}
	s.mu.Lock()
	cancel, ok := s.running[body.ID]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	cancel()
}

// status handles GET /v1/status. It also samples the worker's state, because the
// server is not notified when a model finishes loading.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.publishStatus()
	jsonhttp.Write(w, http.StatusOK, s.report.Get())
}

// order handles POST /v1/orders and records the orders that were carried out.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !jsonhttp.Read(w, r, &order) {
		return
	}
	err := s.worker.Order(order)
	switch {
	case errors.Is(err, ErrStaleFencing):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	s.record(ledger.Record{
		Event:   ledger.Order,
		Fencing: order.Fencing,
		Detail:  order.Action + " " + order.Model + "@" + order.Version,
	})
	s.publishStatus()
}

// cacheEvents handles GET /v1/cache-events.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.ParseUint(r.URL.Query().Get("cursor"), 10, 64)
	events := s.worker.CacheEvents(cursor)
	response := cacheEventsResponse{Events: events, Next: cursor}
	if len(events) > 0 {
		response.Next = events[len(events)-1].Number + 1
	}
	jsonhttp.Write(w, http.StatusOK, response)
}

// cacheEventsResponse is the response to GET /v1/cache-events.
type cacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// control handles POST /control.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var control Control
	if !jsonhttp.Read(w, r, &control) {
		return
	}
	s.conditions.Set(control)
	s.publishStatus()
}

// record writes to the ledger. It panics if the write fails, because a ledger with
// missing records would make the verdicts of the tests wrong.
func (s *Server) record(r ledger.Record) {
	if err := s.ledger.Write(r); err != nil {
		panic(err)
	}
}
