package gate

import "time"

// Load is a snapshot of the upstream's load.
type Load struct {
	Queued   int
	InFlight int
	Capacity int
	// Wait is the expected wait of a new attempt of priority 0 from a workspace
	// without waiting attempts.
	Wait          time.Duration
	ServiceP50    time.Duration
	ServiceP95    time.Duration
	FirstChunkP50 time.Duration
	FirstChunkP95 time.Duration
	ChunkGapP95   time.Duration
	Draining      bool
	Stalled       bool
	Models        []string
	// Finished counts the passes that have ended, and Failed those of them that failed.
	// A pass is one run of an attempt at the upstream.
	Finished uint64
	Failed   uint64
}

// Load returns the present load. Unfinished work counts in the latency quantiles as
// soon as it takes longer than the measured quantile.
func (g *Gate) Load(now time.Duration) Load {
	services := g.pendingServiceTimes(now)
	firsts := g.pendingFirstChunks(now)
	return Load{
		Queued:        g.queue.size,
		InFlight:      len(g.running),
		Capacity:      g.upstream.capacity,
		Wait:          g.expectedWait(now, "", 0),
		ServiceP50:    g.serviceTimes.p50(now, services),
		ServiceP95:    g.serviceTimes.p95(now, services),
		FirstChunkP50: g.firstChunkTimes.p50(now, firsts),
		FirstChunkP95: g.firstChunkTimes.p95(now, firsts),
		ChunkGapP95:   g.chunkGaps.p95(now, g.pendingChunkGaps(now)),
		Draining:      len(g.drain.sources) > 0,
		Stalled:       g.Stalled(now),
		Models:        g.Models(now),
		Finished:      g.finished,
		Failed:        g.failed,
	}
}

// Wait returns the expected time in the queue of a new attempt of a workspace.
func (g *Gate) Wait(now time.Duration, workspace string, priority int) time.Duration {
	if g.options.FIFO {
		return g.expectedWait(now, "", 0)
	}
	return g.expectedWait(now, workspace, clampPriority(priority))
}

// Memory is how much state the gate holds.
type Memory struct {
	Attempts  int
	KeptBytes int
	// Horizon is the highest ticket clock of a forgotten claimed attempt, negative
	// if there is none.
	Horizon time.Duration
}

// Memory returns how much state the gate holds.
func (g *Gate) Memory() Memory {
	return Memory{Attempts: len(g.table), KeptBytes: g.keptBytes, Horizon: g.horizon}
}

// Unsettled returns how many attempts wait or run.
func (g *Gate) Unsettled() int { return g.queue.size + len(g.running) }

// Unacknowledged returns the number of outputs that a caller may still need: those
// without an acknowledgement, except idempotent ones that were delivered completely.
func (g *Gate) Unacknowledged() int {
	count := 0
	for _, r := range g.keptOutputs {
		sent := r.delivered && !r.claimed()
		if r.outputKept && !r.charged && r.phase == phaseDone && !sent {
			count++
		}
	}
	return count
}
