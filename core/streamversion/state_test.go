package streamversion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learnedState returns a State that has read a register while versions were listed.
func learnedState(r Register, listed ...string) *State {
	s := NewState()
	s.Confirmed(0)
	s.Listed(0, listed)
	s.Learned(0, r, 1, listed)
	return s
}

// TestNothingMayBeginBeforeTheRegisterIsKnown: an empty list of versions must not read as any version.
func TestNothingMayBeginBeforeTheRegisterIsKnown(t *testing.T) {
	s := NewState()
	s.Listed(0, []string{"v1"})
	assert.Assert(t, !s.MayBegin("v1") && s.NeedsSync(0))
	assert.Assert(t, s.Usable() != nil)
	assert.Equal(t, len(s.Usable()), 0)
}

func TestASecondVersionMakesTheRegisterMixedBeforeItIsUsed(t *testing.T) {
	settledAt := Register{Settled: true, Version: "v1"}
	s := learnedState(settledAt, "v1")
	s.Listed(time.Second, []string{"v1", "v2"})
	assert.Assert(t, s.MayBegin("v1") && !s.MayBegin("v2") && s.NeedsSync(time.Second))
	desired, write := s.Desired(time.Second, settledAt, 1)
	assert.Assert(t, write)
	assert.Equal(t, desired, Register{})
	assert.Assert(t, s.Learned(time.Second, desired, 2, s.Versions()))
	assert.Assert(t, s.MayBegin("v1") && s.MayBegin("v2") && !s.NeedsSync(time.Second))
}

func TestTheRegisterSettlesAfterTwoQuietSpans(t *testing.T) {
	s := learnedState(Register{}, "v2")
	now := time.Duration(0)
	wait := func(length time.Duration) {
		for end := now + length; now < end; now += time.Second {
			s.Confirmed(now)
			s.Tick(now)
		}
	}
	wait(SettleTime - time.Second)
	assert.Assert(t, !s.NeedsSync(now))
	wait(2 * time.Second)
	desired, write := s.Desired(now, Register{}, 1)
	assert.Assert(t, write && s.NeedsSync(now))
	assert.Equal(t, desired, Register{Settling: true, Version: "v2"})
	s.Learned(now, desired, 2, s.Versions())
	assert.Assert(t, !s.NeedsSync(now))
	wait(SettleTime + time.Second)
	desired, write = s.Desired(now, desired, 2)
	assert.Assert(t, write && s.NeedsSync(now))
	assert.Equal(t, desired, Register{Settled: true, Version: "v2"})
}

func TestAGatewayThatListsAnotherVersionEndsTheSettling(t *testing.T) {
	s := learnedState(Register{}, "v1", "v2")
	desired, write := s.Desired(time.Second, Register{Settling: true, Version: "v2"}, 5)
	assert.Assert(t, write)
	assert.Equal(t, desired, Register{})
}

func TestAStateWithoutTheStoreForTooLongKnowsNothing(t *testing.T) {
	s := learnedState(Register{}, "v1", "v2")
	s.Confirmed(MaxStateAge + time.Second)
	assert.Assert(t, !s.Known() && !s.MayBegin("v1") && s.NeedsSync(MaxStateAge+time.Second))
}

// TestTheFirstWordOfTheStoreForgetsNothing: the clock counts from the start of the machine.
func TestTheFirstWordOfTheStoreForgetsNothing(t *testing.T) {
	s := NewState()
	s.Listed(time.Hour, []string{"v1"})
	s.Learned(time.Hour, Register{Settled: true, Version: "v1"}, 1, s.Versions())
	s.Confirmed(time.Hour)
	assert.Assert(t, s.MayBegin("v1"))
}

func TestAStateOfAnotherGatewayIsTakenOnlyWhereNothingIsKnown(t *testing.T) {
	s := NewState()
	s.Listed(0, []string{"v1", "v3"})
	s.Adopt(false, []string{"v1", "v2"})
	assert.Assert(t, s.MayBegin("v1") && !s.MayBegin("v2") && !s.MayBegin("v3"))
	s.Adopt(true, []string{"v3"})
	assert.Assert(t, !s.MayBegin("v3"))
}

