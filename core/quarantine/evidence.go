package quarantine

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Limits and delays of the evidence on parts.
const (
	// crashWeight is how many completions outweigh one crash.
	crashWeight = 3
	// clearMargin is how many completions more than that clear a part of its crashes.
	clearMargin = 6
	// provenCompletions is the number of completions from which on a part counts as proven.
	provenCompletions = 20
	// burstWindow is the time within which crashes are a burst, which can have a single cause: all requests that run
	// when hosts lose power together have their popular parts in common.
	burstWindow = 500 * time.Millisecond
	// doubtfulCrashes and doubtfulScore are the crashes and the weight of the published evidence from which on
	// gateways publish what they know of a part.
	doubtfulCrashes = 2
	doubtfulScore   = 4
	// publishSpread is the time over which the gateways spread these writes: most of them find that
	// the first ones have told enough.
	publishSpread = 300 * time.Millisecond
	// clearDelay is how long after its last crash a part is cleared of its crashes at the soonest, and clearSpread
	// the time over which the gateways spread that.
	clearDelay  = time.Second
	clearSpread = time.Second
	// probationCrashes is how many crashes a part that its trials have cleared still counts for, until
	// probationCompletions more of its requests have completed at a gateway that made one of them: it may be one that does not
	// crash each upstream. A single crash that is reported late does not bring it back.
	probationCrashes     = 2
	probationCompletions = 4
)

// Evidence is what one gateway knows of a part beside its crashes. It counts from the first crash that counts.
type Evidence struct {
	Part fingerprint.Fingerprint
	// Before is the number of requests with the part that had completed before, provenCompletions at most.
	Before int
	// Since is the number of those that have completed since, without trials of the part.
	Since int
	// Trials is the number of trials of the part that have completed.
	Trials int
	// Bursts is the number of bursts of crashes under the part that nothing else explains, 0 if they are too few to blame it.
	Bursts int
}

// tally is this gateway's evidence on a part that has crashes.
type tally struct {
	Evidence
	// published is the evidence in the record that was written last.
	published Evidence
	// publishAt is when the record must be written because of this evidence, notDue if it need not be.
	publishAt time.Duration
	// probationEnds is when a part that its trials have cleared counts as any other again, 0 if it is not on probation.
	probationEnds time.Duration
}

// updateTally updates the evidence on a part after one of its crashes has changed.
func (s *State) updateTally(crash Crash, now time.Duration) {
	part := crash.Suspect
	s.updateCandidate(part)
	t := s.tallies[part]
	if len(s.merged.bySuspect[part]) == 0 {
		s.merged.forgetEvidence(part)
		if t != nil && now >= t.probationEnds {
			s.dropTally(t, now)
		}
		return
	}
	if t == nil {
		t = &tally{Evidence: Evidence{Part: part, Before: min(provenCompletions, s.completedParts.count(part))}, publishAt: notDue}
		s.tallies[part] = t
	}
	s.planPublication(t, now)
}

// updateCandidate notes whether a part has crashes enough to be blamed.
func (s *State) updateCandidate(part fingerprint.Fingerprint) {
	crashes := len(s.merged.bySuspect[part])
	if crashes >= blameCrashes || s.isConvicted(part) || crashes > 0 && s.evidenceOf(part).Trials >= trialsToClear {
		s.candidates[part] = true
		s.blame.stale = true
		return
	}
	if s.candidates[part] {
		delete(s.candidates, part)
		s.blame.stale = true
	}
}

// dropTally drops the evidence on a part that has no more crashes.
func (s *State) dropTally(t *tally, now time.Duration) {
	s.completedParts.addCount(t.Part, t.Since)
	delete(s.tallies, t.Part)
	delete(s.unpublished, t.Part)
	if t.published != (Evidence{}) {
		s.scheduleWrite(now + batchDelay)
	}
}

// PartCompleted records that a request with a part has completed, not as a trial of the part. It reports
// whether that clears the part of its crashes.
func (s *State) PartCompleted(part fingerprint.Fingerprint, now time.Duration) bool {
	t := s.tallies[part]
	if t == nil {
		s.completedParts.add(part)
		return false
	}
	t.Since++
	s.blame.stale = s.blame.stale || s.candidates[part]
	if t.probationEnds > now && t.Since >= probationCompletions && len(s.merged.bySuspect[part]) == 0 {
		s.dropTally(t, now)
		return false
	}
	s.planPublication(t, now)
	if !s.isOutweighed(part, now) {
		return false
	}
	s.ClearSuspect(part, now)
	return true
}

