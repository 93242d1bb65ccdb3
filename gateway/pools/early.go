package pools

import (
	"slices"
	"time"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// earlyTask is a task that waits for the owner to know what to do with it.
type earlyTask struct {
	session *Session
	number  uint64
	task    Task
	notify  Notify
	came    time.Time
}

// earlyFree is what is to be freed of a part.
type earlyFree struct {
	part    Part
	handles []string
}

// maxEarly bounds the tasks and the wishes to free, each for itself: at 800 tasks a second, and
// a third of a second until a process that starts knows what it needs, some 270 come.
const maxEarly = 1024

// knows tells whether the configuration and the upstreams are known.
func (o *Owner) knows() bool { return o.fleet.Table() != nil && o.fleet.Upstreams() != nil }

// keepEarly keeps a task until the configuration is known, and tells whether it did. When
// all gateways are lost at once, those that start first give their tasks to an owner that
// does not know its pools yet, and a third of what it refused at once could have been served.
func (o *Owner) keepEarly(session *Session, number uint64, task Task, notify Notify) bool {
	if o.knows() || o.leaving || len(o.early) >= maxEarly {
		return false
	}
	o.early = append(o.early, earlyTask{session: session, number: number, task: task, notify: notify, came: time.Now()})
	return true
}

// keepEarlyFree keeps a wish to free results until the configuration is known. The lock is held.
func (o *Owner) keepEarlyFree(part Part, handles []string) {
	if len(o.earlyFrees) >= maxEarly {
		o.logger.Warn(event.PoolFreeFailed, observe.Fields{"upstream": "", "handles": len(handles), "error": "too many wait for the configuration"})
		return
	}
	o.earlyFrees = append(o.earlyFrees, earlyFree{part: part, handles: handles})
}

// submitEarly frees what was to be freed, and queues the tasks that waited, once the
// configuration is known. The lock is held.
func (o *Owner) submitEarly() {
	if !o.knows() {
		return
	}
	frees := o.earlyFrees
	o.earlyFrees = nil
	for _, one := range frees {
		o.free(one.part, one.handles)
	}
	if len(o.early) > 0 {
		o.submitAll()
	}
}

// submitAll submits them whatever is known: an owner that stops hands them back so. The lock
// is held.
func (o *Owner) submitAll() {
	early := o.early
	o.early = nil
	for _, one := range early {
		waited := time.Since(one.came)
		one.task.Remaining -= waited
		one.task.Due -= waited
		one.session.submit(one.number, one.task, one.notify)
	}
}

// forgetEarly drops a session's task of a number that waits for the configuration. The lock is
// held.
func (o *Owner) forgetEarly(s *Session, number uint64) {
	o.early = slices.DeleteFunc(o.early, func(one earlyTask) bool { return one.session == s && one.number == number })
}
