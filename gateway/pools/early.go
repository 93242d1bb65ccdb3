package pools

import (
	"slices"
	"time"

	"acaciawinch/core/memory"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// earlyTask is a task that arrived before the configuration and the upstreams were known.
type earlyTask struct {
	session *Session
	number  uint64
	task    Task
	notify  Notify
	room    *memory.Reservation
	arrived time.Time
}

// earlyFree holds the results to free of one part, received before the configuration was known.
type earlyFree struct {
	part    Part
	handles []string
}

// maxEarly bounds the early tasks and, separately, the early requests to free results. At 800
// tasks a second, some 270 arrive in the third of a second until a starting process knows what
// it needs.
const maxEarly = 1024

// configKnown reports whether the configuration and the upstreams are known.
func (o *Owner) configKnown() bool { return o.fleet.Table() != nil && o.fleet.Upstreams() != nil }

// holdEarlyTask holds a task until the configuration is known, and reports whether it did. When
// all gateways are lost at once, the first to restart submit tasks to an owner that does not
// know its pools yet; a third of the tasks that such an owner refused at once could have been
// served. o.mu must be held.
func (o *Owner) holdEarlyTask(session *Session, number uint64, task Task, notify Notify, room *memory.Reservation) bool {
	if o.configKnown() || o.leaving || len(o.earlyTasks) >= maxEarly {
		return false
	}
	o.earlyTasks = append(o.earlyTasks, earlyTask{session: session, number: number, task: task, notify: notify, room: room, arrived: time.Now()})
	return true
}

// holdEarlyFree holds a request to free results until the configuration is known. o.mu must be
// held.
func (o *Owner) holdEarlyFree(part Part, handles []string) {
	if len(o.earlyFrees) >= maxEarly {
		o.logger.Warn(event.PoolFreeFailed, observe.Fields{"upstream": "", "handles": len(handles), "error": "too many requests are waiting for the configuration"})
		return
	}
	o.earlyFrees = append(o.earlyFrees, earlyFree{part: part, handles: handles})
}

// processEarly records and frees the results and queues the tasks that were held, once the configuration is
// known. o.mu must be held.
func (o *Owner) processEarly() {
	if !o.configKnown() {
		return
	}
	helds := o.earlyHelds
	o.earlyHelds = nil
	for _, report := range helds {
		o.takeHeld(report)
	}
	frees := o.earlyFrees
	o.earlyFrees = nil
	for _, free := range frees {
		o.free(free.part, free.handles)
	}
	if len(o.earlyTasks) > 0 {
		o.submitEarlyTasks()
	}
}

// submitEarlyTasks submits the held tasks, even if the configuration is still unknown: that is how
// a stopping owner hands them back. o.mu must be held.
func (o *Owner) submitEarlyTasks() {
	early := o.earlyTasks
	o.earlyTasks = nil
	for _, held := range early {
		waited := time.Since(held.arrived)
		held.task.Remaining -= waited
		held.task.Due -= waited
		held.task.Ends -= waited
		held.session.submit(held.number, held.task, held.notify, held.room)
	}
}

// dropEarlyTask drops a session's held task. o.mu must be held.
func (o *Owner) dropEarlyTask(s *Session, number uint64) {
	o.earlyTasks = slices.DeleteFunc(o.earlyTasks, func(held earlyTask) bool {
		dropped := held.session == s && held.number == number
		if dropped {
			held.room.Release()
		}
		return dropped
	})
}
