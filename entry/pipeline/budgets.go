package pipeline

import (
	"sync"
	"time"

	"acaciawinch/core/budget"
	"acaciawinch/core/latency"
	"acaciawinch/core/request"
)

// sharedState is the state that all requests of this gateway share. Each service
// has its own budgets, so that calls to a cheap service don't fund retries and
// hedges of a costly one.
type sharedState struct {
	router       Router
	retry, hedge budgets
}

// newSharedState returns a sharedState without any budgets; each starts full on
// first use.
func newSharedState(router Router, retry, hedge budget.Limits) *sharedState {
	return &sharedState{
		router: router,
		retry:  budgets{limits: retry, byService: make(map[string]*sharedBudget)},
		hedge:  budgets{limits: hedge, byService: make(map[string]*sharedBudget)},
	}
}

// Estimate implements request.Services.
func (s *sharedState) Estimate(service string) latency.Estimate { return s.router.Estimate(service) }

// RetryBudget implements request.Services.
func (s *sharedState) RetryBudget(service string) request.Budget { return s.retry.forService(service) }

// HedgeBudget implements request.Services.
func (s *sharedState) HedgeBudget(service string) request.Budget { return s.hedge.forService(service) }

// budgets holds one budget per service.
type budgets struct {
	limits budget.Limits

	mu        sync.Mutex
	byService map[string]*sharedBudget
}

// forService returns the budget of a service and creates it on first use.
func (b *budgets) forService(service string) *sharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared, ok := b.byService[service]
	if !ok {
		shared = &sharedBudget{budget: budget.New(b.limits, time.Now())}
		b.byService[service] = shared
	}
	return shared
}

// sharedBudget is a budget that is safe for concurrent use.
type sharedBudget struct {
	mu     sync.Mutex
	budget *budget.Budget
}

// Deposit implements request.Budget.
func (s *sharedBudget) Deposit(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit(now)
}

// Withdraw implements request.Budget.
func (s *sharedBudget) Withdraw(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Withdraw(now)
}
