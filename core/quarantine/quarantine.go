// Package quarantine decides which requests are no longer sent because upstreams crash while they
// run them. A suspect is a request or a part of prompts that different requests share. Suspects are
// identified by their fingerprints, so that a client's further attempts count as the same request,
// and requests with the same part as having the same suspect, whichever gateway they reach.
//
// Each gateway keeps and publishes a Record of the crashes that it saw (crash records) and of those
// that it has cleared; each gateway merges the records of all. A record has one writer and is
// replaced as a whole, so records need no order among each other: the merged crashes are the union
// of all crashes without the union of all cleared ones.
//
// Why the number of crashes is bounded: no gateway that knows of crashLimit crashes under a
// fingerprint sends that request. A gateway that does not know of them yet sends at most the
// attempts that it receives until the records arrive. After that a request is sent only as a trial,
// and each trial belongs to the gateway that created the trial's object in the store.
//
// Why innocent requests recover: many requests run at an upstream that crashes, and all of them
// count as suspect. A request that then completes anywhere is cleared of all its known crashes, and
// an upstream that responds again, as after a network partition, clears all requests that ran
// there. A single crash blocks no request. A request that any gateway has seen complete before gets
// its trials sooner and gets more of them, since upstreams that crash together break off such
// requests at several upstreams.
//
// Why a trial tells the innocent from the guilty: a trial reserves its upstream, so that no other
// trial runs there meanwhile. If the upstream crashes, the request is convicted. Crashes that a
// convicted request took part in are explained by it, and a request all of whose crashes are
// explained gets another trial at once.
//
// Why a lost trial costs nothing: a trial names its upstream in the store before it is sent there.
// If its outcome stays unknown, because its gateway ended or lost the store, the next trial goes to
// the same incarnation of the upstream. It finds the upstream running, and nothing has crashed, or
// ended, and then the lost trial is presumed to have crashed it. An incarnation crashes only once,
// so that the two trials together crash at most one upstream.
//
// Why a part is blamed, and not those that its requests share with others: crashes are counted
// against completions, those of all gateways, and the suspect against which most speaks explains the
// crashes that it took part in (see updateBlame). Gateways publish completions only of parts that
// the crashes leave in doubt.
//
// A crash under a suspect is the end of an upstream while it ran the request. A proven request is
// one that a gateway has seen complete before. An incarnation is one run of an upstream or gateway.
// Trials are single sends of a refused request.
//
// The package does no I/O and reads no wall clock: times count from the start of the machine. It is
// not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// Limits and delays of the decision.
const (
	// crashLimit is the number of crashes from which on a request is refused. With 1, every request
	// that ran beside a crash would be refused.
	crashLimit = 2
	// noTrialRetryAfter is the Retry-After for a request that gets no more trials.
	noTrialRetryAfter = time.Minute
	// settleDelay is how long after a crash further attempts of its request wait. The other
	// gateways' records of crashes arrive meanwhile, so that a client that retries at once through
	// one gateway after another does not outrun them.
	settleDelay = 300 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = time.Hour
	// maxCrashes bounds the crashes of requests in a record, and those of parts, some 80 bytes each; the
	// oldest are dropped first.
	maxCrashes = 512
	// maxCompleted bounds the completed requests that a gateway remembers, and the parts of such requests, some 60
	// bytes each; the oldest are dropped first.
	maxCompleted = 4096
)

// Crash is the end of one incarnation of an upstream while a request ran there that is the suspect or, if that
// is a part, has it in its prompt.
type Crash struct {
	Suspect fingerprint.Fingerprint
	// Upstream names the incarnation.
	Upstream string
}

// Record is what one gateway publishes to the others.
type Record struct {
	// Crashes are the crashes that this gateway saw, oldest first.
	Crashes []Crash
	// Cleared are crashes that this gateway cleared: their request has completed since, or their
	// upstream has responded.
	Cleared []Crash
	// Proven are requests that completed before they would have been refused.
	Proven []fingerprint.Fingerprint
	// TrialCrashes are those of Crashes that happened in a trial of their request.
	TrialCrashes []Crash
	// Evidence is what else the gateway knows of parts with crashes.
	Evidence []Evidence
	// Era is the store's era in which the record was written, 0 if unknown.
	Era int64
}

