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
	// survivedTrialDelay is the time from a trial that its upstream survived to the next one: the trial
	// was broken off for another reason, such as a lost connection.
	survivedTrialDelay = time.Second
	// maxProvenTrials bounds the trials of a proven request that crash an upstream. A request with
	// more than maxSecondTrialCrashes crashes gets one such trial, unless nothing else has crashed
	// since: some of these crashes may have preceded the trial without its gateway knowing of them.
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
	// Upstream is the incarnation that the trial was sent to or, in phase TrialClaimed, must be sent
	// to; empty if any upstream may take it.
	Upstream string
	Phase    TrialPhase
	// Parts are the parts for which the request was refused, empty if it was refused as a whole.
	Parts []fingerprint.Fingerprint
	// learned is when the trial became known to this gateway.
	learned time.Duration
	// survived is set if the upstream was found running after the trial had ended there.
	survived bool
	// retried is set once a trial was returned for another send after an upstream had rejected it.
	retried bool
}

// TrialPhase is how far a trial has got according to its object in the store.
type TrialPhase int

// The phases of a trial.
const (
	// TrialUnknown is the phase of a trial of a gateway that does not record phases.
	TrialUnknown TrialPhase = iota
	// TrialClaimed means that the trial has not been sent.
	TrialClaimed
	// TrialSent means that the trial is being sent to its Upstream, or was sent there.
	TrialSent
	// TrialEnded means that the trial is over and has crashed nothing. Its Upstream is the one that
	// the next trial must go to.
	TrialEnded
)

// ranAt reports whether the trial may have run at an upstream.
func (t Trial) ranAt(upstream string) bool {
	return t.Phase == TrialSent && t.Upstream == upstream
}

// trialDue returns when the next trial of a request may be made, and false if it gets none.
func (s *State) trialDue(request fingerprint.Fingerprint) (time.Duration, bool) {
	wait, available := s.trialWait(request)
	return s.waited(request, wait), available
}

// waited returns the time that is a while after the last crash and the newest trial of a suspect.
func (s *State) waited(suspect fingerprint.Fingerprint, wait time.Duration) time.Duration {
	return max(s.lastLearned(s.crashesOf(suspect)), s.trials[suspect].learned) + wait
}

// trialWait returns the time from the last crash or trial of a request to its next trial, and false
// if it gets none.
func (s *State) trialWait(request fingerprint.Fingerprint) (time.Duration, bool) {
	trial := s.trials[request]
	proven := s.IsProven(request)
	switch {
	case s.isExplained(request) && s.crashedSinceTrial(request):
		return 0, true
	case !proven && s.isConvicted(request):
		return 0, false
	case trial.Number == 0 && proven:
		return firstProvenTrialDelay, true
	case trial.Number == 0:
		return firstTrialDelay, true
	case trial.survived:
		return survivedTrialDelay, true
	case proven && s.crashedSinceTrial(request):
		return crashedTrialDelay, s.mayCrashAgain(request)
	case proven:
		return lostTrialDelay, true
	default:
		return lostTrialDelay, trial.Phase != TrialUnknown && !s.trialCrashed(request)
	}
}

// crashedSinceTrial reports whether an upstream has crashed under a request since its newest trial.
func (s *State) crashedSinceTrial(request fingerprint.Fingerprint) bool {
	prior := s.trials[request].Upstreams
	return slices.ContainsFunc(s.crashesOf(request), func(crash Crash) bool { return !slices.Contains(prior, crash.Upstream) })
}

// trialCrashed reports whether the newest trial of a request is known or presumed to have crashed its
// upstream. The phase does not matter: a trial whose upstream is presumed to have crashed under the one
// before it is not sent.
func (s *State) trialCrashed(request fingerprint.Fingerprint) bool {
	crash := Crash{Suspect: request, Upstream: s.trials[request].Upstream}
	return slices.Contains(s.merged.bySuspect[request], crash)
}

// mayCrashAgain reports whether a proven request may have another trial although one has crashed its
// upstream.
func (s *State) mayCrashAgain(request fingerprint.Fingerprint) bool {
	few := len(s.crashesOf(request)) <= maxSecondTrialCrashes
	return s.crashedTrials(request) < maxProvenTrials && (few || s.onlyTrialCrashedSince(request))
}

// onlyTrialCrashedSince reports whether the only crash under a request since its newest trial was
// that of the trial itself.
func (s *State) onlyTrialCrashedSince(request fingerprint.Fingerprint) bool {
	trial := s.trials[request]
	for _, crash := range s.crashesOf(request) {
		if !trial.ranAt(crash.Upstream) && !slices.Contains(trial.Upstreams, crash.Upstream) {
			return false
		}
	}
	return s.trialCrashed(request)
}

// crashedTrials returns how many trials of a request are known to have crashed their upstreams. A
// trial of a gateway that does not record phases counts as one that did.
func (s *State) crashedTrials(request fingerprint.Fingerprint) int {
	trial := s.trials[request]
	if trial.Phase == TrialUnknown {
		return trial.Number
	}
	count := 0
	for _, crash := range s.merged.bySuspect[request] {
		if s.merged.trialCrashes[crash] > 0 {
			count++
		}
	}
	return count
}

