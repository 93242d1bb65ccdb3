package pool

import "time"

// LateKind is the kind of a decision about a late task.
type LateKind string

// The decisions about late tasks that the forecast makes.
const (
	// LateKept: the task waits for the capacity that is expected to be free.
	LateKept LateKind = "kept"
	// LateStarted: items of a task that was kept are in a call.
	LateStarted LateKind = "started"
	// LateRefused: the task is dropped.
	LateRefused LateKind = "refused"
)

// LateDecision is a decision about a late task.
type LateDecision struct {
	Ticket Ticket
	Kind   LateKind
	Items  int
	// Ahead is the number of late items ahead of the task.
	Ahead int
	// Free is the forecast in items a second.
	Free float64
	// Remaining is the time until the task's deadline, Kept the time for which it has been kept.
	Remaining, Kept time.Duration
}

// maxDecisions bounds the decisions that are kept until they are taken: an owner takes them each 20 ms.
const maxDecisions = 4096

// TakeLateDecisions returns the decisions about late tasks since the last call, in their order.
func (p *Pool) TakeLateDecisions() []LateDecision {
	taken := p.decisions
	p.decisions = nil
	return taken
}

// decide records a decision about a late task.
func (p *Pool) decide(kind LateKind, q *queuedTask, late *lateQueue, now time.Time) {
	if len(p.decisions) >= maxDecisions {
		return
	}
	decision := LateDecision{Ticket: q.Ticket, Kind: kind, Items: len(q.items), Ahead: late.ahead, Free: late.free, Remaining: q.Deadline.Sub(now)}
	if !q.keptAt.IsZero() {
		decision.Kept = now.Sub(q.keptAt)
	}
	p.decisions = append(p.decisions, decision)
}

// recordLateStart records that items of a task that the forecast kept go into a call.
func (p *Pool) recordLateStart(q *queuedTask, now time.Time) {
	if !q.keptAt.IsZero() && !q.started {
		q.started = true
		p.decide(LateStarted, q, p.lateQueue(now), now)
	}
}
