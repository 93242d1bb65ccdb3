package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Limits and delays of the decision on parts.
const (
	// blameCrashes and blameScore are the crashes and the score from which on a part is blamed.
	blameCrashes = 4
	blameScore   = 10
)

// omission is a rule of the decision on parts that tests leave out, to see that the promises need it.
type omission int

// The rules that can be left out.
const (
	// omitExplaining lets crashes count against all suspects.
	omitExplaining omission = iota + 1
	// omitBursts counts each crash under a proven part.
	omitBursts
	// omitSharedTrials makes no trials of parts that were blamed together.
	omitSharedTrials
)

// Subject is all that may be the cause if an upstream crashes under a request.
type Subject struct {
	Request fingerprint.Fingerprint
	// Parts are the parts of its prompt that other requests may share.
	Parts []fingerprint.Fingerprint
}

// Case is what speaks against a suspect and for it.
type Case struct {
	Suspect fingerprint.Fingerprint
	// Crashes is the number of its crashes that no other suspect explains, less those that came together. Score is their weight
	// without the completions. Rank orders the suspects: it is the Score less the trials that completed.
	Crashes, Score, Rank int
	Evidence             Evidence
	// Upstreams are the incarnations that crashed, sorted.
	Upstreams []string
	// Group numbers the suspects that are blamed together, as the evidence does not tell them apart.
	Group int
	// Convicted is set if it crashed an upstream in a trial.
	Convicted bool
}

// blame is the decision on all parts. It follows from the merged records and this gateway's own counts, so that
// gateways with the same records blame the same parts.
type blame struct {
	// stale is set once what the decision follows from has changed.
	stale bool
	// parts holds the cases of the blamed parts; groups counts the groups that they were blamed in.
	parts map[fingerprint.Fingerprint]Case
	// byParts holds the incarnations whose crashes blamed parts explain; explained also those that convicted
	// requests do.
	byParts, explained map[string]bool
	groups             int
}

// newBlame returns a decision that blames nothing.
func newBlame() blame {
	return blame{parts: make(map[fingerprint.Fingerprint]Case), byParts: make(map[string]bool), explained: make(map[string]bool)}
}

// updateBlame decides on all parts anew if the evidence has changed.
//
// The suspect against which most speaks is blamed first. It explains the crashes that it took part in, which then no longer
// count against the others: whatever ran beside it is innocent as far as these show. So a part that each crash has
// in common is not blamed for being popular, and of two parts that crash upstreams both are found.
//
// Parts that took part in the same crashes and completed as often are blamed together. A trial of a request tells
// them apart: those that it has speak for themselves by completing, or are left alone by crashing.
func (s *State) updateBlame() {
	if !s.blame.stale {
		return
	}
	next := newBlame()
	for {
		culprits := s.nextCulprits(&next)
		if len(culprits) == 0 {
			break
		}
		next.add(culprits, s.omitted != omitExplaining)
	}
	s.noteBlameChanges(next)
	s.blame = next
	s.updateBursts()
}

// updateBursts updates this gateway's evidence on the bursts of crashes under the parts that may be blamed. Others that learn
// of the crashes later, all at the same time, go by it.
func (s *State) updateBursts() {
	for part := range s.candidates {
		t := s.tallies[part]
		if t == nil {
			continue
		}
		c, blamed := s.blame.parts[part]
		if !blamed {
			c = s.weigh(part, s.blame.explained)
		}
		t.Bursts = s.burstsOf(part, c.Upstreams)
	}
}

// add blames suspects together. With explains, they explain the crashes that they took part in.
func (b *blame) add(culprits []Case, explains bool) {
	b.groups++
	for _, culprit := range culprits {
		culprit.Group = b.groups
		if culprit.Suspect.IsPart() {
			b.parts[culprit.Suspect] = culprit
		}
		for _, upstream := range culprit.Upstreams {
			b.explained[upstream] = explains
			b.byParts[upstream] = b.byParts[upstream] || culprit.Suspect.IsPart()
		}
	}
}

// nextCulprits returns the suspects against which most speaks among those that are not blamed yet. A request goes
// before a part, as less is refused with it.
func (s *State) nextCulprits(decided *blame) []Case {
	var cases []Case
	consider := func(suspect fingerprint.Fingerprint) {
		if _, is := decided.parts[suspect]; is {
			return
		}
		if c := s.weigh(suspect, decided.explained); c.isEligible() {
			cases = append(cases, c)
		}
	}
	for part := range s.candidates {
		consider(part)
	}
	for crash := range s.merged.trialCrashes {
		if !crash.Suspect.IsPart() {
			consider(crash.Suspect)
		}
	}
	if len(cases) == 0 {
		return nil
	}
	slices.SortFunc(cases, compareCases)
	first := cases[0]
	return slices.DeleteFunc(cases, func(c Case) bool { return c.Suspect != first.Suspect && !first.isLike(c) })
}

