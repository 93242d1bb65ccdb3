// Package flow carries one request from its client through the stages of its route
// to an upstream and the answer back. What may be done again follows from the route
// alone: a request that may have run and must not run twice is never sent again, and
// a refusal with 503 is given only where nothing ran.
package flow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/budget"
	"acaciawinch/core/elapsed"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/core/slowstart"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
)

// Retries bounds what a fleet sends to a service beyond the first time.
type Retries struct {
	// Ratio of the service's requests, and Slack for the whole fleet in a window.
	Ratio float64
	Slack float64
}

// Options are what a Server needs.
type Options struct {
	View    *view.View
	Asker   *pools.Asker
	Client  *httpconn.Client
	Guard   *quarantine.Guard
	Logger  *observe.Logger
	Metrics *Metrics
	Zone    string
	Retries Retries
	// Name is this process's among the gateways.
	Name string
	// ColdOverrun and ColdSlack say how many more requests than its configured number a cold
	// upstream may get in any second: that number × ColdOverrun + ColdSlack.
	ColdOverrun, ColdSlack float64
}

// Server serves requests. It may be used by many goroutines.
type Server struct {
	Options

	mu      sync.Mutex
	chooser *selection.Chooser
	cold    *slowstart.Limiter
	budgets map[string]*budget.Budget
	// clients holds what the clients of each route announce, by its name.
	clients map[string]*elapsed.Estimator

	draining atomic.Bool
	inFlight atomic.Int64
	bodies   atomic.Int64
}

// New returns a Server.
func New(options Options) *Server {
	return &Server{Options: options, chooser: selection.New(), cold: slowstart.New(options.Name), budgets: make(map[string]*budget.Budget), clients: make(map[string]*elapsed.Estimator)}
}

// SetRetries takes over changed bounds. Budgets begin anew.
func (s *Server) SetRetries(retries Retries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Retries == retries {
		return
	}
	s.Retries = retries
	s.budgets = make(map[string]*budget.Budget)
}

// Drain makes each answer from now on close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns how many requests are open.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// OpenIn returns how many requests are open at the upstreams of a zone.
func (s *Server) OpenIn(zone string) int {
	upstreams := s.View.Upstreams()
	if upstreams == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	upstreams.Each(func(upstream routes.Upstream) {
		if upstream.Zone == zone {
			open += s.chooser.Open(upstream.ID)
		}
	})
	return open
}

// Forget drops what is known of upstreams that are gone, and takes over the other gateways. It
// is called when either change.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.View.MembersKnown() {
		s.cold.SetMembers(s.View.MemberNames())
	}
	if upstreams := s.View.Upstreams(); upstreams != nil {
		s.chooser.Keep(upstreams)
	}
}

// Shares of the fleet's bound on repeated sends that one process uses. Windows slide
// over restarts, after which a process begins with a full burst again, and the
// other processes are counted late; half of the bound is left for both.
const (
	retryRatioShare = 0.75
	retrySlackShare = 0.5
	// fewestMembers is assumed until the list of members is there.
	fewestMembers = 3
)

// mostRoutes bounds the routes whose clients are known, some 600 bytes each: those of a
// configuration of the most that is planned for. Beyond it all are learned anew.
const mostRoutes = 20000

// used returns how much of its time a client that announces what is left of it has used
// up elsewhere, at least: it was refused there. Such a request is late, or near it, and
// waits behind those that can be in time. Without that a good part of what an overfull
// deployment answers in a burst is late, though few first requests are.
func (s *Server) used(route string, announced time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.clients[route]
	if e == nil {
		if len(s.clients) >= mostRoutes {
			clear(s.clients)
		}
		e = &elapsed.Estimator{}
		s.clients[route] = e
	}
	return e.Used(announced)
}

// spend takes one repeated send to a service out of the budget, or returns false.
func (s *Server) spend(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service, now).Withdraw(now)
}

// affords tells whether spend would take one now.
func (s *Server) affords(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service, time.Now()).Tokens() >= 1
}

// deposit counts one request for a service.
func (s *Server) deposit(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetOf(service, now).Deposit(now)
}

// budgetOf returns the budget of a service. The lock is held.
func (s *Server) budgetOf(service string, now time.Time) *budget.Budget {
	b := s.budgets[service]
	if b == nil {
		members := max(fewestMembers, len(s.View.Members())+1)
		b = budget.New(budget.Limits{
			Ratio: s.Retries.Ratio * retryRatioShare,
			Burst: s.Retries.Slack * retrySlackShare / float64(members),
		}, now)
		s.budgets[service] = b
	}
	return b
}

// ended counts the end of a request at an upstream.
func (s *Server) ended(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(id)
}

// heard records an upstream's word about its load.
func (s *Server) heard(id string, load selection.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Heard(id, load)
}

// failed passes an upstream over for a while.
func (s *Server) failed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Failed(id, time.Now())
}

// Sweep closes idle connections until ctx ends.
func (s *Server) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.Client.Sweep(now)
		}
	}
}

// sweepEvery is how often idle connections are looked through.
const sweepEvery = time.Second
