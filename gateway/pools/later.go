package pools

import (
	"time"

	"acaciawinch/wire/wirepb"
)

// laterOf decodes the estimates for the later pools of a chain.
func laterOf(list []*wirepb.PoolLater) []LaterWait {
	later := make([]LaterWait, len(list))
	for i, m := range list {
		later[i] = LaterWait{
			Service:  m.GetService(),
			Wait:     time.Duration(m.GetWaitMs()) * time.Millisecond,
			Age:      time.Duration(m.GetAgeMs()) * time.Millisecond,
			Shortest: time.Duration(m.GetShortestMs()) * time.Millisecond,
		}
	}
	return later
}

// laterMessages encodes the estimates for the later pools of a chain.
func laterMessages(later []LaterWait) []*wirepb.PoolLater {
	list := make([]*wirepb.PoolLater, len(later))
	for i, l := range later {
		list[i] = &wirepb.PoolLater{
			Service:    l.Service,
			WaitMs:     uint64(max(0, l.Wait.Milliseconds())),
			AgeMs:      uint64(max(0, l.Age.Milliseconds())),
			ShortestMs: uint64(max(0, l.Shortest.Milliseconds())),
		}
	}
	return list
}

// estimateOf returns the estimate for a service among its parts and classes that is the longest at
// the given time, and when it was received. A short estimate for an urgent class says nothing
// about a late task, which waits behind the tasks in time of all classes.
func (w *waits) estimateOf(service string, now time.Time) (estimate, bool) {
	var longest estimate
	known := false
	for key, e := range w.byClass {
		if key.Service == service && (!known || e.remaining(now) > longest.remaining(now)) {
			longest, known = e, true
		}
	}
	return longest, known
}

// Later returns the newest estimate for a service; its Shortest is left to the caller.
func (d *Dispatcher) Later(service string) LaterWait {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.waits.estimateOf(service, now)
	if !known {
		return LaterWait{Service: service}
	}
	return LaterWait{Service: service, Wait: e.wait, Age: now.Sub(e.at)}
}
