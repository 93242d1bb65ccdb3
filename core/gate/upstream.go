package gate

import "time"

// Report is an upstream's report of its own state.
type Report struct {
	Capacity int
	Draining bool
	// Models lists the loaded models as "model@version"; nil if the upstream is not an
	// engine.
	Models []string
	// LastFencing is the highest fencing token that the engine has seen.
	LastFencing uint64
}

// Parameters of stall detection.
const (
	// maxMissedReports is how many consecutive missed reports make an upstream stalled.
	maxMissedReports = 2
	// stallFactor is how many times the 95th percentile of the chunk latency the upstream
	// may go without progress.
	stallFactor = 4
)

// stallKind is why an upstream counts as stalled.
type stallKind string

// The kinds of stalls.
const (
	stallNone stallKind = ""
	// stallSilent: it does not respond at all.
	stallSilent stallKind = "the upstream does not respond"
	// stallHung: it has running work and makes no progress.
	stallHung stallKind = "the upstream makes no progress"
)

// upstreamState is the observed state of the upstream.
type upstreamState struct {
	capacity int
	reported bool
	models   []string
	// pendingUnloads holds the models that are being unloaded.
	pendingUnloads []pendingUnload
	// missedReports counts the consecutive reports that failed.
	missedReports int
	stall         stallKind
	// busySince is when the upstream last went from idle to running work.
	busySince    time.Duration
	lastProgress time.Duration
	// trialAt is when a hung upstream may get one trial attempt.
	trialAt time.Duration
	// trialDelay is the delay before the trial that follows the next stall.
	trialDelay time.Duration
	// inTrial is set while a trial attempt runs.
	inTrial bool
}

// pendingUnload is a model that an order unloads. It overrides the upstream's report
// until the given time, when the report is expected to be up to date.
type pendingUnload struct {
	model string
	until time.Duration
}

// ObserveReport records a report of the upstream.
func (g *Gate) ObserveReport(now time.Duration, report Report) {
	u := &g.upstream
	u.reported = true
	u.missedReports = 0
	u.models = report.Models
	if g.options.Capacity == 0 && report.Capacity > 0 {
		u.capacity = report.Capacity
	}
	if u.stall == stallSilent {
		u.stall = stallNone
	}
	g.fencing = max(g.fencing, report.LastFencing)
	g.SetDrain(now, DrainNotice, report.Draining)
	g.updateState()
}

// HealthKnown reports whether it is known if the upstream responds: it has either
// reported or was silent for long enough to count as stalled.
func (g *Gate) HealthKnown() bool { return g.upstream.reported || g.upstream.stall != stallNone }

// ObserveSilence records that the upstream gave no report or refused a connection.
func (g *Gate) ObserveSilence(now time.Duration) {
	u := &g.upstream
	u.missedReports++
	if u.missedReports >= maxMissedReports && u.stall == stallNone {
		g.markStalled(now, stallSilent)
	}
}

// recordProgress records that the upstream made progress, which ends any stall.
func (g *Gate) recordProgress(now time.Duration) {
	u := &g.upstream
	u.lastProgress = now
	u.missedReports = 0
	u.stall = stallNone
	u.inTrial = false
	u.trialDelay = g.options.TrialMin
	g.updateState()
}

// detectHang marks the upstream as stalled if it has running work without progress.
func (g *Gate) detectHang(now time.Duration) {
	u := &g.upstream
	if len(g.running) == 0 {
		return
	}
	idle := now - max(u.lastProgress, u.busySince)
	if idle <= g.hangTimeout(now) {
		return
	}
	if u.stall == stallNone || u.inTrial {
		g.markStalled(now, stallHung)
	}
}

// hangTimeout returns how long the upstream may run work without progress.
func (g *Gate) hangTimeout(now time.Duration) time.Duration {
	usual := max(g.firstChunkTimes.p95(now, nil), g.chunkGaps.p95(now, nil))
	if usual == 0 {
		return g.options.StallMax
	}
	return min(max(stallFactor*usual, g.options.StallMin), g.options.StallMax)
}

// markStalled marks the upstream as stalled and refuses all waiting attempts. They
// have not run, and their callers can still go to another upstream in time.
func (g *Gate) markStalled(now time.Duration, kind stallKind) {
	u := &g.upstream
	u.stall = kind
	u.inTrial = false
	u.trialAt = now + u.trialDelay
	u.trialDelay = min(2*u.trialDelay, g.options.TrialMax)
	for _, r := range g.queue.all() {
		g.refuseQueued(now, r, Decision{
			Reason:     ReasonStalled,
			RetryAfter: u.retryAfter(now),
			Detail:     string(kind),
		})
	}
	g.updateState()
}

// Stalled reports whether new work is refused because the upstream is stalled. A hung
// upstream without running work gets a trial attempt from time to time, and is not
// reported as stalled while a trial is due and that attempt has not arrived.
func (g *Gate) Stalled(now time.Duration) bool {
	u := &g.upstream
	if u.stall == stallNone {
		return !u.reported || u.capacity == 0
	}
	return !g.trialDue(now)
}

// trialDue reports whether a hung upstream may get a trial attempt now.
func (g *Gate) trialDue(now time.Duration) bool {
	u := &g.upstream
	if u.stall != stallHung {
		return false
	}
	return now >= u.trialAt && u.missedReports < maxMissedReports && len(g.running) == 0 && g.queue.size == 0
}

// concurrencyLimit returns how many attempts may run at the upstream at once.
func (g *Gate) concurrencyLimit(now time.Duration) int {
	u := &g.upstream
	switch u.stall {
	case stallNone:
		return u.capacity
	case stallHung:
		return g.trialLimit(now)
	}
	return 0
}

// trialLimit returns 1 and begins a trial if a trial of a hung upstream is due and an
// attempt waits; otherwise it returns 0.
func (g *Gate) trialLimit(now time.Duration) int {
	u := &g.upstream
	if now < u.trialAt || len(g.running) > 0 || g.queue.size == 0 {
		return 0
	}
	u.inTrial = true
	return 1
}

// retryAfter returns the time until a stalled upstream may accept work again.
func (u *upstreamState) retryAfter(now time.Duration) time.Duration {
	return max(u.trialAt-now, 0)
}

// stallDetail returns the reason why the upstream counts as stalled.
func (u *upstreamState) stallDetail() string {
	if u.stall == stallNone {
		return "the upstream has not reported yet"
	}
	return string(u.stall)
}
