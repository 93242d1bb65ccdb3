package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
)

// of returns the fingerprint of a request with a target.
func of(target string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Target: target})
}

// under returns the crash of an upstream under a request.
func under(target, upstream string) Crash { return Crash{Request: of(target), Upstream: upstream} }

// seen returns the Book of a gateway that was the first to see crashes.
func seen(crashes ...Crash) *Book {
	b := New("g1")
	b.Reset(nil, 0)
	for _, crash := range crashes {
		crashed(b, crash, 0)
	}
	return b
}

func TestARequestIsRefusedAfterCrashesThatAnyGatewaySaw(t *testing.T) {
	b := seen(under("a", "u1"))
	assert.Assert(t, !b.Judge(of("a"), 0).Refused)
	b.Take("g2", Record{Crashes: []Crash{under("a", "u1")}}, 0)
	assert.Assert(t, !b.Judge(of("a"), 0).Refused, "two saw the same crash")
	b.Take("g2", Record{Crashes: []Crash{under("a", "u2"), under("b", "u2")}}, 0)
	assert.DeepEqual(t, b.Judge(of("a"), 0), Verdict{Crashes: 2, Refused: true, RetryAfter: firstTrial})
	assert.Assert(t, !b.Judge(of("b"), 0).Refused, "it was there once")
}

func TestARequestThatRunsToItsEndIsClearedEverywhere(t *testing.T) {
	first := seen(under("a", "u1"), under("a", "u2"))
	second := New("g2")
	second.Reset(map[string]Record{"g1": first.Own()}, 0)
	assert.Assert(t, second.Judge(of("a"), 0).Refused)
	assert.Assert(t, second.Completed(of("a"), 0))
	assert.Assert(t, !second.Judge(of("a"), 0).Refused)
	due, must := second.Due()
	assert.Assert(t, must && due == 0, "others refuse it until they know")

	first.Take("g2", second.Own(), 0)
	assert.Assert(t, !first.Judge(of("a"), 0).Refused)
	second.Take("g1", first.Own(), 0)
	tidied := second.Own()
	assert.Equal(t, len(tidied.Crashes)+len(tidied.Cleared), 0, "nobody tells of them any more")
	assert.Assert(t, !second.Completed(of("a"), 0), "there is nothing to clear")
	for _, upstream := range []string{"u3", "u4"} {
		assert.Assert(t, !second.Judge(of("a"), 0).Refused)
		second.Suspect(under("a", upstream), 0)
	}
	assert.Assert(t, second.Judge(of("a"), 0).Refused, "later crashes count")
}

func TestACrashThatIsNotConfirmedCountsHereOnly(t *testing.T) {
	b := seen(under("a", "u1"))
	b.Own()
	b.Suspect(under("a", "u2"), 0)
	assert.Assert(t, b.Judge(of("a"), 0).Refused)
	assert.Assert(t, b.Judge(of("a"), 0).Unsure)
	assert.Equal(t, len(b.Own().Crashes), 1)
	b.Dismiss(under("a", "u2"), 0)
	assert.Assert(t, !b.Judge(of("a"), 0).Refused)
	b.Confirm(under("a", "u2"), 0)
	assert.Equal(t, len(b.Own().Crashes), 1, "it was dismissed")
}

func TestAnUpstreamThatAnswersAgainHasNotCrashed(t *testing.T) {
	b := seen(under("a", "u1"), under("a", "u2"), under("b", "u2"))
	b.Take("g2", Record{Crashes: []Crash{under("a", "u2")}}, 0)
	assert.Assert(t, !b.Answered("u2", 0, 1), "it may have been sent before")
	assert.Assert(t, b.Judge(of("a"), 1).Refused)
	assert.Assert(t, b.Answered("u2", 1, 2))
	assert.Equal(t, b.Judge(of("a"), 2).Crashes, 1)
	assert.Equal(t, b.Judge(of("b"), 2).Crashes, 0)
	due, must := b.Due()
	assert.Assert(t, must && due <= 2)
	assert.DeepEqual(t, b.Own(), Record{Crashes: []Crash{under("a", "u1")}, Cleared: []Crash{under("a", "u2")}})
	assert.Assert(t, !b.Answered("u3", 1, 2))
}

