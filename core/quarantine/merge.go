package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// mergedRecords is the union of the records of all gateways. It is updated incrementally: when a
// zone is lost, each gateway writes its record and receives those of all others, and merging
// everything anew for each of them would cost too much.
type mergedRecords struct {
	entries map[Crash]*entry
	// bySuspect and byUpstream hold the active crashes by suspect and by upstream incarnation.
	bySuspect  map[fingerprint.Fingerprint][]Crash
	byUpstream map[string][]Crash
	// proven counts the other gateways that report a request as proven.
	proven map[fingerprint.Fingerprint]int
	// trialCrashes counts the gateways that report a crash as one of a trial.
	trialCrashes map[Crash]int
	// evidence holds what the other gateways have published of parts, by gateway name.
	evidence map[fingerprint.Fingerprint]map[string]Evidence
}

// entry is the state of one crash.
type entry struct {
	// peerReports counts the other gateways that report the crash, ownReports is 1 if this gateway
	// reports or suspects it, and clearedBy counts all gateways that have cleared it.
	peerReports, ownReports, clearedBy int
	// learned is when the crash became known to this gateway.
	learned time.Duration
	// keepUntil is how long this gateway keeps the crash among its cleared ones.
	keepUntil time.Duration
	// reported is set while any gateway, this one included, reports the crash.
	reported bool
	// active is set while the crash is in bySuspect and byUpstream.
	active bool
}

// newMergedRecords returns the union of no records.
func newMergedRecords() mergedRecords {
	return mergedRecords{
		entries:    make(map[Crash]*entry),
		bySuspect:  make(map[fingerprint.Fingerprint][]Crash),
		byUpstream: make(map[string][]Crash),
		proven:     make(map[fingerprint.Fingerprint]int),

		trialCrashes: make(map[Crash]int),
		evidence:     make(map[fingerprint.Fingerprint]map[string]Evidence),
	}
}

// entryFor returns the entry of a crash, which it creates if needed.
func (m *mergedRecords) entryFor(crash Crash) *entry {
	e := m.entries[crash]
	if e == nil {
		e = &entry{}
		m.entries[crash] = e
	}
	return e
}

// countOwnReport adds delta to this gateway's reports of a crash. The caller must call reevaluate
// for the crash afterwards.
func (m *mergedRecords) countOwnReport(crash Crash, delta int) { m.entryFor(crash).ownReports += delta }

// countCleared adds delta to the number of gateways that have cleared a crash. The caller must call
// reevaluate for the crash afterwards.
func (m *mergedRecords) countCleared(crash Crash, delta int) { m.entryFor(crash).clearedBy += delta }

// keepCleared records that this gateway keeps a cleared crash in its record until a time, also if no other
// gateway reports it.
func (m *mergedRecords) keepCleared(crash Crash, until time.Duration) {
	m.entryFor(crash).keepUntil = until
}

// learnedAt returns when a crash became known to this gateway.
func (m *mergedRecords) learnedAt(crash Crash) time.Duration {
	if e := m.entries[crash]; e != nil {
		return e.learned
	}
	return 0
}

// countRecord adds another gateway's record (delta 1) or removes it (delta -1). The caller must
// call reevaluate for the record's crashes afterwards.
func (m *mergedRecords) countRecord(record Record, delta int) {
	for _, crash := range record.Crashes {
		m.entryFor(crash).peerReports += delta
	}
	for _, crash := range record.Cleared {
		m.entryFor(crash).clearedBy += delta
	}
	for _, request := range record.Proven {
		m.proven[request] += delta
		if m.proven[request] == 0 {
			delete(m.proven, request)
		}
	}
	for _, crash := range record.TrialCrashes {
		m.countTrialCrash(crash, delta)
	}
}

// countTrialCrash adds delta to the gateways that report a crash as one of a trial.
func (m *mergedRecords) countTrialCrash(crash Crash, delta int) {
	m.trialCrashes[crash] += delta
	if m.trialCrashes[crash] == 0 {
		delete(m.trialCrashes, crash)
	}
}

// reevaluate updates whether a crash is active: reported, cleared by no gateway and not expired.
func (m *mergedRecords) reevaluate(crash Crash, now time.Duration) {
	e := m.entryFor(crash)
	reported := e.peerReports+e.ownReports > 0
	if reported && !e.reported {
		e.learned = now
	}
	e.reported = reported
	active := reported && e.clearedBy == 0 && now-e.learned < crashTTL
	switch {
	case active && !e.active:
		m.bySuspect[crash.Suspect] = append(m.bySuspect[crash.Suspect], crash)
		m.byUpstream[crash.Upstream] = append(m.byUpstream[crash.Upstream], crash)
	case !active && e.active:
		removeCrash(m.bySuspect, crash.Suspect, crash)
		removeCrash(m.byUpstream, crash.Upstream, crash)
	}
	e.active = active
	if !reported && e.clearedBy == 0 {
		delete(m.entries, crash)
	}
}