// TrialCompleted records that a trial of a part, or of several that were blamed together, has completed. It reports whether
// that clears the part of its crashes.
func (s *State) TrialCompleted(part fingerprint.Fingerprint, now time.Duration) bool {
	t := s.tallies[part]
	if t == nil {
		s.completedParts.add(part)
		return false
	}
	needed := s.trialsNeeded(part)
	t.Trials++
	s.blame.stale = true
	if trial, known := s.trials[part]; known {
		trial.Phase, trial.Upstream = TrialEnded, ""
		s.trials[part] = trial
	}
	s.planPublication(t, now)
	if s.evidenceOf(part).Trials < needed {
		return false
	}
	t.Since, t.Trials = 0, 0
	if needed == trialsToClear {
		t.Trials, t.probationEnds = trialsToClear, now+crashTTL
	}
	s.ClearSuspect(part, now)
	return true
}

// endProbations drops the evidence on parts whose probation has ended.
func (s *State) endProbations(now time.Duration) {
	for part, t := range s.tallies {
		if now >= t.probationEnds && len(s.merged.bySuspect[part]) == 0 {
			s.dropTally(t, now)
		}
	}
}

// ClearSuspect clears a suspect of all its crashes.
func (s *State) ClearSuspect(suspect fingerprint.Fingerprint, now time.Duration) {
	s.clearCrashes(slices.Clone(s.merged.bySuspect[suspect]), now) // clearing changes the list
	s.scheduleWrite(now)
}

// isOutweighed reports whether the completions of a part clear it of its crashes. If the published evidence
// speaks for the part, only the gateways that have reported its crashes clear it, so that a crash under a popular part does not
// make the whole fleet write.
func (s *State) isOutweighed(part fingerprint.Fingerprint, now time.Duration) bool {
	crashes := s.merged.bySuspect[part]
	if s.evidenceOf(part).Since < crashWeight*len(crashes)+clearMargin {
		return false
	}
	if now < s.lastLearned(crashes)+clearDelay+s.spread(part, clearSpread) {
		return false
	}
	return s.isDoubtful(part) || slices.ContainsFunc(crashes, func(crash Crash) bool { return slices.Contains(s.own.Crashes, crash) })
}

// evidenceOf returns the evidence of all gateways on a part.
func (s *State) evidenceOf(part fingerprint.Fingerprint) Evidence {
	total := Evidence{Part: part}
	if t := s.tallies[part]; t != nil {
		total = t.Evidence
	}
	return s.withPeers(total)
}

// withPeers adds what the other gateways have published to this gateway's evidence.
func (s *State) withPeers(own Evidence) Evidence {
	for _, e := range s.merged.evidence[own.Part] {
		own.Before += e.Before
		own.Since += e.Since
		own.Trials += e.Trials
		own.Bursts = max(own.Bursts, e.Bursts)
	}
	return own
}

// isDoubtful reports whether what all gateways have published leaves a part in doubt.
func (s *State) isDoubtful(part fingerprint.Fingerprint) bool {
	crashes := len(s.merged.bySuspect[part])
	if crashes < doubtfulCrashes {
		return false
	}
	published := Evidence{Part: part}
	if t := s.tallies[part]; t != nil {
		published.Since = t.published.Since
	}
	return crashWeight*crashes-s.withPeers(published).Since >= doubtfulScore
}

// planPublication plans the write of this gateway's evidence on a part if the others need it.
func (s *State) planPublication(t *tally, now time.Duration) {
	switch {
	case t.Evidence == t.published || !s.isDoubtful(t.Part):
		t.publishAt = notDue
		delete(s.unpublished, t.Part)
	case t.Trials > t.published.Trials:
		t.publishAt = now
		s.unpublished[t.Part] = true
	case t.publishAt == notDue:
		t.publishAt = now + s.spread(t.Part, publishSpread)
		s.unpublished[t.Part] = true
	}
}

