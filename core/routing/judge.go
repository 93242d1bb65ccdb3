package routing

import (
	"fmt"
	"time"
)

// Weights of the expected completion.
const (
	// tailWeight is how much of the distance from median to 95th percentile
	// counts: a call meets the tail with its probability, not always.
	tailWeight = 0.2
	// occupancyWeight slows the service time with the work already held, since
	// the reported quantiles lag behind the batch.
	occupancyWeight = 0.25
	// backlogWeight is how much of the backlog behind the reported wait counts while
	// the query's own wait is not known: its workspace and class may have work there
	// that the report, of a workspace without any, does not show.
	backlogWeight = 0.5
	// cachedShare is the part of the time to the first chunk that a cached
	// prefix is expected to save. The report is a hint: it may be old.
	cachedShare = 0.5
	// assumedService orders upstreams by the work they hold while nobody knows how
	// long the service takes.
	assumedService = 50 * time.Millisecond
	// slowedFactor is how many times later than usual an upstream's chunks must be
	// for its whole answers to be expected later in the same measure.
	slowedFactor = 2
	// maxFailureRatio bounds the penalty for failures.
	maxFailureRatio = 0.95
)

// Weighed is an upstream that was considered for a decision.
type Weighed struct {
	Answer Answer
	// Usable is false if the upstream can't take the work; Reason says why.
	Usable bool
	Reason string
	// Expected is the time from dispatch to the whole result.
	Expected time.Duration
	// Wait is the part of it in the queue.
	Wait time.Duration
	// Backlog is how long the upstream needs for all that waits there. It says
	// more than Wait when a workspace's burst waits behind its own work.
	Backlog time.Duration
	// score orders the usable ones: Expected with its risks and hints.
	score time.Duration
}

// judge weighs one answer.
func (r *Round) judge(answer Answer) Weighed {
	w := Weighed{Answer: answer}
	if w.Reason = r.Query.Obstacle(answer); w.Reason != "" {
		return w
	}
	service := r.serviceTime(answer)
	w.Wait, w.Backlog = r.waits(answer, service)
	w.Expected = w.Wait + service + r.Table.distance(r.Picker.zone, answer.Upstream)
	w.score = r.score(w, service)
	w.Usable = r.Query.Remaining == 0 || w.Expected <= r.Query.Remaining
	if !w.Usable {
		w.Reason = fmt.Sprintf("needs %s of %s", round(w.Expected), round(r.Query.Remaining))
	}
	return w
}

// serviceTime returns how long the upstream is expected to work on the stage.
func (r *Round) serviceTime(answer Answer) time.Duration {
	load := answer.Load
	reported := max(load.ServiceP50, r.slowed(load))
	times := load.Estimate
	times.ServiceP50 = r.Table.progressOf(answer.Upstream.ID).blend(load, reported, r.Usual.ServiceP50, r.Now)
	return times.ForTokens(r.Query.MaxTokens).ServiceP50
}

// slowed returns the usual service time times the factor by which the upstream's
// chunks are later than the service's, or zero if they are not much later. Chunks
// show a straggler within seconds, while its median of whole answers still stands
// on old ones, or on none if all callers give up before the end.
func (r *Round) slowed(load Load) time.Duration {
	factor := max(ratio(load.FirstP50, r.Usual.FirstP50), ratio(load.GapP95, r.Usual.GapP95))
	if factor < slowedFactor {
		return 0
	}
	return time.Duration(factor * float64(r.Usual.ServiceP50))
}

// ratio returns a over b, or zero if either is not known.
func ratio(a, b time.Duration) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// waits returns the time in the queue and the time for the whole queue. Choices
// that this entry made since the probe was sent are not in the side's figures;
// they take the free places first.
func (r *Round) waits(answer Answer, service time.Duration) (wait, backlog time.Duration) {
	load := answer.Load
	unseen := r.Table.since(answer.Upstream.ID, answer.SentAt)
	free := max(0, load.Capacity-load.InFlight-load.Queued)
	waiting := max(0, unseen-free)
	each := orAssumed(service) / time.Duration(max(1, load.Capacity))
	wait = answer.wait() + time.Duration(waiting)*each
	return wait, max(wait, time.Duration(load.Queued+waiting)*each)
}

// score adds the risks and the hints to the expected time.
func (r *Round) score(w Weighed, service time.Duration) time.Duration {
	load := w.Answer.Load
	progress := r.Table.progressOf(w.Answer.Upstream.ID)
	tail := tailWeight * float64(max(0, load.ServiceP95-load.ServiceP50))
	unseen := r.Table.since(w.Answer.Upstream.ID, w.Answer.SentAt)
	held := min(1, load.occupancy()+float64(unseen)/float64(max(1, load.Capacity)))
	busy := occupancyWeight * held * float64(orAssumed(service))
	failing := min(maxFailureRatio, progress.failureRatio(r.Now))
	// A failed attempt costs another one of the usual length, however fast it
	// failed: an upstream that fails at once must not look quick.
	again := failing / (1 - failing) * float64(max(service, r.Usual.ServiceP50))
	saved := 0.0
	if w.Answer.PrefixCached {
		saved = cachedShare * float64(load.FirstP50)
	}
	return w.Expected - w.Wait + w.queueing() + time.Duration(tail+busy+again-saved)
}

// queueing returns how much the queue counts: the query's own wait, or if only that
// of a newcomer is known, a part of the backlog behind it as well.
func (w Weighed) queueing() time.Duration {
	if w.Answer.Asked {
		return w.Wait
	}
	return w.Wait + time.Duration(backlogWeight*float64(w.Backlog-w.Wait))
}

// orAssumed returns service, or an assumption if it is not known.
func orAssumed(service time.Duration) time.Duration {
	if service == 0 {
		return assumedService
	}
	return service
}

// round shortens a duration for people.
func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
