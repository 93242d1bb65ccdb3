package quarantine

import (
	"strings"

	core "acaciawinch/core/quarantine"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// maxLoggedUpstreams bounds the upstreams that a log line on a blamed part names.
const maxLoggedUpstreams = 16

// logBlame logs the parts that are blamed or freed since the last call. g.mu must be held.
func (g *Guard) logBlame() {
	for _, change := range g.state.TakeBlameChanges() {
		g.logBlameChange(change)
	}
}

// partsChanged logs and counts what has changed for parts after records or crashes have changed. g.mu must be held.
func (g *Guard) partsChanged() {
	g.logBlame()
	g.updatePartGauges()
}

// logBlameChange logs that a part is blamed, or no longer, and on which counts.
func (g *Guard) logBlameChange(change core.BlameChange) {
	fields := observe.Fields{"part": change.Suspect.PartID(), "crashes": change.Crashes, "score": change.Score,
		"before": change.Evidence.Before, "since": change.Evidence.Since, "trials": change.Evidence.Trials, "bursts": change.Evidence.Bursts}
	if !change.Blamed {
		g.metrics.freed.Inc(1)
		g.options.Logger.Event(event.PartFreed, fields)
		return
	}
	g.metrics.blamed.Inc(1)
	fields["upstreams"] = strings.Join(change.Upstreams[:min(len(change.Upstreams), maxLoggedUpstreams)], ",")
	fields["convicted"], fields["group"] = change.Convicted, change.Group
	g.options.Logger.Event(event.PartBlamed, fields)
}

// updatePartGauges updates the numbers of suspected and blamed parts. g.mu must be held.
func (g *Guard) updatePartGauges() {
	suspected, blamed := g.state.Suspects()
	g.metrics.suspectedParts.Update(float64(suspected))
	g.metrics.blamedParts.Update(float64(blamed))
}

// MaySend reports whether a request may be written to its upstream now. It is asked when the connection is open:
// what was known when the request arrived may be seconds old after its stages and queues. It does not block.
func (g *Guard) MaySend(subject core.Subject, attempt string, pass Pass) bool {
	g.mu.Lock()
	verdict := g.judgeLocked(subject)
	g.mu.Unlock()
	if verdict.Refused && !pass.allows(verdict) {
		g.metrics.withheld.Inc(1)
		g.options.Logger.Event(event.SendWithheld, observe.Fields{"request": attempt, "fingerprint": verdict.Suspect.String(), "part": suspectPart(verdict.Suspect), "crashes": verdict.Crashes, "unconfirmed": verdict.Unconfirmed})
		return false
	}
	return g.maySendTrial(pass)
}

// maySendTrial reports whether the trial of a Pass may still be sent under its reservation. After a freeze
// of this process, or once the store has returned from an older copy, other trials may already have
// been sent to the upstream.
func (g *Guard) maySendTrial(pass Pass) bool {
	if !pass.IsTrial() {
		return true
	}
	era := g.options.Era()
	g.mu.Lock()
	defer g.mu.Unlock()
	held, reserved := g.reservations[trialName(pass.Suspect, pass.trial)]
	return reserved && held.era == era && clock.Boot() < held.sendBy && !g.storeReturned()
}
