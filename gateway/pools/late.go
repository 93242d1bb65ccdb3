package pools

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/forecast"
	"acaciawinch/core/pool"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// lateWork follows the late tasks of one part at its owner. A nil lateWork does nothing.
type lateWork struct {
	forecast *forecast.Forecast
	refusals *refusals
	// kept and keptItems count the tasks kept since the last log line, which was written at logged.
	kept, keptItems int
	logged          time.Time
}

// keptInterval is the least time between two log lines on the tasks that a part keeps. Each task has a line of its
// own when it is started or refused.
const keptInterval = time.Second

// lateMetrics counts the late tasks that owners decide on by the forecast.
type lateMetrics struct {
	scope tally.Scope
}

// count counts one decision about a late task of a service.
func (m *lateMetrics) count(service string, kind pool.LateKind) {
	m.scope.Tagged(map[string]string{"service": service, "decision": string(kind)}).Counter("late_tasks").Inc(1)
}

// free records the capacity that is expected to be free, in items a second.
func (m *lateMetrics) free(service string, rate float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("late_free_items").Update(rate)
}

// KeepLateWork makes the owner keep late tasks for the capacity that is expected to be free. It must be
// called before tasks are submitted.
func (o *Owner) KeepLateWork(scope tally.Scope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late = &lateMetrics{scope: scope}
}

// startLateWork gives a part an empty forecast if late tasks are kept. o.mu must be held.
func (o *Owner) startLateWork(p *ownedPart) {
	if o.late == nil {
		return
	}
	p.late = &lateWork{forecast: forecast.New(), refusals: newRefusals()}
	p.queue.KeepLate(p.late.forecast)
}

// arrived counts the items of a submitted task as demand, unless its request returns after a refusal
// here and was counted then.
func (l *lateWork) arrived(task Task, now time.Time) {
	if l == nil || l.refusals.take(refusalKey{string(task.Fingerprint), task.Stage}, now) {
		return
	}
	l.forecast.Arrived(task.Items, now)
}

// refused remembers a task that was refused as late, or cancelled because another stage was.
func (l *lateWork) refused(task Task, now time.Time) {
	if l != nil && len(task.Fingerprint) > 0 {
		l.refusals.add(refusalKey{string(task.Fingerprint), task.Stage}, now.Add(task.Remaining))
	}
}

// completed counts items that are done.
func (l *lateWork) completed(items int, now time.Time) {
	if l != nil {
		l.forecast.Completed(items, now)
	}
}

// resultOf adds the owner's estimates to the result of a task. The Owner's lock must be held.
func (p *ownedPart) resultOf(task *openTask, result Result, now time.Time) Result {
	result.Wait, result.Backlog = p.queue.Wait(task.Class.Rank, task.Value), p.queue.Backlog()
	if p.late == nil || result.Failure != Late {
		return result
	}
	late := p.queue.ForecastLate(task.queued, task.Items, now)
	result.LateRefused = late.Known && !late.Kept
	result.RetryAfter = late.After
	return result
}

// recordLate logs and counts the decisions of a part about late tasks. o.mu must be held.
func (o *Owner) recordLate(p *ownedPart, now time.Time) {
	if p.late == nil {
		return
	}
	for _, decision := range p.queue.TakeLateDecisions() {
		o.late.count(p.Service, decision.Kind)
		switch decision.Kind {
		case pool.LateKept:
			p.late.kept++
			p.late.keptItems += decision.Items
		case pool.LateStarted:
			o.logger.Event(event.PoolLateStarted, p.lateFields(decision))
		case pool.LateRefused:
			o.logger.Event(event.PoolLateRefused, p.lateFields(decision))
		}
	}
	if now.Sub(p.late.logged) >= keptInterval {
		o.recordKept(p, now)
	}
}

// lateFields returns the fields of the log line for a decision.
func (p *ownedPart) lateFields(decision pool.LateDecision) observe.Fields {
	request, stage := "", 0
	if task := p.tasks[decision.Ticket]; task != nil {
		request, stage = task.Request, task.Stage
	}
	return observe.Fields{"request": request, "stage": stage, "service": p.Service, "part": p.Index, "items": decision.Items, "ahead": decision.Ahead,
		"free": tenths(decision.Free), "remaining_ms": decision.Remaining.Milliseconds(), "kept_ms": decision.Kept.Milliseconds()}
}

// tenths rounds a rate for the log.
func tenths(rate float64) float64 { return math.Round(10*rate) / 10 }

// recordKept logs the tasks that a part has begun to keep since the last line. o.mu must be held.
func (o *Owner) recordKept(p *ownedPart, now time.Time) {
	p.late.logged = now
	free, known := p.queue.FreeRate(now)
	if known {
		o.late.free(p.Service, free)
	}
	if p.late.kept == 0 {
		return
	}
	o.logger.Event(event.PoolLateKept, observe.Fields{"service": p.Service, "part": p.Index, "tasks": p.late.kept, "items": p.late.keptItems,
		"waiting": p.queue.Waiting(), "free": tenths(free)})
	p.late.kept, p.late.keptItems = 0, 0
}
