package pools

import "time"

// FreshWait returns the shortest wait of a task in time of a class among the parts of a service's pool,
// from estimates that are not older than maxAge; 0 if a part has none. It never overestimates the wait
// because of one busy part or of a burst that has ended.
func (d *Dispatcher) FreshWait(service string, class Class, maxAge time.Duration) time.Duration {
	count := partsOf(len(d.view.Upstreams().Of(service)))
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waits.fresh(service, count, class, now, maxAge)
}

// fresh returns the shortest wait among a number of parts, 0 if a part has no estimate younger than maxAge.
func (w *waits) fresh(service string, count int, class Class, now time.Time, maxAge time.Duration) time.Duration {
	var shortest time.Duration
	for index := range count {
		e, known := w.byClass[partClass{Part: Part{Service: service, Index: index, Count: count}, class: class}]
		if !known || now.Sub(e.at) > maxAge {
			return 0
		}
		if wait := e.remaining(now); index == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
