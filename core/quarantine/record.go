package quarantine

import (
	"maps"
	"slices"
	"time"
)

// batchDelay is how long the write of a change may wait that no other gateway depends on: changes
// that follow within it are written together.
const batchDelay = 2 * time.Second

// notDue is the due time of a record that need not be written.
const notDue = -1

// noRewrite is the rewriteDelay of a record that need not be written again.
const noRewrite = -1

// EraChanged records that the store has returned from an older copy of itself, in a new era. The
// records of the next Reset may lack what gateways had written since the copy; each gateway writes
// its own again, this one with the given delay after the Reset.
func (s *State) EraChanged(era int64, delay time.Duration) {
	if !s.adopted {
		return // no record is known yet
	}
	s.returned, s.rewriteDelay = era, delay
	for gateway := range s.records {
		s.kept[gateway] = true
	}
}

// IsRestored reports whether the store has returned with a record as it was in an earlier era, so
// that its gateway may have reported more since.
func (s *State) IsRestored(record Record) bool { return record.Era < s.returned }

// Records returns the number of the other gateways' records.
func (s *State) Records() int { return len(s.records) }

// Reset replaces the records of all gateways with the given ones. A record that its gateway has not
// written again since the store returned from an older copy does not take back what is known.
func (s *State) Reset(records map[string]Record, now time.Duration) {
	own, found := records[s.self]
	var affected []Record
	for gateway := range s.records {
		if _, present := records[gateway]; !present && !s.kept[gateway] {
			affected = append(affected, s.swapRecord(gateway, Record{}))
			delete(s.records, gateway)
		}
	}
	for _, gateway := range slices.Sorted(maps.Keys(records)) {
		if gateway != s.self {
			affected = append(affected, s.swapRecord(gateway, s.newestRecord(gateway, records[gateway])))
		}
	}
	for _, record := range affected {
		s.reevaluateRecord(record, now)
	}
	delayed := s.rewriteOwn(found, now)
	if found {
		s.ReplaceRecord(s.self, own, now)
		return
	}
	s.adopted = true
	if !s.own.isEmpty() && !delayed {
		s.scheduleWrite(now)
	}
}

// newestRecord returns the listed record of another gateway, together with the known one if the gateway
// has not written it again since the store returned from an older copy.
func (s *State) newestRecord(gateway string, listed Record) Record {
	if !s.kept[gateway] || !s.IsRestored(listed) {
		delete(s.kept, gateway)
		return listed
	}
	known := s.records[gateway]
	return Record{
		Crashes:      unionOf(known.Crashes, listed.Crashes),
		Cleared:      unionOf(known.Cleared, listed.Cleared),
		Proven:       unionOf(known.Proven, listed.Proven),
		TrialCrashes: unionOf(known.TrialCrashes, listed.TrialCrashes),
		Evidence:     unionOfEvidence(known.Evidence, listed.Evidence),
	}
}

// unionOf returns the elements of both lists, each once.
func unionOf[T comparable](first, second []T) []T {
	union := slices.Clone(first)
	for _, element := range second {
		if !slices.Contains(union, element) {
			union = append(union, element)
		}
	}
	return union
}

// rewriteOwn schedules the write of this gateway's record if the store has returned from an older
// copy, which it reports; stored is set if the store has a record of this gateway.
func (s *State) rewriteOwn(stored bool, now time.Duration) bool {
	returned := s.rewriteDelay != noRewrite
	if returned && (stored || !s.own.isEmpty()) {
		s.scheduleWrite(now + s.rewriteDelay)
	}
	s.rewriteDelay = noRewrite
	return returned
}

// ReplaceRecord replaces the record of a gateway. The first record of this gateway itself was
// written by its earlier incarnation and is adopted, so that the crashes it saw survive a restart;
// later ones are its own writes and are ignored.
func (s *State) ReplaceRecord(gateway string, record Record, now time.Duration) {
	if gateway != s.self {
		delete(s.kept, gateway)
		s.replacePeerRecord(gateway, record, now)
		return
	}
	if !s.adopted {
		s.Adopt(record, now)
	}
}

