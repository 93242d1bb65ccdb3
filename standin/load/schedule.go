// Package load is an open-loop load generator: requests are sent at times drawn
// beforehand, whether or not earlier ones have been answered, and latencies
// count from those times. A slow system can't slow its own load down.
package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/standin/caller"
)

// Flow is the requests of one workspace for one pipeline.
type Flow struct {
	Workspace string
	Pipeline  string
	// Rate is the mean arrivals in a second.
	Rate float64
	// Surges change the rate for a time; they must be in order and apart.
	Surges []Surge
	// Keyed gives each request an idempotency key.
	Keyed bool
	// Stream asks for server-sent events.
	Stream bool
	// Deadline is the request's deadline, which attainment is measured by.
	Deadline time.Duration
}

// Surge multiplies a flow's rate from From up to To, counted from the start.
type Surge struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Arrival is one request with the time at which it is due.
type Arrival struct {
	// At counts from the start of the run.
	At       time.Duration
	Deadline time.Duration
	Request  caller.Request
}

// Schedule draws the arrivals of all flows up to duration as Poisson processes,
// in order of time. Equal seeds give equal schedules.
func Schedule(seed uint64, duration time.Duration, flows []Flow) []Arrival {
	var all []Arrival
	for i, flow := range flows {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for n, at := range arrivals(random, duration, flow) {
			all = append(all, Arrival{
				At:       at,
				Deadline: flow.Deadline,
				Request:  flow.request(fmt.Sprintf("%d-%d-%d", seed, i, n)),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// request returns the flow's request with a body that no other one has.
func (f Flow) request(name string) caller.Request {
	request := caller.Request{
		Workspace:  f.Workspace,
		Pipeline:   f.Pipeline,
		DeadlineMS: fmt.Sprint(f.Deadline.Milliseconds()),
		Body:       fmt.Appendf(nil, `{"request":%q}`, name),
		Stream:     f.Stream,
	}
	if f.Keyed {
		request.Key = name
	}
	return request
}

// arrivals draws the times of one flow. A Poisson process has no memory, so that
// drawing anew at each change of the rate keeps the process exact.
func arrivals(random *rand.Rand, duration time.Duration, flow Flow) []time.Duration {
	var times []time.Duration
	now := time.Duration(0)
	for now < duration {
		rate, until := flow.rateAt(now, duration)
		if rate <= 0 {
			now = until
			continue
		}
		next := now + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		if next >= until {
			now = until
			continue
		}
		now = next
		times = append(times, now)
	}
	return times
}

// rateAt returns the rate at a time and until when it holds.
func (f Flow) rateAt(now, end time.Duration) (float64, time.Duration) {
	for _, surge := range f.Surges {
		if now < surge.From {
			return f.Rate, min(surge.From, end)
		}
		if now < surge.To {
			return f.Rate * surge.Factor, min(surge.To, end)
		}
	}
	return f.Rate, end
}
