package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
)

// TestRecordsOfAnEarlierEraTakeNothingBack: after the store's return from an older copy, the record of a
// gateway that has ended is as it was, or missing, for good.
func TestRecordsOfAnEarlierEraTakeNothingBack(t *testing.T) {
	known := Record{Crashes: []Crash{crashOf("a", "u1"), crashOf("a", "u2"), crashOf("b", "u2")}, Cleared: []Crash{crashOf("b", "u1")},
		Proven: []fingerprint.Fingerprint{req("a")}, TrialCrashes: []Crash{crashOf("a", "u2")}, Era: 1}
	older := Record{Crashes: []Crash{crashOf("a", "u1"), crashOf("b", "u1")}, Era: 1}
	for _, restored := range []map[string]Record{nil, {"g2": older}, {"g2": known}} {
		s := New("g1")
		s.Reset(map[string]Record{"g2": known}, 0)
		s.EraChanged(2, 0)
		for range 2 {
			s.Reset(restored, 0)
			assert.Equal(t, s.Judge(req("a"), 0).Crashes, 2)
			assert.Equal(t, s.Judge(req("b"), 0).Crashes, 1, "the crash at u1 is cleared")
			assert.Assert(t, s.IsProven(req("a")) && s.isConvicted(req("a")))
		}
		s.Expire(crashTTL)
		assert.Equal(t, s.Judge(req("a"), crashTTL).Crashes, 0)
	}
}

// TestARecordThatIsWrittenAgainReplacesTheKeptOne: its gateway may have found since that nothing has crashed.
func TestARecordThatIsWrittenAgainReplacesTheKeptOne(t *testing.T) {
	known := Record{Crashes: []Crash{crashOf("a", "u1"), crashOf("a", "u2")}, Era: 1}
	rewritten := Record{Crashes: []Crash{crashOf("a", "u2")}, Era: 2}
	for _, arrives := range []func(s *State){
		func(s *State) { s.Reset(map[string]Record{"g2": rewritten}, 0) },
		func(s *State) { s.Reset(nil, 0); s.ReplaceRecord("g2", rewritten, 0) },
		func(s *State) { s.Reset(nil, 0); s.Reset(map[string]Record{"g2": rewritten}, 0) },
	} {
		s := New("g1")
		s.Reset(map[string]Record{"g2": known}, 0)
		s.EraChanged(2, 0)
		arrives(s)
		assert.Equal(t, s.Judge(req("a"), 0).Crashes, 1)
		s.Reset(nil, 0)
		assert.Equal(t, s.Judge(req("a"), 0).Crashes, 0, "an operator has removed the record")
	}
}

// TestTheOwnRecordIsWrittenAgainInANewEra: the store may have lost it or hold an older one, whose crashes may
// have been cleared since.
func TestTheOwnRecordIsWrittenAgainInANewEra(t *testing.T) {
	const delay = time.Second
	for _, restored := range []map[string]Record{nil, {"g1": {Crashes: []Crash{crashOf("a", "u1"), crashOf("b", "u1")}, Era: 1}}} {
		s := stateWithCrashes(crashOf("a", "u1"), crashOf("b", "u1"), crashOf("c", "u1"))
		assert.Assert(t, s.Completed(req("b"), 0))
		written := s.TakeOwnRecord()
		s.EraChanged(2, delay)
		s.Reset(restored, 0)
		assert.DeepEqual(t, takeOwnRecordDueAt(t, s, delay), written)
	}
}

// takeOwnRecordDueAt checks that the record is due at a time and takes it.
func takeOwnRecordDueAt(t *testing.T, s *State, at time.Duration) Record {
	t.Helper()
	due, must := s.Due()
	assert.Assert(t, must && due == at, "due at %v", due)
	return s.TakeOwnRecord()
}

// TestAnEmptyRecordIsNotWrittenAgain: most gateways have none, and the store need not hear of that.
func TestAnEmptyRecordIsNotWrittenAgain(t *testing.T) {
	s := stateWithCrashes()
	s.EraChanged(2, 0)
	s.Reset(nil, 0)
	_, must := s.Due()
	assert.Assert(t, !must)
	s.EraChanged(3, 0)
	s.Reset(map[string]Record{"g1": {Crashes: []Crash{crashOf("a", "u1")}, Era: 1}}, 0)
	_, must = s.Due()
	assert.Assert(t, must, "the others count the crash of the restored record")
	assert.Equal(t, s.Judge(req("a"), 0).Crashes, 0)
}
