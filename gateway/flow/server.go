// Package flow takes a request from its client through the stages of its route to an
// upstream, and the response back. The route alone determines what may be retried: a
// request that may have run and must not run twice is never sent again, and a request is
// refused with 503 only if it did not run.
package flow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/budget"
	"acaciawinch/core/copies"
	"acaciawinch/core/elapsed"
	"acaciawinch/core/memory"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/core/slowstart"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/pace"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/gateway/streamversion"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
)

// Retries bounds the retries that the gateways of a fleet together send to a service.
type Retries struct {
	// Retries per window are at most Ratio × the service's requests + Slack.
	Ratio float64
	Slack float64
}

// Options configure a Server.
type Options struct {
	View       *view.View
	Dispatcher *pools.Dispatcher
	Client     *httpconn.Client
	Guard      *quarantine.Guard
	Limits     *ratelimit.Limiter
	Versions   *streamversion.Keeper
	// Paces holds the paces of upstreams; nil if they do not matter.
	Paces   *pace.Keeper
	Logger  *observe.Logger
	Metrics *Metrics
	Zone    string
	Retries Retries
	// Name is the name of this process among the gateways.
	Name string
	// ColdOverrun and ColdSlack bound the requests that a cold upstream may get in any second:
	// its configured rate × ColdOverrun + ColdSlack.
	ColdOverrun, ColdSlack float64
	// RepeatSilent is set if a request that may be repeated is sent to another upstream when the first
	// one is silent.
	RepeatSilent bool
	// ReturnPlaces is set if requests that can't be served are refused before their stages, and if
	// refused clients are told to return when there is room for them.
	ReturnPlaces bool
	// LateWork is set if pools keep late tasks for the capacity that is expected to be free.
	LateWork bool
	// Memory bounds the bodies of requests and responses; nil sets no bound.
	Memory *memory.Budget
}

// Server serves client requests. It is safe for concurrent use.
type Server struct {
	Options

	mu      sync.Mutex
	chooser *selection.Chooser
	cold    *slowstart.Limiter
	copies  *copies.Tracker
	budgets map[string]*budget.Budget
	// clientTimes holds, by route name, the timeouts that clients announce.
	clientTimes map[string]*elapsed.Estimator
	// silences has a lock of its own.
	silences *silences

	draining atomic.Bool
	inFlight atomic.Int64
}

// New returns a Server.
func New(options Options) *Server {
	return &Server{Options: options, chooser: selection.New(), cold: slowstart.New(options.Name), copies: copies.New(), budgets: make(map[string]*budget.Budget), clientTimes: make(map[string]*elapsed.Estimator), silences: newSilences()}
}

// SetRetries replaces the bounds on retries. If they change, all budgets are reset.
func (s *Server) SetRetries(retries Retries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Retries == retries {
		return
	}
	s.Retries = retries
	s.budgets = make(map[string]*budget.Budget)
}

// Drain makes every response from now on close its client's connection, and stops sends to cold
// upstreams.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// InFlightIn returns the number of requests in flight at the upstreams of a zone.
func (s *Server) InFlightIn(zone string) int {
	upstreams := s.View.Upstreams()
	if upstreams == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	upstreams.Each(func(upstream routes.Upstream) {
		if upstream.Zone == zone {
			open += s.chooser.InFlight(upstream.ID)
		}
	})
	return open
}

// FleetChanged drops the state of upstreams that are gone and updates the list of the other
// gateways. It must be called when either changes.
func (s *Server) FleetChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.View.MembersKnown() {
		s.cold.SetMembers(s.View.MemberNames())
	}
	if upstreams := s.View.Upstreams(); upstreams != nil {
		s.chooser.Sync(upstreams)
	}
}

// Shares of the fleet-wide retry bound that the processes use. Up to half of the bound is left
// for two errors: a process that restarts within a window starts with a full burst again, and
// changes in the number of processes are noticed late.
const (
	retryRatioShare = 0.75
	retrySlackShare = 0.5
	// minMembers is the least number of members that is assumed, as the list may not be known
	// yet.
	minMembers = 3
)

// maxTrackedRoutes bounds the routes whose client timeouts are tracked, at about 600 bytes each.
// It is the number of routes in the largest planned configuration. Beyond it, all are dropped
// and learned again.
const maxTrackedRoutes = 20000

// clientTimeUsed returns the least time that a client must have spent on earlier, refused
// attempts, given the remaining time that it announces for this one. A request with earlier
// attempts is late or nearly late, and waits behind those that can be in time. Without this
// order, many of the requests that an overloaded deployment serves in a burst are late, though
// few of the first attempts are.
func (s *Server) clientTimeUsed(route string, announced time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	estimator := s.clientTimes[route]
	if estimator == nil {
		if len(s.clientTimes) >= maxTrackedRoutes {
			clear(s.clientTimes)
		}
		estimator = &elapsed.Estimator{}
		s.clientTimes[route] = estimator
	}
	return estimator.Used(announced)
}

// withdrawRetry withdraws one retry from the budget of a service. It returns false if there is
// none.
func (s *Server) withdrawRetry(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service, now).Withdraw(now)
}

// withdrawSpareRetry withdraws one retry from the budget of a service if more than half of its burst is
// left.
func (s *Server) withdrawSpareRetry(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgetOf(service, now)
	return b.Tokens() > s.retryLimits().Burst/2 && b.Withdraw(now)
}

// canRetry reports whether withdrawRetry would succeed now.
func (s *Server) canRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service, time.Now()).Tokens() >= 1
}

// countRequest adds one request to the budget of a service.
func (s *Server) countRequest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetOf(service, now).Deposit(now)
}

// budgetOf returns the retry budget of a service. s.mu must be held.
func (s *Server) budgetOf(service string, now time.Time) *budget.Budget {
	b := s.budgets[service]
	if b == nil {
		b = budget.New(s.retryLimits(), now)
		s.budgets[service] = b
	}
	return b
}

// retryLimits returns the limits of this process's retry budgets. s.mu must be held.
func (s *Server) retryLimits() budget.Limits {
	members := max(minMembers, len(s.View.Members())+1)
	return budget.Limits{
		Ratio: s.Retries.Ratio * retryRatioShare,
		Burst: s.Retries.Slack * retrySlackShare / float64(members),
	}
}

// sendEnded records that a request sent to an upstream has ended.
func (s *Server) sendEnded(needs requirements, upstream routes.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(upstream.ID)
	if needs.keepTogether {
		s.copies.Ended(needs.request, quarantine.IncarnationOf(upstream))
	}
}

// recordLoad records the load that an upstream reported.
func (s *Server) recordLoad(id string, load selection.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.RecordLoad(id, load)
}

// markFailed makes the chooser avoid an upstream for a while.
func (s *Server) markFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Failed(id, time.Now())
}

// Sweep periodically closes expired idle connections until ctx is cancelled.
func (s *Server) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
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

// sweepInterval is the interval at which Sweep checks the idle connections.
const sweepInterval = time.Second