// evidenceDue returns when the record must be written because of evidence, notDue if it need not be. The others may
// have published enough since it was planned.
func (s *State) evidenceDue() time.Duration {
	due := time.Duration(notDue)
	for part := range s.unpublished {
		t := s.tallies[part]
		if t == nil || !s.isDoubtful(part) {
			delete(s.unpublished, part)
			continue
		}
		if due == notDue || t.publishAt < due {
			due = t.publishAt
		}
	}
	return due
}

// takeEvidence returns the evidence for a write of this gateway's record and marks it as published: on parts whose
// crashes it reports, on those in doubt and on those that it has published before.
func (s *State) takeEvidence() []Evidence {
	reported := make(map[fingerprint.Fingerprint]bool)
	for _, crash := range s.own.Crashes {
		reported[crash.Suspect] = true
	}
	var list []Evidence
	for part, t := range s.tallies {
		if !reported[part] && !s.unpublished[part] && t.published == (Evidence{}) {
			continue
		}
		t.published, t.publishAt = t.Evidence, notDue
		list = append(list, t.Evidence)
	}
	clear(s.unpublished)
	slices.SortFunc(list, func(a, b Evidence) int { return bytes.Compare(a.Part[:], b.Part[:]) })
	return list
}

// burstsOf returns the number of bursts of crashes under a part at some incarnations.
func (s *State) burstsOf(part fingerprint.Fingerprint, upstreams []string) int {
	times := make([]time.Duration, len(upstreams))
	for i, upstream := range upstreams {
		times[i] = s.merged.learnedAt(Crash{Suspect: part, Upstream: upstream})
	}
	slices.Sort(times)
	bursts := 0
	var began time.Duration
	for _, at := range times {
		if bursts == 0 || at-began >= burstWindow {
			bursts++
			began = at
		}
	}
	return bursts
}

// adoptEvidence merges the evidence that an earlier incarnation of this gateway had published.
func (s *State) adoptEvidence(list []Evidence, now time.Duration) {
	for _, e := range list {
		t := s.tallies[e.Part]
		if t == nil {
			continue
		}
		t.Evidence = largerOf(t.Evidence, e)
		s.blame.stale = true
		s.planPublication(t, now)
	}
}

// largerOf returns the larger of each count of two pieces of evidence on a part.
func largerOf(a, b Evidence) Evidence {
	return Evidence{Part: a.Part, Before: max(a.Before, b.Before), Since: max(a.Since, b.Since), Trials: max(a.Trials, b.Trials), Bursts: max(a.Bursts, b.Bursts)}
}

// unionOfEvidence returns the evidence in two records of one gateway, the larger counts of each part.
func unionOfEvidence(first, second []Evidence) []Evidence {
	byPart := make(map[fingerprint.Fingerprint]Evidence)
	for _, e := range slices.Concat(first, second) {
		known, found := byPart[e.Part]
		if found {
			e = largerOf(known, e)
		}
		byPart[e.Part] = e
	}
	return slices.SortedFunc(maps.Values(byPart), func(a, b Evidence) int { return bytes.Compare(a.Part[:], b.Part[:]) })
}

// spread returns a time within a range, which differs between gateways and parts.
func (s *State) spread(part fingerprint.Fingerprint, within time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.self)) // a hash never fails to write
	_, _ = hash.Write(part[:])        // as above
	return time.Duration(hash.Sum32()%1000) * within / 1000
}

// forgetEvidence forgets what other gateways have published of a part that has no more crashes, but for its probation. One that has ended
// does not take it back, and it must not speak for the part for ever.
func (m *mergedRecords) forgetEvidence(part fingerprint.Fingerprint) {
	for gateway, e := range m.evidence[part] {
		if e.Trials < trialsToClear {
			delete(m.evidence[part], gateway)
		}
	}
	if len(m.evidence[part]) == 0 {
		delete(m.evidence, part)
	}
}

// replaceEvidence replaces what another gateway has published.
func (m *mergedRecords) replaceEvidence(gateway string, before, now []Evidence) {
	for _, e := range before {
		delete(m.evidence[e.Part], gateway)
		if len(m.evidence[e.Part]) == 0 {
			delete(m.evidence, e.Part)
		}
	}
	for _, e := range now {
		if m.evidence[e.Part] == nil {
			m.evidence[e.Part] = make(map[string]Evidence)
		}
		m.evidence[e.Part][gateway] = e
	}
}
