package latency

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core"
)

// reportTTL is how long a report counts. An older report says nothing about the present
// latency of the service.
const reportTTL = 60 * time.Second

// maxReporterWeight bounds the weight of one upstream, so that a long-running one does not
// outvote the others.
const maxReporterWeight = 100

// Report is the report of one sidecar about the recent work of its upstream.
type Report struct {
	Estimate
	// Finished is how many attempts the sidecar has seen end. It is the weight of the
	// report.
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

// Estimate merges the reports of a service that are not older than reportTTL. Each quantile
// is the weighted median over the upstreams, so that one straggler among three or more does
// not move it.
func (t *Table) Estimate(service string, now time.Time) Estimate {
	var fresh []Report
	for upstream, report := range t.services[service] {
		if now.Sub(report.At) > reportTTL {
			delete(t.services[service], upstream)
			continue
		}
		fresh = append(fresh, report)
	}
	return merge(fresh)
}

// merge returns the weighted median of every field over reports. A zero wait is a measured
// value; any other zero means that the sidecar had no recent sample.
func merge(reports []Report) Estimate {
	median := func(field func(Report) time.Duration) time.Duration {
		return weightedMedian(reports, field, false)
	}
	return Estimate{
		Wait:          weightedMedian(reports, func(r Report) time.Duration { return r.Wait }, true),
		ServiceP50:    median(func(r Report) time.Duration { return r.ServiceP50 }),
		ServiceP95:    median(func(r Report) time.Duration { return r.ServiceP95 }),
		FirstChunkP50: median(func(r Report) time.Duration { return r.FirstChunkP50 }),
		FirstChunkP95: median(func(r Report) time.Duration { return r.FirstChunkP95 }),
		ChunkGapP95:   median(func(r Report) time.Duration { return r.ChunkGapP95 }),
		Reporters:     len(reports),
	}
}

// sample is one reported value and its weight.
type sample struct {
	value  time.Duration
	weight float64
}

// weightedMedian returns the smallest value at or below which half of the weight lies.
// Zeros are left out unless includeZeros is set.
func weightedMedian(reports []Report, field func(Report) time.Duration, includeZeros bool) time.Duration {
	var samples []sample
	total := 0.0
	for _, report := range reports {
		value := field(report)
		if value == 0 && !includeZeros {
			continue
		}
		weight := float64(min(report.Finished+1, maxReporterWeight))
		samples = append(samples, sample{value: value, weight: weight})
		total += weight
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	cumulative := 0.0
	for _, s := range samples {
		cumulative += s.weight
		if 2*cumulative >= total {
			return s.value
		}
	}
	return 0
}
