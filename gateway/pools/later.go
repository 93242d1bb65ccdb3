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

// Later returns the newest estimate for a service; its Shortest is left to the caller.
func (d *Dispatcher) Later(service string) LaterWait {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	newest, known := d.waits.byService[service]
	if !known {
		return LaterWait{Service: service}
	}
	return LaterWait{Service: service, Wait: newest.wait, Age: now.Sub(newest.at)}
}

// observeLater passes on the estimates that come with a task to the queue of its part, and returns the services of the
// later pools. A later stage on the same pool is left out: the tasks that wait here would hold each
// other. o.mu must be held.
func (o *Owner) observeLater(p *ownedPart, later []LaterWait, now time.Time) []string {
	services := make([]string, 0, len(later))
	for _, l := range later {
		if l.Service == p.Service {
			continue
		}
		services = append(services, l.Service)
		service := o.fleet.Table().Service(l.Service)
		if l.Wait > 0 && service != nil && service.Pool != nil {
			full := service.Pool.CallTime + time.Duration(service.Pool.Batch)*service.Pool.ItemTime
			p.queue.ObserveLater(l.Service, l.Wait, full, now.Add(-l.Age))
		}
	}
	return services
}
