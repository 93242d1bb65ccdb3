package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"acaciawinch/standin/worker"
)

// Promises about requests that crash workers, and about workers that ask for a backoff.
const (
	// maxCrashes is how many crashes one request may cause. After the last of these, the state of the
	// gateways takes propagationTime to spread; of the attempts that are sent later, at most
	// maxLaterAttempts may reach workers.
	maxCrashes       = 3
	maxLaterAttempts = 3
	propagationTime  = 3 * time.Second
	// backoffSlack is how long requests may still reach a worker after it asked for a backoff;
	// maxDuringBackoff is how many may reach it later.
	backoffSlack     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// disruption is a time span in which a gateway was not in contact with the other parts.
type disruption struct {
	// gateway is the index of the gateway, or allGateways.
	gateway  int
	from, to time.Time
	// process is set if the process of the gateway was stopped, killed or frozen.
	process bool
}

// allGateways stands for every gateway.
const allGateways = -1

// workerEvidence is what one incarnation of a worker did.
type workerEvidence struct {
	id         string
	runs       []worker.Run
	rejections []worker.Rejection
	arrivals   []worker.Arrival
	limits     []worker.LimitPeriod
	// crash is the request that crashed the worker, if crashed is set.
	crash   worker.Run
	crashed bool
}

// workerEvidenceOf reads from a worker what it did.
func workerEvidenceOf(w *worker.Worker) workerEvidence {
	crash, crashed := w.CrashedBy()
	return workerEvidence{id: w.ID, runs: w.Runs(), rejections: w.Rejections(), arrivals: w.Arrivals(), limits: w.LimitPeriods(), crash: crash, crashed: crashed}
}

// undisturbed reports whether a gateway had no disruption in the propagationTime before a given time.
func (e *evidence) undisturbed(gateway int, at time.Time) bool {
	for _, t := range e.disruptions {
		if (t.gateway == gateway || t.gateway == allGateways) && !t.from.After(at) && t.to.After(at.Add(-propagationTime)) {
			return false
		}
	}
	return true
}

// disrupted reports whether a gateway had a disruption in a time span; with processOnly set, only
// disruptions of its process count.
func (e *evidence) disrupted(gateway int, from, to time.Time, processOnly bool) bool {
	for _, t := range e.disruptions {
		if t.gateway != gateway && (t.gateway != allGateways || processOnly) || processOnly && !t.process {
			continue
		}
		if t.from.Before(to) && t.to.After(from) {
			return true
		}
	}
	return false
}

// endedByCrash reports whether the worker that ran a request crashed before the request ended.
func (e *evidence) endedByCrash(o Outcome) bool {
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

// judgeWorkers returns the broken promises that the evidence of the workers shows. The keys of
// outcomes are the ids of the requests.
func (e *evidence) judgeWorkers(outcomes map[string]Outcome) []string {
	found := append(e.judgeCrashes(outcomes), e.judgeParts(outcomes)...)
	last := e.lastWorkers()
	for _, w := range e.workers {
		found = append(found, e.judgeLeaving(w, outcomes, last)...)
		found = append(found, e.judgeBackoffs(w, outcomes)...)
	}
	return found
}

// judgeCrashes counts the attempts that reached workers although the request had caused maxCrashes
// crashes.
func (e *evidence) judgeCrashes(outcomes map[string]Outcome) []string {
	var crashes []time.Time
	for _, w := range e.workers {
		if w.crashed && strings.HasPrefix(w.crash.ID, crashPrefix) {
			crashes = append(crashes, w.crash.At)
		}
	}
	if len(crashes) < maxCrashes {
		return nil
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	propagated := crashes[maxCrashes-1].Add(propagationTime)
	later := 0
	for _, w := range e.workers {
		for _, run := range w.runs {
			o, has := outcomes[run.ID]
			if has && strings.HasPrefix(run.ID, crashPrefix) && o.Sent.After(propagated) && e.undisturbed(o.Gateway, o.Sent) {
				later++
			}
		}
	}
	if later <= maxLaterAttempts {
		return nil
	}
	return []string{fmt.Sprintf("a request under which %d workers had crashed reached workers %d times more; %d crashed in all", maxCrashes, later, len(crashes))}
}

// maxPartCrashes is how many crashes requests with one part in their prompts may cause until the others are bounded as above.
const maxPartCrashes = 5

// judgeParts counts, for each bad part, the requests that reached workers later than propagationTime after maxPartCrashes crashes
// under it, through gateways that were not disrupted.
func (e *evidence) judgeParts(outcomes map[string]Outcome) []string {
	crashes := make(map[string][]time.Time)
	for _, w := range e.workers {
		if part := partOf(w.crash.ID); w.crashed && part != "" {
			crashes[part] = append(crashes[part], w.crash.At)
		}
	}
	var found []string
	for part, times := range crashes {
		if len(times) < maxPartCrashes {
			continue
		}
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		if later := e.countLate(part, times[maxPartCrashes-1].Add(propagationTime), outcomes); later > maxLaterAttempts {
			found = append(found, fmt.Sprintf("requests with the bad part %s, under which %d workers had crashed, reached workers %d times more; %d crashed in all", part, maxPartCrashes, later, len(times)))
		}
	}
	return found
}

// countLate counts the runs with a bad part later than a given time.
func (e *evidence) countLate(part string, known time.Time, outcomes map[string]Outcome) int {
	late := 0
	for _, w := range e.workers {
		for _, run := range w.runs {
			o, has := outcomes[run.ID]
			if has && partOf(run.ID) == part && run.At.After(known) && e.undisturbed(o.Gateway, run.At) {
				late++
			}
		}
	}
	return late
}

// partOf returns the number of the bad part in the prompt of a request, "" if it has none.
func partOf(id string) string {
	rest, is := strings.CutPrefix(id, partPrefix)
	if !is {
		return ""
	}
	number, _, _ := strings.Cut(rest, "-")
	return number
}

// lastWorkers returns, by the ids of the requests, the worker that ran each last.
func (e *evidence) lastWorkers() map[string]string {
	last, at := make(map[string]string), make(map[string]time.Time)
	for _, w := range e.workers {
		for _, run := range w.runs {
			if !run.At.Before(at[run.ID]) {
				last[run.ID], at[run.ID] = w.id, run.At
			}
		}
	}
	return last
}

// judgeLeaving finds requests that reached a worker later than drainWithin after a response had
// announced to their gateway that the worker leaves. A worker has responded to a complete response's
// request if it ran it last or its stamp came; the gateway may have sent a request again after a worker
// closed the connection without a response. last holds the worker that ran each request last.
func (e *evidence) judgeLeaving(w workerEvidence, outcomes map[string]Outcome, last map[string]string) []string {
	// announcedAt holds, by gateway, when the first response that announced the leaving ended.
	announcedAt := make(map[int]time.Time)
	for _, run := range w.runs {
		o, has := outcomes[run.ID]
		if !has || !run.Leaving || !o.Complete || !o.Signed || last[run.ID] != w.id && o.Stamp != worker.Stamp(w.id) {
			continue
		}
		if at, known := announcedAt[o.Gateway]; !known || o.Ended.Before(at) {
			announcedAt[o.Gateway] = o.Ended
		}
	}
	var found []string
	for _, run := range w.runs {
		o, has := outcomes[run.ID]
		at, known := announcedAt[o.Gateway]
		if has && known && o.Sent.After(at.Add(drainWithin)) && !e.disrupted(o.Gateway, at, run.At, true) {
			found = append(found, fmt.Sprintf("%s reached %s through gateway %d, %v after an answer had told it that the worker leaves",
				run.ID, w.id, o.Gateway+1, o.Sent.Sub(at).Round(time.Millisecond)))
		}
	}
	return found
}

// judgeBackoffs finds, for each gateway, the first backoff in which a worker got more than maxDuringBackoff
// requests from it.
func (e *evidence) judgeBackoffs(w workerEvidence, outcomes map[string]Outcome) []string {
	var found []string
	reported := make(map[int]bool)
	for _, rejection := range w.rejections {
		o, has := outcomes[rejection.ID]
		from, to := rejection.At.Add(backoffSlack), rejection.At.Add(rejection.RetryAfter)
		if !has || reported[o.Gateway] || !from.Before(to) || e.disrupted(o.Gateway, rejection.At, to, false) {
			continue
		}
		if count := w.arrivedFrom(o.Gateway, from, to, outcomes); count > maxDuringBackoff {
			reported[o.Gateway] = true
			found = append(found, fmt.Sprintf("%s got %d requests through gateway %d in the pause of %v that it had asked for with %s",
				w.id, count, o.Gateway+1, rejection.RetryAfter, rejection.ID))
		}
	}
	return found
}

// arrivedFrom counts the requests that reached a worker through a gateway in a time span.
func (w workerEvidence) arrivedFrom(gateway int, from, to time.Time, outcomes map[string]Outcome) int {
	count := 0
	arrived := func(id string, at time.Time) {
		if o, has := outcomes[id]; has && o.Gateway == gateway && at.After(from) && at.Before(to) {
			count++
		}
	}
	for _, run := range w.runs {
		arrived(run.ID, run.At)
	}
	for _, rejection := range w.rejections {
		arrived(rejection.ID, rejection.At)
	}
	return count
}
