package pipeline

import (
	"sync"
	"time"

	"acaciawinch/core/budget"
	"acaciawinch/core/latency"
	"acaciawinch/core/request"
)

// knowledge is what all requests of the entry share. Budgets are kept by
// service, so that cheap calls don't pay for extra passes of a costly stage.
type knowledge struct {
	router       Router
	retry, hedge budgets
}

// newKnowledge returns knowledge with full budgets.
func newKnowledge(router Router, retry, hedge budget.Limits) *knowledge {
	return &knowledge{
		router: router,
		retry:  budgets{limits: retry, byService: make(map[string]*sharedBudget)},
		hedge:  budgets{limits: hedge, byService: make(map[string]*sharedBudget)},
	}
}

// Estimate implements request.Knowledge.
func (k *knowledge) Estimate(service string) latency.Estimate { return k.router.Estimate(service) }

// RetryBudget implements request.Knowledge.
func (k *knowledge) RetryBudget(service string) request.Budget { return k.retry.of(service) }

// HedgeBudget implements request.Knowledge.
func (k *knowledge) HedgeBudget(service string) request.Budget { return k.hedge.of(service) }

// budgets holds one budget for each service.
type budgets struct {
	limits budget.Limits

	mu        sync.Mutex
	byService map[string]*sharedBudget
}

// of returns the budget of a service.
func (b *budgets) of(service string) *sharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared, ok := b.byService[service]
	if !ok {
		shared = &sharedBudget{budget: budget.New(b.limits, time.Now())}
		b.byService[service] = shared
	}
	return shared
}

// sharedBudget is a budget that many requests use at once.
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
