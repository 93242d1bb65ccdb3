package worker

import (
	"net/http"
	"strconv"
	"time"
)

// limitHeader names the rate of requests that a worker in need takes from all callers together.
const limitHeader = "Server-Limit"

// Arrival is a request or call of any kind that reached a worker, whether or not the worker ran it.
type Arrival struct {
	// ID is the id of the request; empty for a stage call.
	ID   string
	Path string
	At   time.Time
	// Named is set if the response names a limit.
	Named bool
}

// LimitPeriod is a time span in which responses named a limit.
type LimitPeriod struct {
	PerSecond float64
	// From is when the limit was set, To when it ended; zero if it has not.
	From, To time.Time
}

// NameLimit makes the responses from now on name a limit in requests a second.
func (w *Worker) NameLimit(perSecond float64) {
	w.NameLimitAs(strconv.FormatFloat(perSecond, 'f', -1, 64))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.periods = append(w.periods, LimitPeriod{PerSecond: perSecond, From: time.Now()})
}

// LimitPeriods returns the time spans in which NameLimit was in force.
func (w *Worker) LimitPeriods() []LimitPeriod {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]LimitPeriod(nil), w.periods...)
}

// NameLimitAs makes the responses from now on name the limit by the given values of its header; none ends the
// limit.
func (w *Worker) NameLimitAs(values ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = values
	if last := len(w.periods) - 1; last >= 0 && w.periods[last].To.IsZero() {
		w.periods[last].To = time.Now()
	}
}

// Arrivals returns what has arrived so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// recordArrival records a request and adds the limit to the headers of its response.
func (w *Worker) recordArrival(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, value := range w.limit {
		out.Header().Add(limitHeader, value)
	}
	w.arrivals = append(w.arrivals, Arrival{ID: r.Header.Get("X-Attempt-Id"), Path: r.URL.Path, At: time.Now(), Named: len(w.limit) > 0})
}

// MostWithin returns the largest number of arrivals in any time span of a length that begins at or after a
// given time.
func MostWithin(arrivals []Arrival, from time.Time, length time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.At.Before(from) {
			continue
		}
		count := 0
		for _, later := range arrivals[i:] {
			if later.At.Sub(first.At) < length {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