// isConvicted reports whether a request has crashed an upstream in a trial.
func (s *State) isConvicted(request fingerprint.Fingerprint) bool {
	return slices.ContainsFunc(s.merged.bySuspect[request], func(crash Crash) bool { return s.merged.trialCrashes[crash] > 0 })
}

// isExplained reports whether a convicted request took part in each crash of another request.
func (s *State) isExplained(request fingerprint.Fingerprint) bool {
	return !slices.ContainsFunc(s.crashesOf(request), func(crash Crash) bool { return !s.hasConvicted(crash) })
}

// hasConvicted reports whether a convicted request ran at the upstream of a crash, other than the
// request of the crash itself.
func (s *State) hasConvicted(crash Crash) bool {
	return slices.ContainsFunc(s.merged.byUpstream[crash.Upstream], func(other Crash) bool {
		return other.Suspect != crash.Suspect && s.isConvicted(other.Suspect)
	})
}

// NextTrial returns the trial of the given number, to be made now for some blamed parts or none. If the outcome of
// the trial before it is not known, it must go to the same upstream.
func (s *State) NextTrial(request fingerprint.Fingerprint, number int, parts []fingerprint.Fingerprint) Trial {
	crashes := s.merged.bySuspect[request]
	trial := Trial{Number: number, Phase: TrialClaimed, Parts: parts}
	for _, crash := range crashes[max(0, len(crashes)-maxUpstreams):] {
		trial.Upstreams = append(trial.Upstreams, crash.Upstream)
	}
	if last := s.trials[request]; last.Number > 0 && last.Number < number && !s.trialCrashed(request) {
		trial.Upstream = last.Upstream
	}
	return trial
}

// IsStale reports whether all crashes that a trial was made for have been cleared since. Such a
// trial does not count for a request that is refused because of later crashes.
func (s *State) IsStale(request fingerprint.Fingerprint, trial Trial) bool {
	if len(trial.Upstreams) == 0 {
		return false // made by a gateway that does not list upstreams
	}
	return !slices.ContainsFunc(s.merged.bySuspect[request], func(crash Crash) bool { return slices.Contains(trial.Upstreams, crash.Upstream) })
}

// TrialUsed records that this gateway or another one made a trial of a request, or how far a known
// trial has got.
func (s *State) TrialUsed(request fingerprint.Fingerprint, trial Trial, now time.Duration) {
	known := s.trials[request]
	switch {
	case trial.Number > known.Number:
		trial.learned = now
		trial.retried = trial.retried || known.retried
		s.trials[request] = trial
	case trial.Number == known.Number && trial.Phase > known.Phase && !known.survived: // its object may not say so yet
		known.Phase, known.Upstream = trial.Phase, trial.Upstream
		s.trials[request] = known
	}
}

// TrialSent records that this gateway is about to send its newest trial of a request to an upstream.
func (s *State) TrialSent(request fingerprint.Fingerprint, upstream string) {
	trial := s.trials[request]
	trial.Phase, trial.Upstream = TrialSent, upstream
	s.trials[request] = trial
}

// TrialSurvived records that an upstream was found running after a trial of a request had ended there,
// and reports whether it was the newest trial.
func (s *State) TrialSurvived(request fingerprint.Fingerprint, upstream string) bool {
	if s.trialCrashed(request) {
		return false
	}
	return s.endTrialAt(Crash{Suspect: request, Upstream: upstream})
}

// endTrialAt ends the newest trial of a request if it ran at the upstream of a crash that did not
// happen, and reports whether it did.
func (s *State) endTrialAt(refuted Crash) bool {
	trial := s.trials[refuted.Suspect]
	if !trial.ranAt(refuted.Upstream) {
		return false
	}
	trial.Phase, trial.Upstream, trial.survived = TrialEnded, "", true
	s.trials[refuted.Suspect] = trial
	return true
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
	trial.Phase, trial.Upstream = TrialClaimed, ""
	s.trials[request] = trial
	if reached {
		if trial.retried || !s.IsProven(request) || len(s.merged.bySuspect[request]) > crashLimit {
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

// TrialUpstream returns the upstream incarnation that the newest trial of a request was sent to or
// must be sent to; empty if any may take it.
func (s *State) TrialUpstream(request fingerprint.Fingerprint) string {
	return s.trials[request].Upstream
}

// RecentlyCrashed returns the upstream incarnations that crashed recently under a request, which
// discovery may still list.
func (s *State) RecentlyCrashed(request fingerprint.Fingerprint, now time.Duration) []string {
	var ended []string
	for _, crash := range s.merged.bySuspect[request] {
		if now-s.merged.learnedAt(crash) < endedWindow {
			ended = append(ended, crash.Upstream)
		}
	}
	return ended
}
