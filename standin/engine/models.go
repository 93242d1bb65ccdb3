package engine

import (
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/upstream"
)

// models holds the model versions that an engine has loaded. It may be used by
// many goroutines.
type models struct {
	loadTime time.Duration
	honour   bool

	mu sync.Mutex
	// ready tells from when on each "model@version" is loaded.
	ready       map[string]time.Time
	lastFencing uint64
}

// newModels returns a table with the given names loaded.
func newModels(names []string, loadTime time.Duration, honour bool) *models {
	m := &models{loadTime: loadTime, honour: honour, ready: map[string]time.Time{}}
	for _, name := range names {
		m.ready[name] = time.Time{}
	}
	return m
}

// loaded tells whether the model version is loaded by now.
func (m *models) loaded(model, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ready, ok := m.ready[model+"@"+version]
	return ok && !time.Now().Before(ready)
}

// order obeys an order, unless fencing numbers are honoured and its own is old.
func (m *models) order(order upstream.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.honour && order.Fencing < m.lastFencing {
		return upstream.ErrStaleFencing
	}
	m.lastFencing = order.Fencing
	name := order.Model + "@" + order.Version
	if order.Action == "unload" {
		delete(m.ready, name)
		return nil
	}
	if _, ok := m.ready[name]; !ok {
		m.ready[name] = time.Now().Add(m.loadTime)
	}
	return nil
}

// snapshot returns the names loaded by now and the last fencing number.
func (m *models) snapshot() ([]string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	names := []string{}
	for name, ready := range m.ready {
		if !now.Before(ready) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, m.lastFencing
}
