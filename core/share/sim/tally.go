package sim

import (
	"slices"
	"time"
)

// tally is what is counted, after the warm-up but for arrivals.
type tally struct {
	arrivals                   int
	quiet, busy, flood, beyond int
	wrongQuiet, wrongBusy      int
	over, overFlood, usedFlood float64
	callCount                  int
	bytes, answers             [Entries]int
	waits                      []time.Duration
}

// counting tells whether the warm-up is over.
func (s *simulation) counting() bool { return s.now.Sub(s.start) >= warmUp }

// arrived counts an arrival.
func (s *simulation) arrived(r *request) {
	if !s.counting() {
		return
	}
	if s.load(r) > 1 {
		s.tally.beyond++
	}
	switch t := &s.tally; {
	case r.workspace == flooding:
		t.flood++
		t.usedFlood += s.load(r)
	case s.bounds[r.workspace] == smallBound:
		t.quiet++
	default:
		t.busy++
	}
}

// load returns how much of its bound a request's workspace has in flight.
func (s *simulation) load(r *request) float64 {
	return float64(s.inFlight[r.workspace]) / float64(s.bounds[r.workspace])
}

// admitted notes how much of the bound is in flight now.
func (s *simulation) admitted(r *request) {
	if !s.counting() {
		return
	}
	s.tally.over = max(s.tally.over, s.load(r))
	if r.workspace == flooding {
		s.tally.overFlood = max(s.tally.overFlood, s.load(r))
	}
}

// refuse counts a refusal.
func (s *simulation) refuse(r *request) {
	if !s.counting() || s.load(r) >= 1 {
		return
	}
	switch t := &s.tally; {
	case r.workspace == flooding:
	case s.bounds[r.workspace] == smallBound:
		t.wrongQuiet++
	default:
		t.wrongBusy++
	}
}

// waited notes how long a permit was waited for.
func (s *simulation) waited(r *request) {
	if s.counting() {
		s.tally.waits = append(s.tally.waits, s.now.Sub(r.at))
	}
}

// count adds calls and bytes at an entry.
func (s *simulation) count(entry, calls, bytes int) {
	if !s.counting() {
		return
	}
	s.tally.callCount += calls
	s.tally.bytes[entry] += bytes
}

// answered adds bytes of a call that a home answers.
func (s *simulation) answered(home, bytes int) {
	s.count(home, 0, bytes)
	if s.counting() {
		s.tally.answers[home] += bytes
	}
}

// figures sums up.
func (s *simulation) figures() Figures {
	t := &s.tally
	counted := (s.now.Sub(s.start) - warmUp).Seconds()
	all, busiest := 0, 0
	for _, bytes := range t.bytes {
		all += bytes
	}
	for _, bytes := range t.answers {
		busiest = max(busiest, bytes)
	}
	most := 0
	for _, calls := range s.calls {
		most = max(most, calls)
	}
	f := Figures{
		WrongQuiet:  partOf(t.wrongQuiet, t.quiet),
		WrongBusy:   partOf(t.wrongBusy, t.busy),
		Over:        t.over,
		OverTime:    partOf(t.beyond, t.quiet+t.busy+t.flood),
		OverFlood:   t.overFlood,
		UsedFlood:   t.usedFlood / float64(max(t.flood, 1)),
		Calls:       float64(t.callCount) / counted / Entries,
		Bytes:       float64(all) / counted / Entries,
		BusiestHome: float64(busiest) / counted,
		OneHome:     float64(most) / s.now.Sub(s.start).Seconds(),
	}
	if len(t.waits) > 0 {
		slices.Sort(t.waits)
		f.WaitP50 = t.waits[len(t.waits)/2]
		f.WaitP99 = t.waits[len(t.waits)*99/100]
	}
	return f
}

// partOf returns a part of a whole, 0 of nothing.
func partOf(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
