package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Figures of trials.
const (
	// firstTrial is how long after the last crash the first trial may be made: upstreams
	// that crashed together, as by a loss of power, are back then. Requests that ran well before
	// go first, so that they are not at an upstream that the trial of another one crashes.
	firstTrial       = 6 * time.Second
	firstProvenTrial = time.Second
	// laterTrial is the wait for a further trial after one that crashed an upstream. Gateways that
	// were cut off from the store have told of their crashes by then.
	laterTrial = 20 * time.Second
	// lostTrial is the wait after one of which nothing is known: its gateway may have ended, or
	// an upstream have turned it away. A crash would be known by then.
	lostTrial = 6 * time.Second
	// maxTrials bounds the trials of a request that never ran well. Those that saw it crash may
	// be cut off, so that two more crashes go before the others refuse it.
	maxTrials = 1
	// maxProvenTrials bounds those of a request that ran well before, unless the last one
	// crashed no upstream. With more than provenCrashes crashes it has one: some that were not known
	// to who sent it may lie before them.
	maxProvenTrials = 2
	provenCrashes   = 3
	// endedFor is how long after its crash a start of an upstream gets no trial: discovery lists
	// one that has ended for some seconds more. After that it counts as alive, as one
	// that was only cut off would get none for an hour.
	endedFor = 5 * time.Second
	// mostUpstreams bounds the upstreams of a Trial.
	mostUpstreams = 32
)

// Trial is one send of a refused request.
type Trial struct {
	// Number counts the trials of a request from 1.
	Number int
	// Upstreams are the starts of upstreams that had crashed under the request before.
	Upstreams []string
	// learned is when it became known here.
	learned time.Duration
	// returned is set once one was turned away and made again.
	returned bool
}

// trialDue returns when the next trial of a request may be made, and false if it has none.
func (b *Book) trialDue(request fingerprint.Fingerprint) (time.Duration, bool) {
	wait, has := b.trialWait(request)
	return max(b.newest(b.merged.suspects[request]), b.trials[request].learned) + wait, has
}

// trialWait returns how long after the last crash or trial of a request its next trial may be
// made, and false if it has none.
func (b *Book) trialWait(request fingerprint.Fingerprint) (time.Duration, bool) {
	used := b.trials[request].Number
	switch {
	case !b.IsProven(request):
		return firstTrial, used < maxTrials
	case used == 0:
		return firstProvenTrial, true
	case !b.crashedSinceTrial(request):
		return lostTrial, true
	default:
		return laterTrial, used < maxProvenTrials && len(b.merged.suspects[request]) <= provenCrashes
	}
}

// crashedSinceTrial tells whether an upstream has crashed under a request since its newest trial.
func (b *Book) crashedSinceTrial(request fingerprint.Fingerprint) bool {
	before := b.trials[request].Upstreams
	return slices.ContainsFunc(b.merged.suspects[request], func(crash Crash) bool { return !slices.Contains(before, crash.Upstream) })
}

// NextTrial returns a trial with a number, to be made now.
func (b *Book) NextTrial(request fingerprint.Fingerprint, number int) Trial {
	crashes := b.merged.suspects[request]
	trial := Trial{Number: number}
	for _, crash := range crashes[max(0, len(crashes)-mostUpstreams):] {
		trial.Upstreams = append(trial.Upstreams, crash.Upstream)
	}
	return trial
}

// IsPast tells whether a trial was made for crashes that have all been cleared since: it takes
// nothing from the trials of a request that is refused for others.
func (b *Book) IsPast(request fingerprint.Fingerprint, trial Trial) bool {
	if len(trial.Upstreams) == 0 {
		return false // by a gateway that does not say so
	}
	return !slices.ContainsFunc(b.merged.suspects[request], func(crash Crash) bool { return slices.Contains(trial.Upstreams, crash.Upstream) })
}

// TrialUsed records that a trial of a request was made, by this gateway or another one.
func (b *Book) TrialUsed(request fingerprint.Fingerprint, trial Trial, now time.Duration) {
	if trial.Number > b.trials[request].Number {
		trial.learned = now
		trial.returned = trial.returned || b.trials[request].returned
		b.trials[request] = trial
	}
}

// TrialReturned records that a trial of a request did not run, and tells whether it may be made again. One that has
// reached an upstream, which turned it away, may once, if the request ran well before and no
// crash has come since: what reaches upstreams is bounded too.
func (b *Book) TrialReturned(request fingerprint.Fingerprint, number int, reached bool) bool {
	trial, known := b.trials[request]
	if !known || trial.Number != number {
		return false
	}
	if reached {
		if trial.returned || !b.IsProven(request) || len(b.merged.suspects[request]) > crashLimit {
			return false
		}
		trial.returned = true
	}
	trial.Number--
	trial.learned = 0
	b.trials[request] = trial
	return true
}

// TrialsOf returns how many trials of a request are known to be used up.
func (b *Book) TrialsOf(request fingerprint.Fingerprint) int { return b.trials[request].Number }

// Ended returns the starts of upstreams that crashed under a request a moment ago, which discovery
// may still list.
func (b *Book) Ended(request fingerprint.Fingerprint, now time.Duration) []string {
	var ended []string
	for _, crash := range b.merged.suspects[request] {
		if now-b.merged.learnedAt(crash) < endedFor {
			ended = append(ended, crash.Upstream)
		}
	}
	return ended
}
