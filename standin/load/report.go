package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
)

// Range of the histograms in microseconds, and their precision.
const (
	lowestUS          = 1
	highestUS         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Quantiles summarizes one measure, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report summarizes the records of one workspace or of all workspaces.
type Report struct {
	Sent int `json:"sent"`
	// Attained counts the complete responses within the deadline.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	Answered   int     `json:"answered"`
	NotRun     int     `json:"not_run"`
	Failed     int     `json:"failed"`
	Unknown    int     `json:"unknown"`
	// Other counts truncated, unreadable and mismatched responses.
	Other int `json:"other"`
	// First, Gap and Latency cover complete responses: the time until the first chunk,
	// between chunks, and until the end of the response. Refusal is the time until a
	// refusal.
	First   Quantiles `json:"first"`
	Gap     Quantiles `json:"gap"`
	Latency Quantiles `json:"latency"`
	Refusal Quantiles `json:"refusal"`
	// Late is the delay between the time at which a request was due and its sending.
	Late Quantiles `json:"late"`
}

// Summarize returns one report on all records.
func Summarize(records []Record) Report {
	s := newSummary()
	for _, r := range records {
		s.add(r)
	}
	return s.report()
}

// SummarizeByWorkspace returns one report for each workspace.
func SummarizeByWorkspace(records []Record) map[string]Report {
	summaries := map[string]*summary{}
	for _, r := range records {
		name := r.Arrival.Request.Workspace
		if summaries[name] == nil {
			summaries[name] = newSummary()
		}
		summaries[name].add(r)
	}
	reports := make(map[string]Report, len(summaries))
	for name, s := range summaries {
		reports[name] = s.report()
	}
	return reports
}

// summary accumulates the records of a Report.
type summary struct {
	counts                             Report
	first, gap, latency, refusal, late *hdrhistogram.Histogram
}

// newSummary returns an empty summary.
func newSummary() *summary {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestUS, highestUS, significantDigits)
	}
	return &summary{
		first:   histogram(),
		gap:     histogram(),
		latency: histogram(),
		refusal: histogram(),
		late:    histogram(),
	}
}

// add adds one record to the summary.
func (s *summary) add(r Record) {
	s.counts.Sent++
	record(s.late, r.Late)
	if r.Attained() {
		s.counts.Attained++
	}
	switch {
	case r.Result.Verdict == caller.Complete:
		s.counts.Answered++
		s.addLatencies(r)
	case r.Result.Verdict != caller.Problem:
		s.counts.Other++
	case r.Result.Outcome == core.OutcomeNotRun:
		s.counts.NotRun++
		record(s.refusal, r.Latency)
	case r.Result.Outcome == core.OutcomeFailed:
		s.counts.Failed++
	default:
		s.counts.Unknown++
	}
}

// addLatencies adds the times of a complete response to the summary.
func (s *summary) addLatencies(r Record) {
	record(s.latency, r.Latency)
	if r.First > 0 {
		record(s.first, r.First)
	}
	for _, gap := range r.Result.Gaps {
		record(s.gap, gap)
	}
}

// record adds a duration to a histogram, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestUS), highestUS)
	// RecordValue fails only for values outside of the range.
	_ = h.RecordValue(us)
}

// report returns the counts with the quantiles.
func (s *summary) report() Report {
	r := s.counts
	if r.Sent > 0 {
		r.Attainment = float64(r.Attained) / float64(r.Sent)
	}
	r.First = quantiles(s.first)
	r.Gap = quantiles(s.gap)
	r.Latency = quantiles(s.latency)
	r.Refusal = quantiles(s.refusal)
	r.Late = quantiles(s.late)
	return r
}

// quantiles returns the quantiles of a histogram.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}
