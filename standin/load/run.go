package load

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/verdict"
)

// Record is one arrival with its result.
type Record struct {
	Arrival Arrival
	Result  caller.Result
	// Late is the delay between the time at which the request was due and its sending.
	// The generator causes it, not the system, so check it before trusting the figures.
	Late time.Duration
	// Latency and First count from the time at which the request was due. First is zero
	// for responses that are not streams.
	Latency time.Duration
	First   time.Duration
}

// Attained reports whether the response completed within the deadline.
func (r Record) Attained() bool {
	return r.Result.Verdict == caller.Complete && r.Latency <= r.Arrival.Deadline
}

// Options configure a run.
type Options struct {
	Client *caller.Client
	// Entry returns the URL of the entry for arrival i. It stands in for the platform's
	// load balancer.
	Entry func(i int) string
	// GracePeriod is the time beyond its deadline for which a caller waits for a response.
	GracePeriod time.Duration
}

// Run sends every arrival when it is due, waits for all results and returns the records
// in the order of the arrivals. If ctx ends early, the arrivals that were not sent have
// no record.
func Run(ctx context.Context, arrivals []Arrival, o Options) []Record {
	records := make([]Record, len(arrivals))
	start := time.Now()
	sent := 0
	var group sync.WaitGroup
	for i, arrival := range arrivals {
		if !waitUntil(ctx, start.Add(arrival.At)) {
			break
		}
		sent++
		group.Go(func() { records[i] = send(ctx, start, i, arrival, o) })
	}
	group.Wait()
	return records[:sent]
}

// waitUntil waits until a time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the request of arrival i and returns its record.
func send(ctx context.Context, start time.Time, i int, arrival Arrival, o Options) Record {
	due := start.Add(arrival.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(arrival.Deadline+o.GracePeriod))
	defer cancel()
	result := o.Client.Send(ctx, o.Entry(i), arrival.Request)
	record := Record{Arrival: arrival, Result: result, Late: result.Began.Sub(due)}
	record.Latency = record.Late + result.Latency
	if result.First > 0 {
		record.First = record.Late + result.First
	}
	return record
}

// Exchanges converts records to the input of package verdict.
func Exchanges(records []Record) []verdict.Exchange {
	exchanges := make([]verdict.Exchange, len(records))
	for i, r := range records {
		exchanges[i] = verdict.Exchange{Request: r.Arrival.Request, Result: r.Result}
	}
	return exchanges
}
