// Package account summarizes the log lines of gateways: for each route it counts the
// outcomes of requests and the causes of those that were late, refused or failed. Lines
// that are not valid JSON, such as truncated ones, are skipped and counted.
package account

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"

	"acaciawinch/observe/event"
)

// responseCause is the cause of a response that was late because of the time outside the
// request's stages, such as the time from the last stage to the first event of the
// response.
const responseCause = "answer"

// Row holds the outcomes of the requests of one route. Each retry by a client counts as
// a request.
type Row struct {
	Route string `json:"route"`
	// InTime and Late count the successful responses within the latency objective and
	// after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused counts requests that were refused before anything ran. Failed counts
	// other failures and incomplete responses. Left counts requests whose client
	// disconnected.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Left    int `json:"left"`
	// Causes holds what took longest in late requests, and the failed step of the
	// others, the most frequent cause first.
	Causes []Cause `json:"causes"`
}

// Cause is a reason and the number of requests with it.
type Cause struct {
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
}

// Account collects log lines. It is not safe for concurrent use.
type Account struct {
	// rows holds the rows by route, stages the stages so far of each request that has not
	// ended.
	rows   map[string]*rowBuilder
	stages map[string][]stage
	// Unread is the number of lines that could not be decoded.
	Unread int
}

// rowBuilder is a Row whose causes are still being counted.
type rowBuilder struct {
	Row
	causes map[string]int
}

// stage is a stage of a request that has not ended.
type stage struct {
	service  string
	duration time.Duration
}

// logLine holds the decoded fields of a log line.
type logLine struct {
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
	return &Account{rows: make(map[string]*rowBuilder), stages: make(map[string][]stage)}
}

// Add adds one line. Anything before its first brace, such as a time or a host name, is
// ignored.
func (a *Account) Add(text []byte) {
	var l logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil {
		a.Unread++
		return
	}
	f := l.Fields
	switch f.Event {
	case event.StageDone.Number, event.StageFailed.Number:
		a.stages[f.Request] = append(a.stages[f.Request], stage{service: f.Service, duration: time.Duration(f.DurationUS) * time.Microsecond})
	case event.GatewayAnswered.Number:
		a.countResponse(l)
	case event.GatewayRefused.Number:
		a.countRefusal(l)
	case event.GatewayBroken.Number:
		a.end(l, func(r *rowBuilder) { r.Failed++; r.causes["broken off"]++ })
	case event.GatewayLeft.Number:
		a.end(l, func(r *rowBuilder) { r.Left++ })
	}
}

// countResponse counts a response that was sent in full. It is in time if its first event
// came within the objective, counted from the client's first try: used_ms is the time that
// earlier tries took.
func (a *Account) countResponse(l logLine) {
	f := l.Fields
	first := time.Duration(f.FirstUS) * time.Microsecond
	sinceFirstTry := first + time.Duration(f.UsedMS)*time.Millisecond
	cause := a.longestCause(f.Request, first)
	a.end(l, func(r *rowBuilder) {
		switch {
		case f.Status/100 != 2:
			r.Failed++
			r.causes["the upstream's own failure"]++
		case sinceFirstTry <= time.Duration(f.ObjectiveMS)*time.Millisecond:
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

// countRefusal counts a response of the gateway itself: a refusal, or a failure of the
// request.
func (a *Account) countRefusal(l logLine) {
	const notRun, tooMany = 503, 429
	f := l.Fields
	a.end(l, func(r *rowBuilder) {
		r.causes[f.Step]++
		if f.Status == notRun || f.Status == tooMany {
			r.Refused++
			return
		}
		r.Failed++
	})
}

// longestCause returns what took most of the time to the first event of the response: the
// service of a stage, or responseCause for the time outside the stages.
func (a *Account) longestCause(request string, first time.Duration) string {
	remaining, longest, cause := first, time.Duration(0), responseCause
	for _, s := range a.stages[request] {
		remaining -= s.duration
		if s.duration > longest {
			longest, cause = s.duration, s.service
		}
	}
	if remaining > longest {
		return responseCause
	}
	return cause
}

// end removes the stages of an ended request and calls count with the row of its route.
func (a *Account) end(l logLine, count func(*rowBuilder)) {
	delete(a.stages, l.Fields.Request)
	r := a.rows[l.Fields.Route]
	if r == nil {
		r = &rowBuilder{Row: Row{Route: l.Fields.Route}, causes: make(map[string]int)}
		a.rows[l.Fields.Route] = r
	}
	count(r)
}

// Rows returns the outcomes of the requests, sorted by route.
func (a *Account) Rows() []Row {
	rows := make([]Row, 0, len(a.rows))
	for _, r := range a.rows {
		row := r.Row
		row.Causes = sortedCauses(r.causes)
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Route < rows[j].Route })
	return rows
}

// sortedCauses returns the causes, the most frequent first.
func sortedCauses(causes map[string]int) []Cause {
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