// Adopt merges a stored record of this gateway that this incarnation did not write into the current
// one, and schedules a write if the result differs from the stored record.
func (s *State) Adopt(record Record, now time.Duration) {
	s.adopted = true
	for _, crash := range record.Crashes {
		s.dropSuspicion(crash)
		if !slices.Contains(s.own.Crashes, crash) {
			s.own.Crashes = append(s.own.Crashes, crash)
			s.merged.countOwnReport(crash, 1)
		}
	}
	for _, crash := range record.Cleared {
		if !slices.Contains(s.own.Cleared, crash) {
			s.own.Cleared = append(s.own.Cleared, crash)
			s.merged.countCleared(crash, 1)
			s.merged.keepCleared(crash, now+clearedRetention)
		}
	}
	for _, request := range record.Proven {
		s.completed.add(request)
	}
	for _, crash := range record.TrialCrashes {
		if !slices.Contains(s.own.TrialCrashes, crash) {
			s.own.TrialCrashes = append(s.own.TrialCrashes, crash)
			s.merged.countTrialCrash(crash, 1)
		}
	}
	s.reevaluateRecord(record, now)
	s.adoptEvidence(record.Evidence, now)
	if !slices.Equal(s.own.Crashes, record.Crashes) || !slices.Equal(s.own.Cleared, record.Cleared) || !slices.Equal(s.own.Proven, record.Proven) {
		s.scheduleWrite(now)
	}
}

// Remove drops the record of a gateway. This gateway's own record is only removed by an operator,
// and is dropped too.
func (s *State) Remove(gateway string, now time.Duration) {
	if gateway == s.self {
		s.dropOwn(now)
		return
	}
	s.replacePeerRecord(gateway, Record{}, now)
	delete(s.records, gateway)
	delete(s.kept, gateway)
}

// dropOwn drops this gateway's record.
func (s *State) dropOwn(now time.Duration) {
	own := s.own
	s.own = Record{}
	for _, crash := range own.Crashes {
		s.merged.countOwnReport(crash, -1)
	}
	for _, crash := range own.Cleared {
		s.merged.countCleared(crash, -1)
	}
	for _, crash := range own.TrialCrashes {
		s.merged.countTrialCrash(crash, -1)
	}
	s.reevaluateRecord(own, now)
}

// Expire drops the crashes that have expired.
func (s *State) Expire(now time.Duration) {
	s.reevaluate(now, slices.Collect(maps.Keys(s.merged.entries))...)
	s.endProbations(now)
}

// Due returns when this gateway's record must be written, and false if it need not be: nothing has
// changed, or the record of an earlier incarnation, which the write would overwrite, is not known
// yet.
func (s *State) Due() (time.Duration, bool) {
	due := s.due
	if evidence := s.evidenceDue(); due == notDue || evidence != notDue && evidence < due {
		due = evidence
	}
	return due, s.adopted && due != notDue
}

// TakeOwnRecord returns this gateway's record for a write and marks it as written. Later changes
// make the record due again.
func (s *State) TakeOwnRecord() Record {
	s.due = notDue
	return Record{Crashes: slices.Clone(s.own.Crashes), Cleared: slices.Clone(s.own.Cleared), Proven: slices.Clone(s.own.Proven), TrialCrashes: slices.Clone(s.own.TrialCrashes), Evidence: s.takeEvidence()}
}

// WriteFailed records that the write of this gateway's record failed and is to be retried at a
// time.
func (s *State) WriteFailed(retryAt time.Duration) { s.scheduleWrite(retryAt) }

// scheduleWrite makes this gateway's record due at a time, unless it is due sooner.
func (s *State) scheduleWrite(at time.Duration) {
	if s.due == notDue || at < s.due {
		s.due = at
	}
}