// removeCrash removes a crash from the list of a key.
func removeCrash[K comparable](lists map[K][]Crash, key K, crash Crash) {
	remaining := slices.DeleteFunc(lists[key], func(c Crash) bool { return c == crash })
	if len(remaining) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = remaining
}

// replacePeerRecord replaces the record of another gateway with its newest one.
func (s *State) replacePeerRecord(gateway string, record Record, now time.Duration) {
	s.reevaluateRecord(s.swapRecord(gateway, record), now)
}

// swapRecord counts a new record of another gateway in place of its previous one and returns the
// contents of both, which the caller must reevaluate.
func (s *State) swapRecord(gateway string, record Record) Record {
	previous := s.records[gateway]
	s.records[gateway] = record
	s.merged.countRecord(record, 1)
	s.merged.countRecord(previous, -1)
	s.merged.replaceEvidence(gateway, previous.Evidence, record.Evidence)
	s.blame.stale = true
	return Record{
		Crashes: slices.Concat(record.Crashes, previous.Crashes),
		Cleared: slices.Concat(record.Cleared, previous.Cleared),
		Proven:  slices.Concat(record.Proven, previous.Proven),
	}
}

// reevaluateRecord reevaluates all crashes and requests in a record.
func (s *State) reevaluateRecord(affected Record, now time.Duration) {
	for _, crash := range affected.Cleared {
		s.trialRefuted(crash)
	}
	s.reevaluate(now, slices.Concat(affected.Crashes, affected.Cleared)...)
	for _, request := range affected.Proven {
		s.updateProven(request, now)
	}
}

// trialRefuted records, if another gateway has cleared a crash, that the trial of the crash's request at
// that upstream has not crashed it.
func (s *State) trialRefuted(crash Crash) {
	if s.merged.entryFor(crash).clearedBy > 0 {
		s.endTrialAt(crash)
	}
}

// reevaluate updates crashes whose reports have changed, and this gateway's record with them.
func (s *State) reevaluate(now time.Duration, crashes ...Crash) {
	for _, crash := range crashes {
		s.merged.reevaluate(crash, now)
	}
	s.prune(now)
	for _, crash := range crashes {
		s.updateProven(crash.Suspect, now)
		if crash.Suspect.IsPart() {
			s.updateTally(crash, now)
		}
	}
}

// updateProven publishes a request that completed here as proven once it has crashLimit crashes,
// unless another gateway has done so, and withdraws it once it has no active crashes.
func (s *State) updateProven(request fingerprint.Fingerprint, now time.Duration) {
	count := len(s.merged.bySuspect[request])
	index := slices.Index(s.own.Proven, request)
	switch {
	case count == 0:
		delete(s.trials, request)
		if index >= 0 {
			s.own.Proven = slices.Delete(s.own.Proven, index, index+1)
			s.scheduleWrite(now + batchDelay)
		}
	case index < 0 && count >= crashLimit && s.completed.count(request) > 0 && s.merged.proven[request] == 0:
		s.own.Proven = append(s.own.Proven, request)
		s.scheduleWrite(now)
	}
}

// clearedRetention is how long a crash of a request that was refused stays among the cleared ones
// although no other gateway reports it: gateways that were disconnected from the store report theirs late.
const clearedRetention = time.Minute

// prune drops from this gateway's record the crashes that were cleared or have expired, and from
// its cleared crashes those that no other gateway reports any more. The order matters: a gateway
// that reported a crash drops the report first, and a gateway that cleared the crash drops it from
// its cleared crashes afterwards, so that no gateway counts a cleared crash.
func (s *State) prune(now time.Duration) {
	before := len(s.own.Crashes)
	var dropped []Crash
	s.own.Crashes = slices.DeleteFunc(s.own.Crashes, func(crash Crash) bool {
		e := s.merged.entryFor(crash)
		if e.clearedBy == 0 && now-e.learned < crashTTL {
			return false
		}
		e.ownReports--
		dropped = append(dropped, crash)
		s.dropTrialCrash(crash)
		return true
	})
	s.own.Cleared = slices.DeleteFunc(s.own.Cleared, func(crash Crash) bool {
		e := s.merged.entryFor(crash)
		if e.peerReports > 0 || now < e.keepUntil && len(s.own.Cleared) <= maxCrashes {
			return false
		}
		e.clearedBy--
		dropped = append(dropped, crash)
		return true
	})
	for _, crash := range dropped {
		s.merged.reevaluate(crash, now)
	}
	if len(s.own.Crashes) != before {
		s.scheduleWrite(now + batchDelay)
	}
}

// dropTrialCrash drops a crash from the trial crashes of this gateway's record.
func (s *State) dropTrialCrash(crash Crash) {
	if index := slices.Index(s.own.TrialCrashes, crash); index >= 0 {
		s.own.TrialCrashes = slices.Delete(s.own.TrialCrashes, index, index+1)
		s.merged.countTrialCrash(crash, -1)
	}
}
