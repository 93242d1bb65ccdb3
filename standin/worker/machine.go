package worker

import (
	"fmt"
	"net/http"
	"time"
)

// Pace of a machine that is slower at times, as the operators of the platform report it.
const (
	// usualPace and slowPace are the fourth figure of the load header, in percent of the usual time.
	usualPace = 100
	slowPace  = 250
	// slowFor is the length of a slow phase, SlowEvery the time from the start of one to that of the next: a
	// machine is slow for 15% of the time.
	slowFor   = 600 * time.Millisecond
	SlowEvery = 4 * time.Second
)

// Machine is the machine that a worker runs on. It is slower for a while at regular intervals.
type Machine struct {
	// SlowFrom is the start of one of the slow phases.
	SlowFrom time.Time
}

// pace returns how long work takes at a given time, in percent of the usual time; a nil machine is never slow.
func (m *Machine) pace(now time.Time) int {
	if m == nil {
		return usualPace
	}
	phase := now.Sub(m.SlowFrom) % SlowEvery
	if phase < 0 {
		phase += SlowEvery
	}
	if phase < slowFor {
		return slowPace
	}
	return usualPace
}

// work lets work take its time at the pace of the worker's machine.
func (w *Worker) work(usual time.Duration) {
	time.Sleep(usual * time.Duration(w.Machine.pace(time.Now())) / usualPace)
}

// load returns the load header of a response. It has a fourth figure if the worker has a machine.
func (w *Worker) load(now time.Time) string {
	if w.Machine == nil {
		return "1,0,8"
	}
	return fmt.Sprintf("1,0,8,%d", w.Machine.pace(now))
}

// stayOpen sends nothing more until the caller disconnects or the worker is closed.
func (w *Worker) stayOpen(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