// isLike reports whether the evidence does not tell two parts apart.
func (c Case) isLike(other Case) bool {
	return c.Suspect.IsPart() && other.Suspect.IsPart() && c.Rank == other.Rank && slices.Equal(c.Upstreams, other.Upstreams)
}

// compareCases orders cases by how much speaks against their suspects, most first, and requests before parts.
func compareCases(a, b Case) int {
	if order := cmp.Compare(b.Rank, a.Rank); order != 0 {
		return order
	}
	switch {
	case a.Suspect.IsPart() == b.Suspect.IsPart():
		return bytes.Compare(a.Suspect[:], b.Suspect[:])
	case a.Suspect.IsPart():
		return 1
	default:
		return -1
	}
}

// weigh returns the case against a suspect. Crashes of incarnations in explained do not count, nor those that are not
// confirmed.
func (s *State) weigh(suspect fingerprint.Fingerprint, explained map[string]bool) Case {
	c := Case{Suspect: suspect}
	for _, crash := range s.merged.bySuspect[suspect] {
		if explained[crash.Upstream] || s.unconfirmed[crash] {
			continue
		}
		c.Upstreams = append(c.Upstreams, crash.Upstream)
		c.Convicted = c.Convicted || s.merged.trialCrashes[crash] > 0
	}
	c.Crashes = len(c.Upstreams)
	if c.Crashes == 0 {
		return c
	}
	slices.Sort(c.Upstreams)
	c.Evidence = s.evidenceOf(suspect)
	c.Evidence.Bursts = max(c.Evidence.Bursts, s.burstsOf(suspect, c.Upstreams))
	if c.Evidence.Before >= provenCompletions && s.omitted != omitBursts {
		c.Crashes = min(c.Crashes, c.Evidence.Bursts)
	}
	if c.Evidence.Trials >= trialsToClear { // its trials have cleared it of earlier crashes
		c.Crashes += probationCrashes
	}
	c.Score = crashWeight*c.Crashes - c.Evidence.Since
	c.Rank = c.Score - c.Evidence.Trials
	return c
}

// isEligible reports whether enough speaks against a suspect to blame it.
func (c Case) isEligible() bool {
	return c.Convicted || c.Suspect.IsPart() && c.Crashes >= blameCrashes && c.Score >= blameScore
}

// crashesOf returns the crashes that count against a suspect: for a request without those that blamed parts explain.
func (s *State) crashesOf(suspect fingerprint.Fingerprint) []Crash {
	crashes := s.merged.bySuspect[suspect]
	isExplained := func(crash Crash) bool { return s.blame.byParts[crash.Upstream] }
	if suspect.IsPart() || len(s.blame.byParts) == 0 || !slices.ContainsFunc(crashes, isExplained) {
		return crashes
	}
	return slices.DeleteFunc(slices.Clone(crashes), isExplained)
}

// JudgeSubject returns the decision on a request with all its suspects at the time now.
func (s *State) JudgeSubject(subject Subject, now time.Duration) Verdict {
	verdict := s.Judge(subject.Request, now)
	blamed := s.blamedOf(subject)
	if len(blamed) == 0 {
		return verdict
	}
	several := verdict.Refused || !s.blame.together(blamed) || s.omitted == omitSharedTrials && len(blamed) > 1
	verdict = s.judgeParts(blamed, now)
	if several {
		verdict.Several, verdict.Trial, verdict.RetryAfter = true, 0, max(verdict.RetryAfter, firstPartTrialDelay)
	}
	return verdict
}

// together reports whether parts were blamed together.
func (b *blame) together(blamed []fingerprint.Fingerprint) bool {
	group := b.parts[blamed[0]].Group
	return !slices.ContainsFunc(blamed, func(part fingerprint.Fingerprint) bool { return b.parts[part].Group != group })
}