func TestTheRecordOfAnEarlierStartIsTakenOverOnce(t *testing.T) {
	b := New("g1")
	b.Suspect(under("a", "u2"), 0)
	b.Confirm(under("a", "u2"), 0)
	_, must := b.Due()
	assert.Assert(t, !must, "the record of the earlier start would be lost")
	b.Reset(map[string]Record{"g1": {Crashes: []Crash{under("a", "u1")}}}, 0)
	assert.Assert(t, b.Judge(of("a"), 0).Refused)
	_, must = b.Due()
	assert.Assert(t, must)
	assert.Equal(t, len(b.Own().Crashes), 2)
	b.Completed(of("a"), 0)
	b.Take("g1", Record{Crashes: []Crash{under("a", "u1"), under("a", "u2")}}, 0)
	assert.Assert(t, !b.Judge(of("a"), 0).Refused, "its own older words bring nothing back")
}

// provenRefused returns the book of a gateway that refuses a request since now, as another one, whose
// book comes with it, has seen it run well before.
func provenRefused(t *testing.T, now time.Duration, upstreams ...string) (refuses, knows *Book) {
	knows = New("g2")
	knows.Reset(nil, now)
	knows.Completed(of("a"), now)
	refuses = New("g1")
	refuses.Reset(nil, now)
	for _, upstream := range upstreams {
		crashed(refuses, under("a", upstream), now)
	}
	assert.Assert(t, refuses.Judge(of("a"), now).Refused)
	knows.Take("g1", refuses.Own(), now)
	due, must := knows.Due()
	assert.Assert(t, must && due == now, "others try it later until they know")
	refuses.Take("g2", knows.Own(), now)
	return refuses, knows
}

// crashed lets a gateway know of a crash.
func crashed(b *Book, crash Crash, now time.Duration) {
	b.Suspect(crash, now)
	b.Confirm(crash, now)
}

func TestARequestThatRanWellBeforeIsTriedSoonerAndTwice(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2")
	assert.Equal(t, b.Judge(of("a"), firstProvenTrial-1).Trial, 0)
	assert.Equal(t, b.Judge(of("a"), firstProvenTrial).Trial, 1)
	b.TrialUsed(of("a"), b.NextTrial(of("a"), 1), firstProvenTrial)
	crashed(b, under("a", "u3"), firstProvenTrial)

	second := firstProvenTrial + laterTrial
	assert.Equal(t, b.Judge(of("a"), second-1).Trial, 0)
	assert.Equal(t, b.Judge(of("a"), second).Trial, 2)
	b.TrialUsed(of("a"), b.NextTrial(of("a"), 2), second)
	crashed(b, under("a", "u4"), second)
	assert.DeepEqual(t, b.Judge(of("a"), keepFor-1), Verdict{Crashes: 4, Refused: true, RetryAfter: noTrial})
}

// TestARequestWithCrashesThatOthersSawHasNoSecondTrial: they may lie before all that this gateway saw.
func TestARequestWithCrashesThatOthersSawHasNoSecondTrial(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2")
	b.TrialUsed(of("a"), b.NextTrial(of("a"), 1), 0)
	crashed(b, under("a", "u3"), 0)
	b.Take("g3", Record{Crashes: []Crash{under("a", "u4")}}, 0)
	assert.Equal(t, b.Judge(of("a"), keepFor-1).Trial, 0)
}

func TestATrialThatCrashedNothingIsFollowedByOthers(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2", "u3", "u4", "u5")
	now := firstProvenTrial
	for number := 1; number < 10; number++ {
		assert.Equal(t, b.Judge(of("a"), now-1).Trial, 0, "two trials at once")
		assert.Equal(t, b.Judge(of("a"), now).Trial, number)
		b.TrialUsed(of("a"), b.NextTrial(of("a"), number), now)
		now += lostTrial
	}
}

func TestATrialThatWasTurnedAwayIsMadeAgainOnce(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2")
	for number, again := range []bool{true, false} {
		assert.Equal(t, b.Judge(of("a"), firstProvenTrial).Trial, 1, "send %d", number+1)
		b.TrialUsed(of("a"), b.NextTrial(of("a"), 1), firstProvenTrial)
		assert.Equal(t, b.TrialReturned(of("a"), 1, true), again)
	}
	assert.Equal(t, b.Judge(of("a"), firstProvenTrial+lostTrial).Trial, 2)
}

