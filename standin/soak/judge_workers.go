package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"acaciawinch/standin/worker"
)

// What is promised of requests under which workers crash, and of what workers ask for.
const (
	// crashesBefore is how many crashes of one request are allowed, and crashesAfter how many
	// attempts may reach workers that are sent later than contactTime after the last of these.
	crashesBefore = 3
	crashesAfter  = 3
	contactTime   = 3 * time.Second
	// pauseSlack is how long after a worker asked for a pause requests may still reach it, and
	// mostInPause how many later.
	pauseSlack  = 500 * time.Millisecond
	mostInPause = 2
)

// trouble is a span in which a gateway was not in touch.
type trouble struct {
	// gateway is its number, everyone for all.
	gateway  int
	from, to time.Time
	// process is set if the gateway's own process was stopped, killed or frozen.
	process bool
}

// everyone stands for all gateways.
const everyone = -1

// workerEvidence is what one start of a worker did.
type workerEvidence struct {
	id       string
	runs     []worker.Run
	refusals []worker.Refusal
	// crash is the request under which it crashed, if crashed is set.
	crash   worker.Run
	crashed bool
}

// workerEvidenceOf reads what a worker did.
func workerEvidenceOf(w *worker.Worker) workerEvidence {
	crash, crashed := w.CrashedBy()
	return workerEvidence{id: w.ID, runs: w.Runs(), refusals: w.Refusals(), crash: crash, crashed: crashed}
}

// inTouch tells whether nothing was wrong with a gateway for contactTime before a moment.
func (e *evidence) inTouch(gateway int, at time.Time) bool {
	for _, t := range e.troubles {
		if (t.gateway == gateway || t.gateway == everyone) && !t.from.After(at) && t.to.After(at.Add(-contactTime)) {
			return false
		}
	}
	return true
}

// disturbed tells whether a gateway had trouble in a span, of its process only if that is set.
func (e *evidence) disturbed(gateway int, from, to time.Time, processOnly bool) bool {
	for _, t := range e.troubles {
		if t.gateway != gateway && (t.gateway != everyone || processOnly) || processOnly && !t.process {
			continue
		}
		if t.from.Before(to) && t.to.After(from) {
			return true
		}
	}
	return false
}

// brokenOff tells whether the worker that ran a request crashed before the request's end.
func (e *evidence) brokenOff(o Outcome) bool {
	for _, w := range e.workers {
		if !w.crashed || w.crash.At.Before(o.Sent) || w.crash.At.After(o.Ended) {
			continue
		}
		for _, run := range w.runs {
			if run.ID == o.ID {
				return true
			}
		}
	}
	return false
}

// judgeWorkers returns what workers saw that broke a promise. Asked holds the outcomes by their ids.
func (e *evidence) judgeWorkers(asked map[string]Outcome) []string {
	found := e.judgeCrashes(asked)
	for _, w := range e.workers {
		found = append(found, e.judgeLeaving(w, asked)...)
		found = append(found, e.judgePauses(w, asked)...)
	}
	return found
}

// judgeCrashes counts the attempts that reached workers after the request had crashed enough.
func (e *evidence) judgeCrashes(asked map[string]Outcome) []string {
	var crashes []time.Time
	for _, w := range e.workers {
		if w.crashed {
			crashes = append(crashes, w.crash.At)
		}
	}
	if len(crashes) < crashesBefore {
		return nil
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	known := crashes[crashesBefore-1].Add(contactTime)
	later := 0
	for _, w := range e.workers {
		for _, run := range w.runs {
			o, has := asked[run.ID]
			if has && strings.HasPrefix(run.ID, crashPrefix) && o.Sent.After(known) && e.inTouch(o.Gateway, o.Sent) {
				later++
			}
		}
	}
	if later <= crashesAfter {
		return nil
	}
	return []string{fmt.Sprintf("a request under which %d workers had crashed reached workers %d times more; %d crashed in all", crashesBefore, later, len(crashes))}
}

// judgeLeaving finds requests that reached a worker long after an answer had told their gateway that
// it leaves.
func (e *evidence) judgeLeaving(w workerEvidence, asked map[string]Outcome) []string {
	told := make(map[int]time.Time)
	for _, run := range w.runs {
		o, has := asked[run.ID]
		if !has || !run.Leaving || !o.Whole || !o.Signed {
			continue
		}
		if at, known := told[o.Gateway]; !known || o.Ended.Before(at) {
			told[o.Gateway] = o.Ended
		}
	}
	var found []string
	for _, run := range w.runs {
		o, has := asked[run.ID]
		at, known := told[o.Gateway]
		if has && known && o.Sent.After(at.Add(drainWithin)) && !e.disturbed(o.Gateway, at, run.At, true) {
			found = append(found, fmt.Sprintf("%s reached %s through gateway %d, %v after an answer had told it that the worker leaves",
				run.ID, w.id, o.Gateway+1, o.Sent.Sub(at).Round(time.Millisecond)))
		}
	}
	return found
}

// judgePauses finds the first pause of each gateway in which a worker got more from it than it may.
func (e *evidence) judgePauses(w workerEvidence, asked map[string]Outcome) []string {
	var found []string
	told := make(map[int]bool)
	for _, refusal := range w.refusals {
		o, has := asked[refusal.ID]
		from, to := refusal.At.Add(pauseSlack), refusal.At.Add(refusal.RetryAfter)
		if !has || told[o.Gateway] || !from.Before(to) || e.disturbed(o.Gateway, refusal.At, to, false) {
			continue
		}
		if count := w.arrivedFrom(o.Gateway, from, to, asked); count > mostInPause {
			told[o.Gateway] = true
			found = append(found, fmt.Sprintf("%s got %d requests through gateway %d in the pause of %v that it had asked for with %s",
				w.id, count, o.Gateway+1, refusal.RetryAfter, refusal.ID))
		}
	}
	return found
}

// arrivedFrom counts the requests that reached a worker through a gateway in a span.
func (w workerEvidence) arrivedFrom(gateway int, from, to time.Time, asked map[string]Outcome) int {
	count := 0
	arrived := func(id string, at time.Time) {
		if o, has := asked[id]; has && o.Gateway == gateway && at.After(from) && at.Before(to) {
			count++
		}
	}
	for _, run := range w.runs {
		arrived(run.ID, run.At)
	}
	for _, refusal := range w.refusals {
		arrived(refusal.ID, refusal.At)
	}
	return count
}
