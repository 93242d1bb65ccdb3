package load

import (
	"context"
	"sync"
	"time"

	"acaciawinch/standin/caller"
	"acaciawinch/standin/verdict"
)

// Record is one arrival with what came of it.
type Record struct {
	Arrival Arrival
	Result  caller.Result
	// Late is how much later than due the request was sent: the generator's own
	// fault, to be looked at before figures are believed.
	Late time.Duration
	// Latency and First count from when the request was due; First is zero for
	// answers that are not streams.
	Latency time.Duration
	First   time.Duration
}

// Attained tells whether the whole answer came within the deadline.
func (r Record) Attained() bool {
	return r.Result.Verdict == caller.Whole && r.Latency <= r.Arrival.Deadline
}

// Options configure a run.
type Options struct {
	Client *caller.Client
	// Entry returns the URL of the entry for the arrival with number i, as the
	// platform's balancer would.
	Entry func(i int) string
	// Patience is how long behind its deadline a caller waits for an answer.
	Patience time.Duration
}

// Run sends every arrival when it is due and returns the records in the order of
// the arrivals, when all are answered. It ends early if ctx does; arrivals that
// were not sent have no record.
func Run(ctx context.Context, arrivals []Arrival, o Options) []Record {
	records := make([]Record, len(arrivals))
	start := time.Now()
	sent := 0
	var group sync.WaitGroup
	for i, arrival := range arrivals {
		if !await(ctx, start.Add(arrival.At)) {
			break
		}
		sent++
		group.Go(func() { records[i] = send(ctx, start, i, arrival, o) })
	}
	group.Wait()
	return records[:sent]
}

// await waits until a time. It returns false if ctx ends first.
func await(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one arrival.
func send(ctx context.Context, start time.Time, i int, arrival Arrival, o Options) Record {
	due := start.Add(arrival.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(arrival.Deadline+o.Patience))
	defer cancel()
	result := o.Client.Send(ctx, o.Entry(i), arrival.Request)
	record := Record{Arrival: arrival, Result: result, Late: result.Began.Sub(due)}
	record.Latency = record.Late + result.Latency
	if result.First > 0 {
		record.First = record.Late + result.First
	}
	return record
}

// Exchanges returns the records for a verdict.
func Exchanges(records []Record) []verdict.Exchange {
	exchanges := make([]verdict.Exchange, len(records))
	for i, r := range records {
		exchanges[i] = verdict.Exchange{Request: r.Arrival.Request, Result: r.Result}
	}
	return exchanges
}
