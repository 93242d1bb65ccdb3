package routing

import (
	"fmt"
	"time"
)

// Constants of the expected completion time and the score.
const (
	// tailWeight is the share of the distance from median to 95th percentile that counts:
	// only some calls take as long as the tail.
	tailWeight = 0.2
	// occupancyWeight is by how much a full upstream lengthens the service time. It is
	// needed because the reported quantiles lag behind the current batch.
	occupancyWeight = 0.25
	// backlogWeight is the share of the backlog beyond the reported wait that counts while
	// the wait of the query itself is unknown. The reported wait is that of a workspace
	// without pending work, but the workspace and class of the query may have some.
	backlogWeight = 0.5
	// cachedShare is the share of the time to the first chunk that a cached prefix is
	// expected to save. The report is only a hint, because it may be stale.
	cachedShare = 0.5
	// assumedService is the service time assumed while none is known, so that upstreams are
	// ordered by their pending work.
	assumedService = 50 * time.Millisecond
	// minChunkSlowdown is how many times slower than usual the chunks of an upstream must
	// be before its expected service time is scaled by the same factor.
	minChunkSlowdown = 2
	// maxFailureRatio bounds the penalty for failures.
	maxFailureRatio = 0.95
)

// Candidate is an upstream with its evaluation for a decision.
type Candidate struct {
	Result ProbeResult
	// Usable is false if the upstream cannot take the work; Reason then states why.
	Usable bool
	Reason string
	// Expected is the time from dispatch to the complete result.
	Expected time.Duration
	// Wait is the part of Expected that is spent in the queue.
	Wait time.Duration
	// Backlog is how long the upstream needs for all queued work. It is more telling than
	// Wait when a burst of one workspace queues behind earlier work of the same workspace.
	Backlog time.Duration
	// score orders the usable candidates, lowest first: Expected adjusted for risks and
	// hints.
	score time.Duration
}

// evaluate returns the candidate for a reply.
func (r *Round) evaluate(result ProbeResult) Candidate {
	c := Candidate{Result: result}
	if c.Reason = r.Query.Obstacle(result); c.Reason != "" {
		return c
	}
	service := r.serviceTime(result)
	c.Wait, c.Backlog = r.queueTimes(result, service)
	c.Expected = c.Wait + service + r.Table.extraLatency(r.Picker.zone, result.Upstream)
	c.score = r.score(c, service)
	c.Usable = r.Query.Remaining == 0 || c.Expected <= r.Query.Remaining
	if !c.Usable {
		c.Reason = fmt.Sprintf("needs %s of %s", roundForDisplay(c.Expected), roundForDisplay(r.Query.Remaining))
	}
	return c
}

// serviceTime returns how long the upstream is expected to work on the stage.
func (r *Round) serviceTime(result ProbeResult) time.Duration {
	load := result.Load
	reported := max(load.ServiceP50, r.serviceTimeByChunks(load))
	estimate := load.Estimate
	estimate.ServiceP50 = r.Table.attemptsOf(result.Upstream.ID).decayToUsual(load, reported, r.Usual.ServiceP50, r.Now)
	return estimate.ForTokens(r.Query.MaxTokens).ServiceP50
}

// serviceTimeByChunks returns the usual service time multiplied by how many times slower
// the chunks of the upstream are than those of the service, or zero if they are not much
// slower. Chunks reveal a straggler within seconds, while its median over complete results
// still reflects old ones, or none if all callers give up before the end.
func (r *Round) serviceTimeByChunks(load Load) time.Duration {
	factor := max(ratio(load.FirstChunkP50, r.Usual.FirstChunkP50), ratio(load.ChunkGapP95, r.Usual.ChunkGapP95))
	if factor < minChunkSlowdown {
		return 0
	}
	return time.Duration(factor * float64(r.Usual.ServiceP50))
}

// ratio returns a divided by b, or zero if either is unknown.
func ratio(a, b time.Duration) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// queueTimes returns the time in the queue and the time needed for the whole queue. The load
// that the sidecar reported does not include the choices that this entry made since the
// probe was sent. These take the free slots first, and the others of them queue.
func (r *Round) queueTimes(result ProbeResult, service time.Duration) (wait, backlog time.Duration) {
	load := result.Load
	unreported := r.Table.choicesSince(result.Upstream.ID, result.SentAt)
	free := max(0, load.Capacity-load.InFlight-load.Queued)
	waiting := max(0, unreported-free)
	perAttempt := serviceOrAssumed(service) / time.Duration(max(1, load.Capacity))
	wait = result.Wait() + time.Duration(waiting)*perAttempt
	return wait, max(wait, time.Duration(load.Queued+waiting)*perAttempt)
}

// score adds the risks and the hints to the expected time.
func (r *Round) score(c Candidate, service time.Duration) time.Duration {
	load := c.Result.Load
	attempts := r.Table.attemptsOf(c.Result.Upstream.ID)
	tailCost := tailWeight * float64(max(0, load.ServiceP95-load.ServiceP50))
	unreported := r.Table.choicesSince(c.Result.Upstream.ID, c.Result.SentAt)
	occupancy := min(1, load.occupancy()+float64(unreported)/float64(max(1, load.Capacity)))
	occupancyCost := occupancyWeight * occupancy * float64(serviceOrAssumed(service))
	failureRatio := min(maxFailureRatio, attempts.failureRatio(r.Now))
	// A failed attempt costs a retry of at least the usual length, however fast it
	// failed: an upstream that fails immediately must not look fast.
	retryCost := failureRatio / (1 - failureRatio) * float64(max(service, r.Usual.ServiceP50))
	cacheSaving := 0.0
	if c.Result.PrefixCached {
		cacheSaving = cachedShare * float64(load.FirstChunkP50)
	}
	return c.Expected - c.Wait + c.queueCost() + time.Duration(tailCost+occupancyCost+retryCost-cacheSaving)
}

// queueCost returns the part of the score for queueing: the wait of the query itself or, if
// only that of a workspace without pending work is known, this wait and a share of the
// backlog beyond it.
func (c Candidate) queueCost() time.Duration {
	if c.Result.QueryWaitKnown {
		return c.Wait
	}
	return c.Wait + time.Duration(backlogWeight*float64(c.Backlog-c.Wait))
}

// serviceOrAssumed returns service, or assumedService if service is unknown.
func serviceOrAssumed(service time.Duration) time.Duration {
	if service == 0 {
		return assumedService
	}
	return service
}

// roundForDisplay rounds a duration for display.
func roundForDisplay(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