func TestAnAttemptThatBeganTwoStreamsIsRefused(t *testing.T) {
	table := NewTable(10)
	key := Key{Attempt: "a"}
	table.Put(Record{Key: key, Version: "v1", Expires: time.Second})
	table.Put(Record{Key: key, Version: "v1", Expires: 2 * time.Second})
	found, known := table.Get(key, 1500*time.Millisecond)
	assert.Assert(t, known && !found.Conflict)
	table.Put(Record{Key: key, Version: "v2", Expires: time.Second})
	found, _ = table.Get(key, 0)
	assert.Equal(t, Decide(Evidence{Record: &found}).Outcome, Never)
}

func TestATableKeepsWhatExpiresLast(t *testing.T) {
	table := NewTable(3)
	for i := range 5 {
		table.Put(Record{Key: Key{Attempt: fmt.Sprint(i)}, Expires: time.Duration(i+1) * time.Second})
	}
	assert.Equal(t, table.Len(), 3)
	table.Expire(4 * time.Second)
	assert.Equal(t, table.Len(), 1)
	assert.Equal(t, table.All("")[0].Key.Attempt, "4")
}

// TestHoldersAreOfDifferentZones: the loss of a zone must leave a copy.
func TestHoldersAreOfDifferentZones(t *testing.T) {
	var gateways []Gateway
	for i := range 20 {
		gateways = append(gateways, Gateway{Name: fmt.Sprintf("g%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	fleet := NewFleet(gateways)
	first := make(map[string]int)
	for i := range 2000 {
		holders := fleet.Holders(Key{Attempt: fmt.Sprintf("%016x", i*7919)})
		zones := make(map[string]bool)
		for _, g := range holders {
			zones[g.Zone] = true
		}
		assert.Equal(t, len(holders), Copies)
		assert.Equal(t, len(zones), 3)
		first[holders[0].Name]++
	}
	for name, count := range first {
		assert.Check(t, count > 50 && count < 200, "%s is the first of %d keys", name, count)
	}
	assert.Equal(t, len(NewFleet(gateways[:2]).Candidates(Key{Attempt: "a"})), 2)
	assert.Equal(t, len(NewFleet(nil).Candidates(Key{Attempt: "a"})), 0)
}

func TestDecisions(t *testing.T) {
	record := Record{Version: "v1"}
	for name, c := range map[string]struct {
		evidence Evidence
		outcome  Outcome
		version  string
	}{
		"a record":                     {Evidence{Record: &record}, GoesOn, "v1"},
		"one version":                  {Evidence{RegisterKnown: true, Register: Register{Settled: true, Version: "v2"}}, GoesOn, "v2"},
		"the store is silent":          {Evidence{}, NotNow, ""},
		"a gateway is silent":          {Evidence{RegisterKnown: true, Silent: 1}, NotNow, ""},
		"another version has come":     {Evidence{RegisterKnown: true, Changing: true}, NotNow, ""},
		"nobody knows":                 {Evidence{RegisterKnown: true}, Never, ""},
		"settling is not settled":      {Evidence{RegisterKnown: true, Register: Register{Settling: true, Version: "v2"}}, Never, ""},
		"a record before the register": {Evidence{Record: &record, RegisterKnown: true, Register: Register{Settled: true, Version: "v2"}}, GoesOn, "v1"},
	} {
		decision := Decide(c.evidence)
		assert.Equal(t, decision.Outcome, c.outcome, name)
		assert.Equal(t, decision.Version, c.version, name)
	}
}

// BenchmarkCandidates is the cost of finding the holders of one stream's record among 103 gateways.
func BenchmarkCandidates(b *testing.B) {
	var gateways []Gateway
	for i := range 103 {
		gateways = append(gateways, Gateway{Name: fmt.Sprintf("gateway-%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	fleet := NewFleet(gateways)
	for b.Loop() {
		fleet.Candidates(Key{Attempt: "9c41d07be2a35f68"})
	}
}
