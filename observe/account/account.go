// Package account tells from the log lines of gateways what became of the requests of each
// route, and what held up those that were not on time. Lines of other programs, or cut ones,
// are passed over and counted.
package account

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"

	"acaciawinch/observe/event"
)

// answerCause names the time from the last stage to an answer's first event.
const answerCause = "answer"

// Row is what became of one route's requests. A client that comes back counts anew.
type Row struct {
	Route string `json:"route"`
	// InTime and Late were answered with success, within the objective and after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused promised that nothing ran; Failed did not, or broke off; Left went by
	// themselves.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Left    int `json:"left"`
	// Causes are what took longest of the late ones, and the steps of the others, the most
	// frequent first.
	Causes []Cause `json:"causes"`
}

// Cause is a reason and how many requests it had.
type Cause struct {
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
}

// Account gathers lines. It is not safe for concurrent use.
type Account struct {
	rows   map[string]*row
	stages map[string][]stage
	// Unread counts the lines that are no log lines.
	Unread int
}

// row is a Row that is still added to.
type row struct {
	Row
	causes map[string]int
}

// stage is one stage of a request that is still open.
type stage struct {
	service string
	took    time.Duration
}

// line is what is read of a log line.
type line struct {
	Fields struct {
		Event       int    `json:"event"`
		Request     string `json:"request"`
		Route       string `json:"route"`
		Service     string `json:"service"`
		Step        string `json:"step"`
		Status      int    `json:"status"`
		DurationUS  int64  `json:"duration_us"`
		FirstUS     int64  `json:"first_us"`
		UsedMS      int64  `json:"used_ms"`
		ObjectiveMS int64  `json:"objective_ms"`
	} `json:"fields"`
}

// New returns an empty Account.
func New() *Account {
	return &Account{rows: make(map[string]*row), stages: make(map[string][]stage)}
}

// Add takes one line. What stands before its first brace, as a time or a host, is left out.
func (a *Account) Add(text []byte) {
	var l line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil {
		a.Unread++
		return
	}
	f := l.Fields
	switch f.Event {
	case event.StageDone.Number, event.StageFailed.Number:
		a.stages[f.Request] = append(a.stages[f.Request], stage{service: f.Service, took: time.Duration(f.DurationUS) * time.Microsecond})
	case event.GatewayAnswered.Number:
		a.answered(l)
	case event.GatewayRefused.Number:
		a.refused(l)
	case event.GatewayBroken.Number:
		a.end(l, func(r *row) { r.Failed++; r.causes["broken off"]++ })
	case event.GatewayLeft.Number:
		a.end(l, func(r *row) { r.Left++ })
	}
}

// answered takes an answer that a client has whole.
func (a *Account) answered(l line) {
	f := l.Fields
	first := time.Duration(f.FirstUS) * time.Microsecond
	since := first + time.Duration(f.UsedMS)*time.Millisecond
	cause := a.longest(f.Request, first)
	a.end(l, func(r *row) {
		switch {
		case f.Status/100 != 2:
			r.Failed++
			r.causes["the upstream's own failure"]++
		case since <= time.Duration(f.ObjectiveMS)*time.Millisecond:
			r.InTime++
		case f.UsedMS > 0:
			r.Late++
			r.causes["came back late"]++
		default:
			r.Late++
			r.causes[cause]++
		}
	})
}

// refused takes an answer of the gateway's own.
func (a *Account) refused(l line) {
	const notRun, tooMany = 503, 429
	f := l.Fields
	a.end(l, func(r *row) {
		r.causes[f.Step]++
		if f.Status == notRun || f.Status == tooMany {
			r.Refused++
			return
		}
		r.Failed++
	})
}

// longest returns what took most of the time to the first event: a stage, or the rest.
func (a *Account) longest(request string, first time.Duration) string {
	rest, longest, cause := first, time.Duration(0), answerCause
	for _, s := range a.stages[request] {
		rest -= s.took
		if s.took > longest {
			longest, cause = s.took, s.service
		}
	}
	if rest > longest {
		return answerCause
	}
	return cause
}

// end counts the end of a request.
func (a *Account) end(l line, count func(*row)) {
	delete(a.stages, l.Fields.Request)
	r := a.rows[l.Fields.Route]
	if r == nil {
		r = &row{Row: Row{Route: l.Fields.Route}, causes: make(map[string]int)}
		a.rows[l.Fields.Route] = r
	}
	count(r)
}

// Rows returns what became of the requests, by route.
func (a *Account) Rows() []Row {
	rows := make([]Row, 0, len(a.rows))
	for _, r := range a.rows {
		whole := r.Row
		whole.Causes = sorted(r.causes)
		rows = append(rows, whole)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Route < rows[j].Route })
	return rows
}

// sorted returns causes, the most frequent first.
func sorted(causes map[string]int) []Cause {
	list := make([]Cause, 0, len(causes))
	for reason, requests := range causes {
		list = append(list, Cause{Reason: reason, Requests: requests})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Requests != list[j].Requests {
			return list[i].Requests > list[j].Requests
		}
		return list[i].Reason < list[j].Reason
	})
	return list
}
