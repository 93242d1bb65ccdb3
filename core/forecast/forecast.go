// Package forecast computes the capacity of one pool that is expected to be free: its full rate
// minus the mean demand of the recent past. After a burst the demand returns to about its mean, so
// that work which is late can be done; while an overload lasts, the mean rises to the full rate
// and nothing is expected to be free.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package forecast

import "time"

const (
	// window is the time over which the demand is averaged. An overload by two fifths over a base load of
	// three fifths uses up the forecast within half of the window, and a burst of a fifth
	// of the window leaves some of it.
	window = 30 * time.Second
	// bucketTime is the resolution of the window.
	bucketTime = 500 * time.Millisecond
	buckets    = int(window / bucketTime)
	// minHistory is the time that must have been seen before there is a forecast: some ten calls
	// of each upstream.
	minHistory = 5 * time.Second
	// maxUnprovenShare bounds the forecast until a whole window has been seen, as a share of the full rate:
	// a process that has just become the owner has not seen the load before it.
	maxUnprovenShare = 0.5
)

// Forecast is the forecast of one pool.
type Forecast struct {
	// fullRate is the number of items a second that the pool does when more wait than fit.
	fullRate float64
	// arrived and completed count items by bucket of the window; newest is the number of the newest bucket.
	arrived, completed [buckets]int
	newest             int64
	// since is the time of the first observation.
	since time.Time
}

// New returns a Forecast without history.
func New() *Forecast { return &Forecast{} }

// SetFullRate sets the number of items a second that the pool does when more wait than fit.
func (f *Forecast) SetFullRate(perSecond float64) { f.fullRate = perSecond }

// Observe starts the history if there is none: a pool without arrivals is seen to be idle.
func (f *Forecast) Observe(now time.Time) { f.advance(now) }

// Arrived records that work of a number of items is requested. A request that returns after a refusal
// is to be counted once.
func (f *Forecast) Arrived(items int, now time.Time) { f.arrived[f.advance(now)] += items }

// Completed records that a number of items are done.
func (f *Forecast) Completed(items int, now time.Time) { f.completed[f.advance(now)] += items }

// Known reports whether enough has been seen for a forecast.
func (f *Forecast) Known(now time.Time) bool {
	return !f.since.IsZero() && now.Sub(f.since) >= minHistory && f.fullRate > 0
}

// Free returns the number of items a second that the pool is expected to be able to do beyond
// its demand; 0 while there is no forecast.
func (f *Forecast) Free(now time.Time) float64 {
	if !f.Known(now) {
		return 0
	}
	free := f.fullRate - f.demand(now)
	if now.Sub(f.since) < window {
		free = min(free, maxUnprovenShare*f.fullRate)
	}
	return max(0, free)
}

// demand returns the mean number of items a second that were requested. Work that is done more
// often than it is requested, because a request returned or its results were lost, counts as
// often as it is done.
func (f *Forecast) demand(now time.Time) float64 {
	f.advance(now)
	arrived, completed := 0, 0
	for i := range buckets {
		arrived += f.arrived[i]
		completed += f.completed[i]
	}
	seen := min(window, now.Sub(f.since))
	return float64(max(arrived, completed)) / seen.Seconds()
}

// advance clears the buckets that have left the window and returns the index of the current one.
// Time that goes back counts into the newest bucket.
func (f *Forecast) advance(now time.Time) int {
	current := now.UnixNano() / int64(bucketTime)
	if f.since.IsZero() {
		f.since, f.newest = now, current
	}
	if current-f.newest > int64(buckets) {
		f.newest = current - int64(buckets)
	}
	for f.newest < current {
		f.newest++
		index := f.newest % int64(buckets)
		f.arrived[index], f.completed[index] = 0, 0
	}
	return int(f.newest % int64(buckets))
}