func TestATrialAfterACrashIsNotGivenBackByTheUpstream(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2", "u3")
	b.TrialUsed(of("a"), b.NextTrial(of("a"), 1), 0)
	assert.Assert(t, !b.TrialReturned(of("a"), 1, true))
	assert.Assert(t, b.TrialReturned(of("a"), 1, false), "it has reached none")
	assert.Assert(t, !b.TrialReturned(of("a"), 1, false), "it was given back")
}

func TestUpstreamsThatCrashedLatelyAreTold(t *testing.T) {
	b := seen(under("a", "u1"))
	crashed(b, under("a", "u2"), endedFor-1)
	assert.DeepEqual(t, b.Ended(of("a"), endedFor-1), []string{"u1", "u2"})
	assert.DeepEqual(t, b.Ended(of("a"), endedFor), []string{"u2"})
	assert.Equal(t, len(b.Ended(of("b"), 0)), 0)
}

func TestATrialForCrashesThatWereClearedIsPast(t *testing.T) {
	b, _ := provenRefused(t, 0, "u1", "u2")
	trial := b.NextTrial(of("a"), 1)
	assert.Assert(t, !b.IsPast(of("a"), trial))
	b.Completed(of("a"), 0)
	crashed(b, under("a", "u3"), 0)
	crashed(b, under("a", "u4"), 0)
	assert.Assert(t, b.IsPast(of("a"), trial))
}

func TestNobodyTellsOfRequestsThatRanWellOnceTheyAreCleared(t *testing.T) {
	b, knows := provenRefused(t, 0, "u1", "u2")
	b.Completed(of("a"), 0)
	knows.Take("g1", b.Own(), 0)
	b.Take("g2", knows.Own(), 0)
	knows.Take("g1", b.Own(), 0)
	assert.Equal(t, len(b.Own().Proven)+len(knows.Own().Proven), 0)
}

func TestTheMemoryOfWhatRanWellIsBounded(t *testing.T) {
	m := newMemory(3)
	for _, target := range []string{"a", "b", "a", "c", "d"} {
		m.add(of(target))
	}
	assert.Assert(t, !m.has(of("a")) && m.has(of("b")) && m.has(of("c")) && m.has(of("d")))
	assert.Equal(t, len(m.places), 3)
}

func TestARequestThatNeverRanWellHasOneTrial(t *testing.T) {
	b := seen(under("a", "u1"), under("a", "u2"))
	assert.Equal(t, b.Judge(of("a"), firstTrial-time.Second).RetryAfter, time.Second)
	assert.Equal(t, b.Judge(of("a"), firstTrial).Trial, 1)
	b.TrialUsed(of("a"), Trial{Number: 1}, firstTrial)
	assert.DeepEqual(t, b.Judge(of("a"), keepFor-1), Verdict{Crashes: 2, Refused: true, RetryAfter: noTrial})
	b.Expire(keepFor)
	assert.Assert(t, !b.Judge(of("a"), keepFor).Refused)
}

func TestAFurtherAttemptWaitsForTheWordsOfOthers(t *testing.T) {
	b := seen(under("a", "u1"))
	assert.Equal(t, b.Settle(of("a"), settleFor/3), settleFor-settleFor/3)
	assert.Equal(t, b.Settle(of("a"), settleFor), time.Duration(0))
	assert.Equal(t, b.Settle(of("b"), 0), time.Duration(0))
}

func TestARecordIsBounded(t *testing.T) {
	b := seen()
	for i := range mostCrashes + 5 {
		crash := under("a", string(rune('a'+i)))
		b.Suspect(crash, 0)
		b.Confirm(crash, 0)
	}
	assert.Equal(t, len(b.Own().Crashes), mostCrashes)
}

func TestAnOperatorCanRemoveARecord(t *testing.T) {
	b := seen(under("a", "u1"), under("a", "u2"))
	b.Remove("g1", 0)
	assert.Assert(t, !b.Judge(of("a"), 0).Refused)
}