// isEmpty reports whether a record reports nothing.
func (r Record) isEmpty() bool { return len(r.Crashes)+len(r.Cleared)+len(r.Proven) == 0 }

// State holds one gateway's view of all crash records.
type State struct {
	self string
	own  Record
	// adopted is set once the record of an earlier incarnation of this gateway was adopted, or is
	// known not to exist.
	adopted bool
	// records holds the records of the other gateways by gateway name.
	records map[string]Record
	// returned is the era in which the store last returned from an older copy, 0 if it has not. kept
	// holds the names of the gateways whose records in records may be of an earlier era.
	returned int64
	kept     map[string]bool
	// rewriteDelay is the delay after the next Reset with which this gateway's record is written again;
	// noRewrite if it need not be.
	rewriteDelay time.Duration
	// unconfirmed holds crashes of upstreams that may still be running.
	unconfirmed map[Crash]bool
	// merged combines own, records and unconfirmed.
	merged mergedRecords
	// completed counts the completions of requests here, completedParts those of requests with a part.
	completed, completedParts boundedCounts
	// tallies holds this gateway's evidence on the parts that have crashes; unpublished are those of which it
	// has more than the others know and need; candidates those that may be blamed.
	tallies                 map[fingerprint.Fingerprint]*tally
	unpublished, candidates map[fingerprint.Fingerprint]bool
	// blame is the decision on parts; blameChanges are its changes since TakeBlameChanges.
	blame        blame
	blameChanges []BlameChange
	// omitted is a rule that a test leaves out.
	omitted omission
	// trials holds the newest known trial of each request.
	trials map[fingerprint.Fingerprint]Trial
	// due is when this gateway's record must be written; it is notDue, below 0, if the record need
	// not be written.
	due time.Duration
}

// New returns an empty State of the gateway self.
func New(self string) *State {
	return &State{
		self:        self,
		records:     make(map[string]Record),
		kept:        make(map[string]bool),
		unconfirmed: make(map[Crash]bool),
		merged:      newMergedRecords(),
		completed:   newBoundedCounts(maxCompleted),

		completedParts: newBoundedCounts(maxCompleted),
		tallies:        make(map[fingerprint.Fingerprint]*tally),
		unpublished:    make(map[fingerprint.Fingerprint]bool),
		candidates:     make(map[fingerprint.Fingerprint]bool),
		blame:          newBlame(),

		trials: make(map[fingerprint.Fingerprint]Trial),
		due:    notDue,

		rewriteDelay: noRewrite,
	}
}

// Verdict is the decision on a suspect, or on a request with all its suspects.
type Verdict struct {
	// Suspect is the one that decides. Parts are the parts for which the request is refused, the Suspect among them, empty if it
	// is refused as a whole. Several is set if it is refused for reasons that a trial could not tell apart.
	Suspect fingerprint.Fingerprint
	Parts   []fingerprint.Fingerprint
	Several bool
	// Crashes is the number of crashes of the suspect that count.
	Crashes int
	// Refused is set if the request must not be sent, except as a trial.
	Refused bool
	// Unconfirmed is set if the request is refused only because of crashes that are not confirmed
	// yet.
	Unconfirmed bool
	// Trial is the number of the trial that may be made now, counted from 1; 0 if none may be made.
	Trial int
	// RetryAfter is how long the client of a refused request should wait.
	RetryAfter time.Duration
}

// Judge returns the decision on a suspect at the time now.
func (s *State) Judge(suspect fingerprint.Fingerprint, now time.Duration) Verdict {
	s.updateBlame()
	if _, blamed := s.blame.parts[suspect]; blamed {
		return s.judgeParts([]fingerprint.Fingerprint{suspect}, now)
	}
	crashes := s.crashesOf(suspect)
	verdict := Verdict{Suspect: suspect, Crashes: len(crashes), Refused: !suspect.IsPart() && len(crashes) >= crashLimit}
	if verdict.Refused {
		verdict.Unconfirmed = len(crashes)-s.countUnconfirmed(crashes) < crashLimit
		due, available := s.trialDue(suspect)
		s.addTrial(&verdict, due, available, now)
	}
	return verdict
}

