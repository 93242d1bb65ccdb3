package gate

import "time"

// Load is what the gate knows of its upstream.
type Load struct {
	Queued   int
	InFlight int
	Capacity int
	// Wait is the expected wait of a new attempt of priority 0 from a workspace
	// that has nothing waiting.
	Wait       time.Duration
	ServiceP50 time.Duration
	ServiceP95 time.Duration
	FirstP50   time.Duration
	FirstP95   time.Duration
	GapP95     time.Duration
	Draining   bool
	Stalled    bool
	Models     []string
	Finished   uint64
	Failed     uint64
}

// Load returns the present load. Unfinished work counts as soon as it is late.
func (g *Gate) Load(now time.Duration) Load {
	services := g.openServices(now)
	firsts := g.openFirsts(now)
	return Load{
		Queued:     g.queue.size,
		InFlight:   len(g.running),
		Capacity:   g.upstream.capacity,
		Wait:       g.wait(now, "", 0),
		ServiceP50: g.service.middle(now, services),
		ServiceP95: g.service.high(now, services),
		FirstP50:   g.first.middle(now, firsts),
		FirstP95:   g.first.high(now, firsts),
		GapP95:     g.gap.high(now, g.openGaps(now)),
		Draining:   len(g.drain.sources) > 0,
		Stalled:    g.Stalled(now),
		Models:     g.Models(now),
		Finished:   g.finished,
		Failed:     g.failed,
	}
}

// Wait returns the expected wait in the queue of a new attempt of a workspace.
func (g *Gate) Wait(now time.Duration, workspace string, priority int) time.Duration {
	if g.options.FIFO {
		return g.wait(now, "", 0)
	}
	return g.wait(now, workspace, clampPriority(priority))
}

// Memory is how much the gate remembers.
type Memory struct {
	Attempts  int
	KeptBytes int
	// Horizon is the highest ticket clock of a forgotten claimed attempt, negative
	// if there is none.
	Horizon time.Duration
}

// Memory returns how much the gate remembers.
func (g *Gate) Memory() Memory {
	return Memory{Attempts: len(g.table), KeptBytes: g.keptBytes, Horizon: g.horizon}
}

// Unsettled returns how many attempts wait or run.
func (g *Gate) Unsettled() int { return g.queue.size + len(g.running) }

// Unacknowledged returns how many outputs are kept for a caller that may still
// need them: those that are not acknowledged, except idempotent ones that were
// sent whole.
func (g *Gate) Unacknowledged() int {
	count := 0
	for _, r := range g.results {
		sent := r.delivered && !r.claimed()
		if r.kept && !r.charged && r.phase == phaseDone && !sent {
			count++
		}
	}
	return count
}
