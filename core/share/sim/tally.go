package sim

import (
	"slices"
	"time"
)

// counters holds the statistics of a simulation. All but arrivals exclude the warm-up.
type counters struct {
	arrivals int
	// quiet, busy and flood count the arrivals of workspaces with the smallest bound, of
	// those with larger bounds, and of the flooding workspace. overBound counts the
	// arrivals at which the workspace was beyond its bound.
	quiet, busy, flood, overBound int
	// wrongQuiet and wrongBusy count the refusals of workspaces within their bounds.
	wrongQuiet, wrongBusy int
	// over and overFlood are the highest ratios of requests in flight to the bound, and
	// usedFlood the sum of these ratios at the arrivals of the flooding workspace.
	over, overFlood, usedFlood float64
	callCount                  int
	bytes, servedBytes         [Entries]int
	waits                      []time.Duration
}

// measuring reports whether the warm-up is over.
func (s *simulation) measuring() bool { return s.now.Sub(s.start) >= warmUp }

// countArrival counts an arrival.
func (s *simulation) countArrival(r *request) {
	if !s.measuring() {
		return
	}
	if s.load(r) > 1 {
		s.counters.overBound++
	}
	switch counters := &s.counters; {
	case r.workspace == floodingRank:
		counters.flood++
		counters.usedFlood += s.load(r)
	case s.bounds[r.workspace] == smallBound:
		counters.quiet++
	default:
		counters.busy++
	}
}

// load returns the ratio of requests in flight to the bound of a request's workspace.
func (s *simulation) load(r *request) float64 {
	return float64(s.inFlight[r.workspace]) / float64(s.bounds[r.workspace])
}

// recordLoad updates the highest load after an admission.
func (s *simulation) recordLoad(r *request) {
	if !s.measuring() {
		return
	}
	s.counters.over = max(s.counters.over, s.load(r))
	if r.workspace == floodingRank {
		s.counters.overFlood = max(s.counters.overFlood, s.load(r))
	}
}

// refuse counts a refusal if the workspace was within its bound.
func (s *simulation) refuse(r *request) {
	if !s.measuring() || s.load(r) >= 1 {
		return
	}
	switch counters := &s.counters; {
	case r.workspace == floodingRank:
	case s.bounds[r.workspace] == smallBound:
		counters.wrongQuiet++
	default:
		counters.wrongBusy++
	}
}

// recordWait records the time from a request's arrival until its permit.
func (s *simulation) recordWait(r *request) {
	if s.measuring() {
		s.counters.waits = append(s.counters.waits, s.now.Sub(r.arrivedAt))
	}
}

// count adds an entry's calls and bytes.
func (s *simulation) count(entry, calls, bytes int) {
	if !s.measuring() {
		return
	}
	s.counters.callCount += calls
	s.counters.bytes[entry] += bytes
}

// countServed adds the bytes of a call that a home serves.
func (s *simulation) countServed(home, bytes int) {
	s.count(home, 0, bytes)
	if s.measuring() {
		s.counters.servedBytes[home] += bytes
	}
}

// results computes the results from the counters of the simulation.
func (s *simulation) results() Results {
	counters := &s.counters
	measured := (s.now.Sub(s.start) - warmUp).Seconds()
	totalBytes, busiest := 0, 0
	for _, bytes := range counters.bytes {
		totalBytes += bytes
	}
	for _, bytes := range counters.servedBytes {
		busiest = max(busiest, bytes)
	}
	mostCalls := 0
	for _, calls := range s.calls {
		mostCalls = max(mostCalls, calls)
	}
	results := Results{
		WrongQuiet:  ratio(counters.wrongQuiet, counters.quiet),
		WrongBusy:   ratio(counters.wrongBusy, counters.busy),
		Over:        counters.over,
		OverTime:    ratio(counters.overBound, counters.quiet+counters.busy+counters.flood),
		OverFlood:   counters.overFlood,
		UsedFlood:   counters.usedFlood / float64(max(counters.flood, 1)),
		Calls:       float64(counters.callCount) / measured / Entries,
		Bytes:       float64(totalBytes) / measured / Entries,
		BusiestHome: float64(busiest) / measured,
		OneHome:     float64(mostCalls) / s.now.Sub(s.start).Seconds(),
	}
	if len(counters.waits) > 0 {
		slices.Sort(counters.waits)
		results.WaitP50 = counters.waits[len(counters.waits)/2]
		results.WaitP99 = counters.waits[len(counters.waits)*99/100]
	}
	return results
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