// addTrial adds to the verdict on a refused suspect whether it gets a trial now, and when its client may come back. Due is
// when its next trial may be made; available is not set if it gets none.
func (s *State) addTrial(verdict *Verdict, due time.Duration, available bool, now time.Duration) {
	if !available {
		verdict.RetryAfter = noTrialRetryAfter
		return
	}
	remaining := due - now
	if remaining <= 0 && s.adopted {
		verdict.Trial = s.trials[verdict.Suspect].Number + 1
		return
	}
	if remaining <= 0 {
		return // the records, which may show that the suspect is convicted, are not known yet
	}
	verdict.RetryAfter = min(remaining, firstTrialDelay) // a trial in progress may clear it at any time
}

// IsProven reports whether a request is known to have completed before.
func (s *State) IsProven(request fingerprint.Fingerprint) bool {
	return s.merged.proven[request] > 0 || s.completed.count(request) > 0
}

// countUnconfirmed returns how many of the crashes are not confirmed yet.
func (s *State) countUnconfirmed(crashes []Crash) int {
	count := 0
	for _, crash := range crashes {
		if s.unconfirmed[crash] {
			count++
		}
	}
	return count
}

// SettleDelay returns how long a further attempt of a request must wait before it is judged.
func (s *State) SettleDelay(request fingerprint.Fingerprint, now time.Duration) time.Duration {
	s.updateBlame()
	crashes := s.crashesOf(request)
	if len(crashes) == 0 || s.IsProven(request) {
		return 0
	}
	return max(0, s.lastLearned(crashes)+settleDelay-now)
}

// lastLearned returns when the last of the crashes became known to this gateway.
func (s *State) lastLearned(crashes []Crash) time.Duration {
	var latest time.Duration
	for _, crash := range crashes {
		latest = max(latest, s.merged.learnedAt(crash))
	}
	return latest
}

// Suspect records that an upstream may have ended while a request ran there. The crash counts at
// this gateway at once, and is published once it is confirmed.
func (s *State) Suspect(crash Crash, now time.Duration) {
	if s.unconfirmed[crash] || slices.Contains(s.own.Crashes, crash) {
		return
	}
	s.unconfirmed[crash] = true
	s.merged.countOwnReport(crash, 1)
	s.reevaluate(now, crash)
}

// Confirm records that the upstream of a suspected crash has ended. It reports whether the crash was
// still suspected; its request may have completed meanwhile.
func (s *State) Confirm(crash Crash, now time.Duration) bool {
	if !s.unconfirmed[crash] {
		return false
	}
	delete(s.unconfirmed, crash)
	s.own.Crashes = append(s.own.Crashes, crash)
	if trial := s.trials[crash.Suspect]; trial.ranAt(crash.Upstream) && len(trial.Parts) < 2 {
		s.own.TrialCrashes = append(s.own.TrialCrashes, crash)
		s.merged.countTrialCrash(crash, 1)
	}
	affected := []Crash{crash}
	if oldest, dropped := s.dropOldest(crash.Suspect.IsPart()); dropped {
		affected = append(affected, oldest)
	}
	s.reevaluate(now, affected...)
	s.scheduleWrite(now)
	return true
}

// dropOldest drops the oldest of the crashes of parts, or of requests, from this gateway's record if there are more than
// maxCrashes. Requests are many and die out; they must not push out what is known of parts.
func (s *State) dropOldest(ofParts bool) (Crash, bool) {
	first, count := -1, 0
	for i, crash := range s.own.Crashes {
		if crash.Suspect.IsPart() != ofParts {
			continue
		}
		if first < 0 {
			first = i
		}
		count++
	}
	if count <= maxCrashes {
		return Crash{}, false
	}
	oldest := s.own.Crashes[first]
	s.own.Crashes = slices.Delete(s.own.Crashes, first, first+1)
	s.merged.countOwnReport(oldest, -1)
	s.dropTrialCrash(oldest)
	return oldest, true
}

