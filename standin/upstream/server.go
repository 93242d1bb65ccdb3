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
	// ReportLag is how late GET /v1/status is.
	ReportLag time.Duration
}

// Server speaks the upstream's protocol over HTTP.
type Server struct {
	worker     Worker
	conditions *Conditions
	ledger     *ledger.Ledger
	report     *lag.Value[Status]
	mux        *http.ServeMux

	mu      sync.Mutex
	running map[string]context.CancelFunc
	// closed is set when a planned stop began: new calls are refused.
	closed bool
}

// NewServer returns a server in front of a worker.
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

// Refuse makes the server refuse all new calls: a planned stop began.
func (s *Server) Refuse() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.noteStatus()
}

// noteStatus puts the worker's present state into the lagging report.
func (s *Server) noteStatus() {
	control, _ := s.conditions.Get()
	status := s.worker.Status()
	s.mu.Lock()
	status.InFlight = len(s.running)
	status.Leaving = control.Leaving || s.closed
	s.mu.Unlock()
	s.report.Set(status)
}

// enter records a call as running, or returns false if none is taken any more.
func (s *Server) enter(id string, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running[id] = cancel
	return true
}

// leave removes a call.
func (s *Server) leave(id string) {
	s.mu.Lock()
	delete(s.running, id)
	s.mu.Unlock()
	s.noteStatus()
}

// cancel answers POST /v1/cancel.
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

// status answers GET /v1/status. It samples the state as well, since a model
// that has just been loaded is no event of this server.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.noteStatus()
	jsonhttp.Write(w, http.StatusOK, s.report.Get())
}

// order answers POST /v1/orders and records the orders that were obeyed.
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
	s.noteStatus()
}

// cacheEvents answers GET /v1/cache-events.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.ParseUint(r.URL.Query().Get("cursor"), 10, 64)
	events := s.worker.CacheEvents(cursor)
	answer := cacheEventsAnswer{Events: events, Next: cursor}
	if len(events) > 0 {
		answer.Next = events[len(events)-1].Number + 1
	}
	jsonhttp.Write(w, http.StatusOK, answer)
}

// cacheEventsAnswer is the answer of GET /v1/cache-events.
type cacheEventsAnswer struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// control answers POST /control.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var control Control
	if !jsonhttp.Read(w, r, &control) {
		return
	}
	s.conditions.Set(control)
	s.noteStatus()
}

// record writes to the ledger. An upstream that can't keep its ledger must not
// go on, since verdicts would be wrong.
func (s *Server) record(r ledger.Record) {
	if err := s.ledger.Write(r); err != nil {
		panic(err)
	}
}
