// Package load is an open-loop load generator. Requests are sent at times drawn
// beforehand, whether or not earlier requests have completed, and latencies count from
// those times. A slow system therefore can't reduce its own load.
package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/standin/caller"
)

// Flow is the stream of requests of one workspace for one pipeline.
type Flow struct {
	Workspace string
	Pipeline  string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Bursts multiply the rate for a time. They must be sorted and must not overlap.
	Bursts []Burst
	// Keyed gives each request an idempotency key.
	Keyed bool
	// Stream requests server-sent events.
	Stream bool
	// Deadline is the deadline of each request, by which attainment is measured.
	Deadline time.Duration
}

// Burst multiplies a flow's rate from From up to To, both counted from the start of
// the run.
type Burst struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Arrival is one request with the time at which it is due.
type Arrival struct {
	// At is the due time, counted from the start of the run.
	At       time.Duration
	Deadline time.Duration
	Request  caller.Request
}

// Schedule draws the arrivals of all flows up to duration as Poisson processes and
// returns them in order of time. Equal seeds give equal schedules.
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

// request returns a request of the flow. The name makes its body, and its idempotency
// key if it has one, unique.
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

// arrivals draws the arrival times of one flow. A Poisson process is memoryless, so a
// new draw at each change of the rate keeps the process exact.
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

// rateAt returns the rate at the time now and the end of the period in which it holds.
func (f Flow) rateAt(now, end time.Duration) (float64, time.Duration) {
	for _, burst := range f.Bursts {
		if now < burst.From {
			return f.Rate, min(burst.From, end)
		}
		if now < burst.To {
			return f.Rate * burst.Factor, min(burst.To, end)
		}
	}
	return f.Rate, end
}