// blamedOf returns the blamed parts of a request, sorted.
func (s *State) blamedOf(subject Subject) []fingerprint.Fingerprint {
	if len(s.blame.parts) == 0 {
		return nil
	}
	var blamed []fingerprint.Fingerprint
	for _, part := range subject.Parts {
		if _, is := s.blame.parts[part]; is {
			blamed = append(blamed, part)
		}
	}
	slices.SortFunc(blamed, func(a, b fingerprint.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return blamed
}

// judgeParts returns the decision on a request with blamed parts, which were blamed together. The first of
// them names their trials.
func (s *State) judgeParts(blamed []fingerprint.Fingerprint, now time.Duration) Verdict {
	verdict := Verdict{Suspect: blamed[0], Crashes: len(s.merged.bySuspect[blamed[0]]), Refused: true, Parts: blamed}
	wait, available := s.partTrialWait(blamed)
	s.addTrial(&verdict, s.waited(blamed[0], wait), available, now)
	return verdict
}

// Limits and delays of trials of parts.
const (
	// firstPartTrialDelay is the time from the last crash under a part to its first trial: upstreams that
	// crashed under other requests with it are known by then. For parts that are probably innocent it is
	// soonTrialDelay.
	firstPartTrialDelay = 3 * time.Second
	soonTrialDelay      = time.Second
	// trialsToClear is how many trials of a part must complete to clear it: one that does not crash each upstream
	// passes the first. For a part whose crashes were a single burst one is enough.
	trialsToClear = 3
	// maxPartTrials bounds the trials of a part, maxVainTrials those that did not complete.
	maxPartTrials = 5
	maxVainTrials = 3
)

// partTrialWait returns the time from the last crash or trial of parts that were blamed together to their next trial, and
// false if they get none. A trial of several parts that crashed its upstream convicts none of them; the next one must lack one of
// them.
func (s *State) partTrialWait(blamed []fingerprint.Fingerprint) (time.Duration, bool) {
	part := blamed[0]
	trial := s.trials[part]
	completed := s.evidenceOf(part).Trials
	switch {
	case s.isConvicted(part) || completed >= trialsToClear || trial.Number >= maxPartTrials || trial.Number-completed >= maxVainTrials:
		return 0, false
	case trial.Number == 0 && (s.isUncertain(part) || s.trialsNeeded(part) == 1):
		return soonTrialDelay, true
	case trial.Number == 0:
		return firstPartTrialDelay, true
	case trial.Phase == TrialEnded && completed > 0, completed >= trial.Number:
		return 0, true
	case s.trialCrashed(part):
		return soonTrialDelay, len(trial.Parts) > 1 && lacksOne(blamed, trial.Parts)
	case trial.survived:
		return survivedTrialDelay, true
	default:
		return lostTrialDelay, true
	}
}

// isUncertain reports whether a part was blamed together with others.
func (s *State) isUncertain(part fingerprint.Fingerprint) bool {
	group := s.blame.parts[part].Group
	for other, c := range s.blame.parts {
		if other != part && c.Group == group {
			return true
		}
	}
	return false
}

// trialsNeeded returns how many trials of a part must complete to clear it.
func (s *State) trialsNeeded(part fingerprint.Fingerprint) int {
	if c, blamed := s.blame.parts[part]; blamed && c.Evidence.Bursts == 1 && c.Evidence.Trials < trialsToClear {
		return 1
	}
	return trialsToClear
}

// lacksOne reports whether a list of parts lacks one of some others.
func lacksOne(list, others []fingerprint.Fingerprint) bool {
	return slices.ContainsFunc(others, func(part fingerprint.Fingerprint) bool { return !slices.Contains(list, part) })
}

// BlameChange is a part that is blamed from now on, or no longer.
type BlameChange struct {
	Case
	Blamed bool
}

// noteBlameChanges notes the parts that a new decision blames or frees.
func (s *State) noteBlameChanges(next blame) {
	for part, c := range next.parts {
		if _, was := s.blame.parts[part]; !was {
			s.blameChanges = append(s.blameChanges, BlameChange{Case: c, Blamed: true})
		}
	}
	for part := range s.blame.parts {
		if _, still := next.parts[part]; !still {
			s.blameChanges = append(s.blameChanges, BlameChange{Case: s.weigh(part, next.explained)})
		}
	}
	slices.SortFunc(s.blameChanges, func(a, b BlameChange) int { return bytes.Compare(a.Suspect[:], b.Suspect[:]) })
}

// TakeBlameChanges returns the changes since the last call.
func (s *State) TakeBlameChanges() []BlameChange {
	s.updateBlame()
	changes := s.blameChanges
	s.blameChanges = nil
	return changes
}

// Suspects returns the numbers of parts that have doubtfulCrashes crashes or more and of those that are blamed.
func (s *State) Suspects() (suspected, blamed int) {
	for part := range s.tallies {
		if len(s.merged.bySuspect[part]) >= doubtfulCrashes {
			suspected++
		}
	}
	return suspected, len(s.blame.parts)
}

// Refused returns the cases of all blamed parts and of all requests that are refused, those against which most speaks first.
func (s *State) Refused() []Case {
	s.updateBlame()
	var cases []Case
	for _, c := range s.blame.parts {
		cases = append(cases, c)
	}
	for suspect := range s.merged.bySuspect {
		if !suspect.IsPart() && len(s.crashesOf(suspect)) >= crashLimit {
			cases = append(cases, s.weigh(suspect, s.blame.byParts))
		}
	}
	slices.SortFunc(cases, compareCases)
	return cases
}

// CrashesOf returns the crashes of a suspect that count.
func (s *State) CrashesOf(suspect fingerprint.Fingerprint) []Crash {
	return slices.Clone(s.merged.bySuspect[suspect])
}