// PresumeCrash records that the upstream of a trial whose outcome is not known has ended. Nobody saw
// the trial's connection close, so that the trial is presumed to have crashed the upstream.
func (s *State) PresumeCrash(request fingerprint.Fingerprint, now time.Duration) {
	trial := s.trials[request]
	if trial.Upstream == "" || s.trialCrashed(request) {
		return
	}
	trial.Phase = TrialSent
	s.trials[request] = trial
	suspects := trial.Parts
	if len(suspects) == 0 {
		suspects = []fingerprint.Fingerprint{request}
	}
	for _, suspect := range suspects {
		crash := Crash{Suspect: suspect, Upstream: trial.Upstream}
		s.Suspect(crash, now)
		s.Confirm(crash, now)
	}
}

// Dismiss records that the upstream of a suspected crash is still running.
func (s *State) Dismiss(crash Crash, now time.Duration) {
	s.dropSuspicion(crash)
	s.reevaluate(now, crash)
}

// dropSuspicion drops an unconfirmed crash, if there is one.
func (s *State) dropSuspicion(crash Crash) {
	if s.unconfirmed[crash] {
		delete(s.unconfirmed, crash)
		s.merged.countOwnReport(crash, -1)
	}
}

// Completed records that a request has completed, which clears it of all known crashes. It reports
// whether there were any.
func (s *State) Completed(request fingerprint.Fingerprint, now time.Duration) bool {
	s.completed.add(request)
	crashes := slices.Clone(s.merged.bySuspect[request]) // clearing changes the list
	if len(crashes) == 0 {
		return false
	}
	delete(s.trials, request)
	s.clearCrashes(crashes, now)
	return true
}

// NoCrashes reports whether no upstream counts as crashed.
func (s *State) NoCrashes() bool { return len(s.merged.byUpstream) == 0 }

// Responded records that an incarnation of an upstream has responded to a request sent at the time
// sent, and so had not ended by then. It returns the crashes that this cleared: crashes learned at or
// after sent stay.
func (s *State) Responded(upstream string, sent, now time.Duration) []Crash {
	var refuted []Crash
	for _, crash := range s.merged.byUpstream[upstream] {
		if s.merged.learnedAt(crash) < sent {
			refuted = append(refuted, crash)
		}
	}
	if len(refuted) > 0 {
		s.clearCrashes(refuted, now)
	}
	return refuted
}

// EndedAsPlanned records that an incarnation of an upstream has ended as planned, and withdraws the
// crashes that this gateway reports there and learned of at or after since, which it returns. Other
// gateways withdraw theirs: one that reached the upstream earlier may have seen it crash.
func (s *State) EndedAsPlanned(upstream string, since, now time.Duration) []Crash {
	var withdrawn []Crash
	for _, crash := range s.merged.byUpstream[upstream] {
		if s.merged.learnedAt(crash) >= since && (s.unconfirmed[crash] || slices.Contains(s.own.Crashes, crash)) {
			withdrawn = append(withdrawn, crash)
		}
	}
	for _, crash := range withdrawn {
		s.withdraw(crash)
	}
	if len(withdrawn) > 0 {
		s.reevaluate(now, withdrawn...)
		s.scheduleWrite(now)
	}
	return withdrawn
}

// withdraw drops this gateway's report of a crash. The caller must call reevaluate for the crash afterwards.
func (s *State) withdraw(crash Crash) {
	s.dropSuspicion(crash)
	if index := slices.Index(s.own.Crashes, crash); index >= 0 {
		s.own.Crashes = slices.Delete(s.own.Crashes, index, index+1)
		s.merged.countOwnReport(crash, -1)
		s.dropTrialCrash(crash)
	}
}

// clearCrashes marks crashes as cleared. If other gateways refuse a request because of them, the record
// is written at once.
func (s *State) clearCrashes(crashes []Crash, now time.Duration) {
	urgent := false
	for _, crash := range crashes {
		s.dropSuspicion(crash)
		if !slices.Contains(s.own.Cleared, crash) {
			s.own.Cleared = append(s.own.Cleared, crash)
			s.merged.countCleared(crash, 1)
		}
		if len(s.merged.bySuspect[crash.Suspect]) >= crashLimit {
			s.merged.keepCleared(crash, now+clearedRetention)
			urgent = true
		}
	}
	s.reevaluate(now, crashes...)
	if urgent {
		s.scheduleWrite(now)
	} else {
		s.scheduleWrite(now + batchDelay)
	}
}
