package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"acaciawinch/standin/worker"
)

// LimitWorker makes the responses of a worker name a limit on its requests.
const LimitWorker Kind = "limit worker"

// Promise about a worker that names a limit, in the platform's published form: from limitLearnTime after it was
// first named, the worker gets in any limitWindow at most limitFactor times what the limit allows and
// limitSlack more, from gateways that had passed a response that names it on toldTime before or earlier.
// A gateway that was restarted, frozen or cut off in the limitLearnTime before does not count.
const (
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	toldTime       = 500 * time.Millisecond
)

// limitRates are the limits in requests a second that workers name.
var limitRates = []float64{0.4, 1, 3, 8}

// Length of the time for which a worker names a limit.
const (
	shortestLimit = limitLearnTime
	longestLimit  = limitLearnTime + 2*limitWindow
)

// planLimits returns the steps of a seed on workers that name limits. They are drawn from a random source of
// their own, so that the plans of older seeds do not change.
func planLimits(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x632be59b))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, 0, faultsFor/2), For: between(random, shortestLimit, longestLimit), Kind: LimitWorker,
			Target: random.IntN(1 << 16), Choice: random.IntN(1 << 16)})
	}
	return plan
}

// limitWorker makes a worker name a limit for the time of the step. The limit may change meanwhile.
func (s *soak) limitWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	w.NameLimit(limitRates[step.Choice%len(limitRates)])
	if step.Choice/8%4 == 0 {
		sleep(ctx, step.For/2)
		w.NameLimit(limitRates[step.Choice/4%len(limitRates)])
	}
	sleep(ctx, step.For)
	w.NameLimitAs()
}

// calmLimit is the limit in requests a second that is checked while no fault is active.
const calmLimit = 1.0

// limitAll makes one worker of each service name a limit while no fault is active, and checks all that arrives,
// stage calls included.
func (s *soak) limitAll(ctx context.Context) {
	services := make(map[string]bool)
	s.mu.Lock()
	for _, w := range s.workers {
		services[w.service] = true
	}
	s.mu.Unlock()
	var limited []registeredWorker
	for service := range services {
		w := s.workerOf(service)
		w.NameLimit(calmLimit)
		limited = append(limited, w)
	}
	began := time.Now()
	sleep(ctx, limitLearnTime+2*limitWindow)
	for _, w := range limited {
		w.NameLimitAs()
		if most := worker.MostWithin(w.Arrivals(), began.Add(limitLearnTime), limitWindow); most > allowedBy(calmLimit) {
			s.addViolation("%s named a limit of %v a second while no fault was active and got %d requests in %v; %d are allowed", w.ID, calmLimit, most, limitWindow, allowedBy(calmLimit))
		}
	}
}

// allowedBy returns how many requests may arrive in any limitWindow under a limit.
func allowedBy(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// linkDisruption is a time span in which a link was broken, silent or slow.
type linkDisruption struct {
	link     string
	from, to time.Time
}

// beginLinkDisruption records a disruption of a link that lasts until end is called.
func (s *soak) beginLinkDisruption(link string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := len(s.evidence.linkDisruptions)
	s.evidence.linkDisruptions = append(s.evidence.linkDisruptions, linkDisruption{link: link, from: time.Now(), to: farFuture})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evidence.linkDisruptions[index].to = time.Now()
	}
}

// inTouch reports whether neither the process of a gateway nor its links to the store and to a worker had a
// disruption in the limitLearnTime before a given time.
func (e *evidence) inTouch(gateway int, workerLink string, at time.Time) bool {
	since := at.Add(-limitLearnTime)
	for _, d := range e.disruptions {
		if d.process && d.gateway == gateway && d.from.Before(at) && d.to.After(since) {
			return false
		}
	}
	for _, d := range e.linkDisruptions {
		if (d.link == fmt.Sprintf("gateway-%d", gateway+1) || d.link == workerLink) && d.from.Before(at) && d.to.After(since) {
			return false
		}
	}
	return true
}

// judgeLimits finds workers that got more requests than the limit allows that they had named.
func (e *evidence) judgeLimits(outcomes map[string]Outcome) []string {
	var found []string
	for _, w := range e.workers {
		for _, period := range w.limits {
			if most := e.mostCounted(w, period, outcomes); most > allowedBy(period.PerSecond) {
				found = append(found, fmt.Sprintf("%s named a limit of %v a second and got %d requests in %v from gateways that it had told; %d are allowed",
					w.id, period.PerSecond, most, limitWindow, allowedBy(period.PerSecond)))
			}
		}
	}
	return found
}

// mostCounted returns the largest number of requests in a limitWindow of a limit's time that count against it.
func (e *evidence) mostCounted(w workerEvidence, period worker.LimitPeriod, outcomes map[string]Outcome) int {
	told, counted := make(map[int]time.Time), []worker.Arrival(nil)
	arrivals := append([]worker.Arrival(nil), w.arrivals...)
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	for _, arrival := range arrivals {
		o, has := outcomes[arrival.ID]
		if !has || arrival.At.Before(period.From) || !period.To.IsZero() && arrival.At.After(period.To) {
			continue
		}
		if at, known := told[o.Gateway]; known && arrival.At.After(at.Add(toldTime)) && e.inTouch(o.Gateway, workerLinkOf(w.id), arrival.At) {
			counted = append(counted, arrival)
		}
		if at, known := told[o.Gateway]; o.Complete && (!known || o.Ended.Before(at)) {
			told[o.Gateway] = o.Ended
		}
	}
	return worker.MostWithin(counted, period.From.Add(limitLearnTime), limitWindow)
}

// workerLinkOf returns the name of the link to a worker: that of its first incarnation.
func workerLinkOf(id string) string {
	for i := range id {
		if id[i] == '+' {
			return id[:i]
		}
	}
	return id
}
