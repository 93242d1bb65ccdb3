package latency

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core"
)

// reportLife is how long a report counts. Upstreams that an entry has not heard
// of for longer say nothing about the service any more.
const reportLife = 60 * time.Second

// maxWeight bounds the weight of one reporter, so that a long-lived upstream
// does not outvote the rest.
const maxWeight = 100

// Report is what one upstream's side told about its recent work.
type Report struct {
	Estimate
	// Finished is how many attempts the side has seen end; it is the weight.
	Finished uint64
	At       time.Time
}

// Table keeps the last report of each upstream by service. It is not safe for
// concurrent use.
type Table struct {
	services map[string]map[core.UpstreamID]Report
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{services: make(map[string]map[core.UpstreamID]Report)}
}

// Observe stores the report of an upstream.
func (t *Table) Observe(service string, upstream core.UpstreamID, report Report) {
	reports, ok := t.services[service]
	if !ok {
		reports = make(map[core.UpstreamID]Report)
		t.services[service] = reports
	}
	reports[upstream] = report
}

// Estimate merges the reports of a service that are not older than a minute.
// Each quantile is the weighted median over the upstreams, so one straggler
// among three or more doesn't move it.
func (t *Table) Estimate(service string, now time.Time) Estimate {
	var live []Report
	for upstream, report := range t.services[service] {
		if now.Sub(report.At) > reportLife {
			delete(t.services[service], upstream)
			continue
		}
		live = append(live, report)
	}
	return merge(live)
}

// merge returns the weighted median of every field over reports. A zero wait is
// a fact; any other zero means that the side had no recent sample.
func merge(reports []Report) Estimate {
	median := func(field func(Report) time.Duration) time.Duration {
		return weightedMedian(reports, field, false)
	}
	return Estimate{
		Wait:       weightedMedian(reports, func(r Report) time.Duration { return r.Wait }, true),
		ServiceP50: median(func(r Report) time.Duration { return r.ServiceP50 }),
		ServiceP95: median(func(r Report) time.Duration { return r.ServiceP95 }),
		FirstP50:   median(func(r Report) time.Duration { return r.FirstP50 }),
		FirstP95:   median(func(r Report) time.Duration { return r.FirstP95 }),
		GapP95:     median(func(r Report) time.Duration { return r.GapP95 }),
		Reporters:  len(reports),
	}
}

// sample is one reported value and its weight.
type sample struct {
	value  time.Duration
	weight float64
}

// weightedMedian returns the smallest value up to which half of the weight lies.
// Zeros are left out unless they count.
func weightedMedian(reports []Report, field func(Report) time.Duration, zeros bool) time.Duration {
	var samples []sample
	total := 0.0
	for _, report := range reports {
		value := field(report)
		if value == 0 && !zeros {
			continue
		}
		weight := float64(min(report.Finished+1, maxWeight))
		samples = append(samples, sample{value: value, weight: weight})
		total += weight
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	below := 0.0
	for _, s := range samples {
		below += s.weight
		if 2*below >= total {
			return s.value
		}
	}
	return 0
}
