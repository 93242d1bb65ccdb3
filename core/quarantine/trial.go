package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Limits and delays of trials.
const (
	// firstTrialDelay is the time from the last crash to the first trial: by then upstreams that
	// crashed together, as in a power failure, are running again. Proven requests go first, with
	// firstProvenTrialDelay, so that they do not run at an upstream that the trial of another
	// request crashes.
	firstTrialDelay       = 6 * time.Second
	firstProvenTrialDelay = time.Second
	// crashedTrialDelay is the time from a trial that crashed an upstream to the next one. By then
	// gateways that were disconnected from the store have published their crashes.
	crashedTrialDelay = 20 * time.Second
	// lostTrialDelay is the time from a trial without a known result to the next one: the gateway
	// that made the trial may have ended, or an upstream may have rejected the trial. If the trial
	// had crashed an upstream, the crash would be known by then.
	lostTrialDelay = 6 * time.Second
	// maxTrials bounds the trials of a request that is not proven. The gateways that saw upstreams
	// crash under the request may be disconnected, so that it crashes two more upstreams before the
	// other gateways refuse it.
	maxTrials = 1
	// maxProvenTrials bounds the trials of a proven request, except that a trial that crashed no
	// upstream is always followed by another. A request with more than maxSecondTrialCrashes
	// crashes gets one trial: some of these crashes may have preceded the trial without its gateway
	// knowing of them.
	maxProvenTrials       = 2
	maxSecondTrialCrashes = 3
	// endedWindow is how long after a crash the ended incarnation gets no trial: discovery still
	// lists it for some seconds. After that it counts as running; otherwise an upstream that was
	// only disconnected would get no trial for an hour.
	endedWindow = 5 * time.Second
	// maxUpstreams bounds the upstreams of a Trial.
	maxUpstreams = 32
)

// Trial is one send of a refused request.
type Trial struct {
	// Number is the trial's number among those of its request, counted from 1.
	Number int
	// Upstreams are the upstream incarnations that had crashed under the request before the trial.
	Upstreams []string
	// learned is when the trial became known to this gateway.
	learned time.Duration
	// retried is set once a trial was returned for another send after an upstream had rejected it.
	retried bool
}

// trialDue returns when the next trial of a request may be made, and false if it gets none.
func (s *State) trialDue(request fingerprint.Fingerprint) (time.Duration, bool) {
	wait, available := s.trialWait(request)
	return max(s.lastLearned(s.merged.byRequest[request]), s.trials[request].learned) + wait, available
}

// trialWait returns the time from the last crash or trial of a request to its next trial, and false
// if it gets none.
func (s *State) trialWait(request fingerprint.Fingerprint) (time.Duration, bool) {
	used := s.trials[request].Number
	switch {
	case !s.IsProven(request):
		return firstTrialDelay, used < maxTrials
	case used == 0:
		return firstProvenTrialDelay, true
	case !s.crashedSinceTrial(request):
		return lostTrialDelay, true
	default:
		return crashedTrialDelay, used < maxProvenTrials && len(s.merged.byRequest[request]) <= maxSecondTrialCrashes
	}
}

// crashedSinceTrial reports whether an upstream has crashed under a request since its newest trial.
func (s *State) crashedSinceTrial(request fingerprint.Fingerprint) bool {
	prior := s.trials[request].Upstreams
	return slices.ContainsFunc(s.merged.byRequest[request], func(crash Crash) bool { return !slices.Contains(prior, crash.Upstream) })
}

// NextTrial returns the trial of the given number, to be made now.
func (s *State) NextTrial(request fingerprint.Fingerprint, number int) Trial {
	crashes := s.merged.byRequest[request]
	trial := Trial{Number: number}
	for _, crash := range crashes[max(0, len(crashes)-maxUpstreams):] {
		trial.Upstreams = append(trial.Upstreams, crash.Upstream)
	}
	return trial
}

// IsStale reports whether all crashes that a trial was made for have been cleared since. Such a
// trial does not count for a request that is refused because of later crashes.
func (s *State) IsStale(request fingerprint.Fingerprint, trial Trial) bool {
	if len(trial.Upstreams) == 0 {
		return false // made by a gateway that does not list upstreams
	}
	return !slices.ContainsFunc(s.merged.byRequest[request], func(crash Crash) bool { return slices.Contains(trial.Upstreams, crash.Upstream) })
}

// TrialUsed records that this gateway or another one made a trial of a request.
func (s *State) TrialUsed(request fingerprint.Fingerprint, trial Trial, now time.Duration) {
	if trial.Number > s.trials[request].Number {
		trial.learned = now
		trial.retried = trial.retried || s.trials[request].retried
		s.trials[request] = trial
	}
}

// TrialReturned records that a trial of a request did not run, and reports whether it may be made
// again. If reached is set, an upstream rejected the trial. A rejected trial is made again once,
// and only for a proven request without further crashes, since the number of sends to upstreams is
// bounded too.
func (s *State) TrialReturned(request fingerprint.Fingerprint, number int, reached bool) bool {
	trial, known := s.trials[request]
	if !known || trial.Number != number {
		return false
	}
	if reached {
		if trial.retried || !s.IsProven(request) || len(s.merged.byRequest[request]) > crashLimit {
			return false
		}
		trial.retried = true
	}
	trial.Number--
	trial.learned = 0
	s.trials[request] = trial
	return true
}

// TrialsOf returns how many trials of a request are known to be used up.
func (s *State) TrialsOf(request fingerprint.Fingerprint) int { return s.trials[request].Number }

// RecentlyCrashed returns the upstream incarnations that crashed recently under a request, which
// discovery may still list.
func (s *State) RecentlyCrashed(request fingerprint.Fingerprint, now time.Duration) []string {
	var ended []string
	for _, crash := range s.merged.byRequest[request] {
		if now-s.merged.learnedAt(crash) < endedWindow {
			ended = append(ended, crash.Upstream)
		}
	}
	return ended
}
