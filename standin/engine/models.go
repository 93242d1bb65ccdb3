package engine

import (
	"slices"
	"sync"
	"time"

	"acaciawinch/standin/upstream"
)

// models holds the model versions that an engine has loaded or is loading. It is
// safe for concurrent use.
type models struct {
	loadTime       time.Duration
	enforceFencing bool

	mu sync.Mutex
	// readyAt holds the time at which each "model@version" finishes loading.
	readyAt     map[string]time.Time
	lastFencing uint64
}

// newModels returns models of which those with the given names, as "model@version", are
// loaded.
func newModels(names []string, loadTime time.Duration, enforceFencing bool) *models {
	m := &models{loadTime: loadTime, enforceFencing: enforceFencing, readyAt: map[string]time.Time{}}
	for _, name := range names {
		m.readyAt[name] = time.Time{}
	}
	return m
}

// loaded reports whether the model version has finished loading.
func (m *models) loaded(model, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ready, ok := m.readyAt[model+"@"+version]
	return ok && !time.Now().Before(ready)
}

// order carries out an order to load or unload a model version. It rejects a stale
// fencing token if the engine enforces fencing.
func (m *models) order(order upstream.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.enforceFencing && order.Fencing < m.lastFencing {
		return upstream.ErrStaleFencing
	}
	m.lastFencing = order.Fencing
	name := order.Model + "@" + order.Version
	if order.Action == "unload" {
		delete(m.readyAt, name)
		return nil
	}
	if _, ok := m.readyAt[name]; !ok {
		m.readyAt[name] = time.Now().Add(m.loadTime)
	}
	return nil
}

// snapshot returns the names of the loaded models and the last fencing token.
func (m *models) snapshot() ([]string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	names := []string{}
	for name, ready := range m.readyAt {
		if !now.Before(ready) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, m.lastFencing
}
