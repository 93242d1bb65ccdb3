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

// maxFindings bounds the number of violations that are described in the results.
const maxFindings = 20

// results computes the results of the trial.
func (r *run) results() report.Trial {
	c := r.options.Case
	judged := dueFrom(r.records, c.JudgedFrom)
	summary := verdict.Judge(r.client, load.Exchanges(r.records), r.ledger)
	return report.Trial{
		Size:       r.options.Size.Name,
		Case:       c.Name,
		Title:      c.Title,
		Policy:     r.options.Policy.Name,
		Capacity:   r.capacity,
		Offered:    float64(len(judged)) / (c.Duration - c.JudgedFrom).Seconds(),
		JudgedFrom: c.JudgedFrom.Seconds(),
		Judged:     load.Summarize(judged),
		Others:     load.Summarize(withoutWorkspace(judged, r.options.Size.Large)),
		Workspaces: load.SummarizeByWorkspace(judged),
		Goodput:    goodput(r.records, c.JudgedFrom, c.Duration),
		Stages:     account.ByStage(r.ledger, outcomes(r.records)),
		Engine:     r.options.Size.Engine,
		Nodes:      nodes(r.before, r.after),
		Violations: len(summary.Findings),
		Findings:   summary.Findings[:min(len(summary.Findings), maxFindings)],
		Series:     series(r.records, c.Duration),
		Problems:   problems(judged),
	}
}

// dueFrom returns the records of the requests that were due at or after from.
func dueFrom(records []load.Record, from time.Duration) []load.Record {
	var due []load.Record
	for _, record := range records {
		if record.Arrival.At >= from {
			due = append(due, record)
		}
	}
	return due
}

// withoutWorkspace returns the records of all workspaces except one.
func withoutWorkspace(records []load.Record, workspace string) []load.Record {
	var others []load.Record
	for _, record := range records {
		if record.Arrival.Request.Workspace != workspace {
			others = append(others, record)
		}
	}
	return others
}

// goodput returns the rate of responses in time, per second, that were complete
// between two times of the trial. Counting by completion leaves out responses that
// are complete only after the load has ended.
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

// outcomes returns the outcomes of the requests by request id.
func outcomes(records []load.Record) map[string]account.CallerOutcome {
	all := map[string]account.CallerOutcome{}
	for _, record := range records {
		if record.Result.RequestID != "" {
			all[record.Result.RequestID] = outcomeOf(record)
		}
	}
	return all
}

// outcomeOf returns the outcome of one request.
func outcomeOf(record load.Record) account.CallerOutcome {
	switch {
	case record.Attained():
		return account.Attained
	case record.Result.Verdict == caller.Complete:
		return account.Late
	default:
		return account.Unanswered
	}
}

// series counts the requests by the second in which they were due.
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

// problems counts the requests without a complete response in time, by the text
// that describes them.
func problems(records []load.Record) map[string]int {
	counts := map[string]int{}
	for _, record := range records {
		if record.Result.Verdict != caller.Complete {
			counts[problemText(record.Result)]++
		} else if !record.Attained() {
			counts["late"]++
		}
	}
	return counts
}

// maxProblemDetail bounds the detail in the text of a problem, in bytes.
const maxProblemDetail = 100

// problemText describes a result that is not a complete response. It masks the
// digits, since they differ from one request to the next.
func problemText(result caller.Result) string {
	detail := strings.Map(func(r rune) rune {
		if unicode.IsDigit(r) {
			return '#'
		}
		return r
	}, result.Detail)
	if len(detail) > maxProblemDetail {
		detail = detail[:maxProblemDetail]
	}
	return fmt.Sprintf("%s %s: %s", result.Verdict, result.Outcome, detail)
}
