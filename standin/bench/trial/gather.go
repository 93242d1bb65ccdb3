package trial

import (
	"fmt"
	"strings"
	"time"
	"unicode"

	"acaciawinch/standin/bench/account"
	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/load"
	"acaciawinch/standin/verdict"
)

// maxFindings bounds the violations that are described.
const maxFindings = 20

// report works out the results.
func (r *run) report() report.Trial {
	c := r.options.Case
	judged := dueFrom(r.records, c.From)
	summary := verdict.Judge(r.client, load.Exchanges(r.records), r.ledger)
	return report.Trial{
		Size:       r.options.Size.Name,
		Case:       c.Name,
		Title:      c.Title,
		Policy:     r.options.Policy.Name,
		Capacity:   r.capacity,
		Offered:    float64(len(judged)) / (c.Duration - c.From).Seconds(),
		JudgedFrom: c.From.Seconds(),
		Judged:     load.Summarize(judged),
		Others:     load.Summarize(without(judged, r.options.Size.Large)),
		Workspaces: load.SummarizeByWorkspace(judged),
		Goodput:    goodput(r.records, c.From, c.Duration),
		Stages:     account.ByStage(r.ledger, fates(r.records)),
		Engine:     r.options.Size.Engine,
		Nodes:      nodes(r.before, r.after),
		Violations: len(summary.Findings),
		Findings:   summary.Findings[:min(len(summary.Findings), maxFindings)],
		Series:     series(r.records, c.Duration),
		Problems:   problems(judged),
	}
}

// dueFrom returns the records of requests due from a time on.
func dueFrom(records []load.Record, from time.Duration) []load.Record {
	var due []load.Record
	for _, record := range records {
		if record.Arrival.At >= from {
			due = append(due, record)
		}
	}
	return due
}

// without returns the records of all workspaces but one.
func without(records []load.Record, workspace string) []load.Record {
	var rest []load.Record
	for _, record := range records {
		if record.Arrival.Request.Workspace != workspace {
			rest = append(rest, record)
		}
	}
	return rest
}

// goodput returns the answers in time per second, counted when they were
// complete, between two times of the trial. Counting by completion keeps out what
// is answered when the load is over.
func goodput(records []load.Record, from, to time.Duration) float64 {
	count := 0
	for _, record := range records {
		completed := record.Arrival.At + record.Latency
		if record.Attained() && completed >= from && completed < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

// fates returns what callers got, by request id.
func fates(records []load.Record) map[string]account.Fate {
	all := map[string]account.Fate{}
	for _, record := range records {
		if record.Result.RequestID != "" {
			all[record.Result.RequestID] = fate(record)
		}
	}
	return all
}

// fate returns what the caller of one request got.
func fate(record load.Record) account.Fate {
	switch {
	case record.Attained():
		return account.Attained
	case record.Result.Verdict == caller.Whole:
		return account.Late
	default:
		return account.Unanswered
	}
}

// series returns what became of the requests by the second they were due in.
func series(records []load.Record, duration time.Duration) []report.Second {
	seconds := make([]report.Second, int((duration+time.Second-1)/time.Second))
	for _, record := range records {
		second := &seconds[record.Arrival.At/time.Second]
		second.Offered++
		if record.Attained() {
			second.Attained++
		}
	}
	return seconds
}

// problems counts what the callers that got no whole answer were told.
func problems(records []load.Record) map[string]int {
	counts := map[string]int{}
	for _, record := range records {
		if record.Result.Verdict != caller.Whole {
			counts[told(record.Result)]++
		} else if !record.Attained() {
			counts["late"]++
		}
	}
	return counts
}

// maxTold bounds the text of what a caller was told.
const maxTold = 100

// told returns what a caller was told, without the numbers that differ from one
// request to the next.
func told(result caller.Result) string {
	detail := strings.Map(func(r rune) rune {
		if unicode.IsDigit(r) {
			return '#'
		}
		return r
	}, result.Detail)
	if len(detail) > maxTold {
		detail = detail[:maxTold]
	}
	return fmt.Sprintf("%s %s: %s", result.Verdict, result.Outcome, detail)
}
