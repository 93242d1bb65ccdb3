package gate

import "time"

// Report is an upstream's own report of its state.
type Report struct {
	Capacity int
	Leaving  bool
	// Models lists what the engine holds, as "model@version"; nil if the upstream
	// is no engine.
	Models []string
	// LastFencing is the highest fencing number that the engine has seen.
	LastFencing uint64
}

// Rules of the detection of a stalled upstream.
const (
	// silentReports is how many reports in a row must be missing.
	silentReports = 2
	// stallFactor is how many times longer than usual the upstream may be quiet.
	stallFactor = 4
)

// stallKind tells why an upstream counts as stalled.
type stallKind string

// The kinds of stalls.
const (
	stallNone stallKind = ""
	// stallSilent: it does not answer at all.
	stallSilent stallKind = "the upstream does not answer"
	// stallHung: it holds work and makes no progress.
	stallHung stallKind = "the upstream makes no progress"
)

// upstreamState is what is known of the upstream itself.
type upstreamState struct {
	capacity int
	known    bool
	models   []string
	// unloads holds the models that orders are taking away.
	unloads []unload
	// missing counts the reports in a row that failed.
	missing int
	stall   stallKind
	// heldSince is when the upstream went from holding no work to holding some.
	heldSince    time.Duration
	lastProgress time.Duration
	// trialAt is when a hung upstream may be tried with one attempt.
	trialAt   time.Duration
	trialWait time.Duration
	trying    bool
}

// unload is a model that an order takes away, until the upstream's report can be
// trusted to show it.
type unload struct {
	model string
	until time.Duration
}

// ObserveReport notes a report of the upstream.
func (g *Gate) ObserveReport(now time.Duration, report Report) {
	u := &g.upstream
	u.known = true
	u.missing = 0
	u.models = report.Models
	if g.options.Capacity == 0 && report.Capacity > 0 {
		u.capacity = report.Capacity
	}
	if u.stall == stallSilent {
		u.stall = stallNone
	}
	g.fencing = max(g.fencing, report.LastFencing)
	g.SetDrain(now, DrainNotice, report.Leaving)
	g.updateState()
}

// Judged tells whether it is known if the upstream answers: it has reported, or
// was silent for long enough to count as stalled.
func (g *Gate) Judged() bool { return g.upstream.known || g.upstream.stall != stallNone }

// ObserveSilence notes that the upstream gave no report, or refused a connection.
func (g *Gate) ObserveSilence(now time.Duration) {
	u := &g.upstream
	u.missing++
	if u.missing >= silentReports && u.stall == stallNone {
		g.markStalled(now, stallSilent)
	}
}

// progressed notes that the upstream did some work: whatever was thought of it,
// it is not stalled.
func (g *Gate) progressed(now time.Duration) {
	u := &g.upstream
	u.lastProgress = now
	u.missing = 0
	u.stall = stallNone
	u.trying = false
	u.trialWait = g.options.TrialMin
	g.updateState()
}

// watchUpstream notices that the upstream holds work without progress.
func (g *Gate) watchUpstream(now time.Duration) {
	u := &g.upstream
	if len(g.running) == 0 {
		return
	}
	quiet := now - max(u.lastProgress, u.heldSince)
	if quiet <= g.quietLimit(now) {
		return
	}
	if u.stall == stallNone || u.trying {
		g.markStalled(now, stallHung)
	}
}

// quietLimit returns how long the upstream may hold work without progress.
func (g *Gate) quietLimit(now time.Duration) time.Duration {
	usual := max(g.first.high(now, nil), g.gap.high(now, nil))
	if usual == 0 {
		return g.options.StallMax
	}
	return min(max(stallFactor*usual, g.options.StallMin), g.options.StallMax)
}

// markStalled marks the upstream as stalled and refuses all that waits: it has
// not run, and its callers can still go elsewhere in time.
func (g *Gate) markStalled(now time.Duration, kind stallKind) {
	u := &g.upstream
	u.stall = kind
	u.trying = false
	u.trialAt = now + u.trialWait
	u.trialWait = min(2*u.trialWait, g.options.TrialMax)
	for _, r := range g.queue.all() {
		g.refuseQueued(now, r, Decision{
			Reason:     ReasonStalled,
			RetryAfter: u.retryAfter(now),
			Detail:     string(kind),
		})
	}
	g.updateState()
}

// Stalled tells whether new work is refused because the upstream is stalled. A
// hung upstream that holds nothing any more is tried with one attempt from time
// to time, and is not reported as stalled until that attempt comes.
func (g *Gate) Stalled(now time.Duration) bool {
	u := &g.upstream
	if u.stall == stallNone {
		return !u.known || u.capacity == 0
	}
	return !g.trialDue(now)
}

// trialDue tells whether a hung upstream may be tried now.
func (g *Gate) trialDue(now time.Duration) bool {
	u := &g.upstream
	if u.stall != stallHung {
		return false
	}
	return now >= u.trialAt && u.missing < silentReports && len(g.running) == 0 && g.queue.size == 0
}

// room returns how many attempts may be at the upstream at once.
func (g *Gate) room(now time.Duration) int {
	u := &g.upstream
	switch u.stall {
	case stallNone:
		return u.capacity
	case stallHung:
		return g.trialRoom(now)
	}
	return 0
}

// trialRoom lets one attempt through to a hung upstream when a trial is due.
func (g *Gate) trialRoom(now time.Duration) int {
	u := &g.upstream
	if now < u.trialAt || len(g.running) > 0 || g.queue.size == 0 {
		return 0
	}
	u.trying = true
	return 1
}

// retryAfter returns when a stalled upstream may take work again.
func (u *upstreamState) retryAfter(now time.Duration) time.Duration {
	return max(u.trialAt-now, 0)
}

// describe says why the upstream counts as stalled.
func (u *upstreamState) describe() string {
	if u.stall == stallNone {
		return "the upstream has not reported yet"
	}
	return string(u.stall)
}
