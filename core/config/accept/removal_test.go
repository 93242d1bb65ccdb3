package accept

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// raiseOldest updates the head as a removal of old objects does.
func raiseOldest(t *testing.T, s *fakeStore, oldest core.Revision) {
	head := *headOf(t, s)
	head.Oldest = oldest
	object := s.objects[config.HeadKey]
	s.objects[config.HeadKey] = fakeObject{value: head.Encode(), version: object.version + 1}
}

func TestAChangeInFlightRestartsAfterARemoval(t *testing.T) {
	for _, code := range []fault.Code{fault.Conflict, fault.Ambiguous} {
		s := newReliableStore(t)
		machine := New(Request{ChangeID: "mine", Change: config.Change{Drain: []string{"u"}}, Time: time.Unix(7, 0)})
		(transitionCounts{}).runUntil(t, s, machine, stateAccepting)
		raiseOldest(t, s, 1)
		machine.Handle(Reply{Code: code})
		(transitionCounts{}).runToEnd(s, machine)
		checkOutcome(t, machine, Accepted)
		head := headOf(t, s)
		assert.Equal(t, head.Revision, core.Revision(2))
		assert.Equal(t, head.Oldest, core.Revision(1), "the oldest revision decreased")
		assert.Equal(t, head.AcceptedUnix, int64(7))
		copied, err := config.DecodeHead(s.objects[head.Key()].value)
		assert.NilError(t, err)
		assert.DeepEqual(t, copied, head.Copy())
	}
}

func TestAnExistingPartIsTouchedOrCreatedAgain(t *testing.T) {
	for _, removed := range []bool{false, true} {
		s := newReliableStore(t)
		old := headOf(t, s).Templates
		drive(s, Request{ChangeID: "drain", Change: config.Change{Drain: []string{"u"}}})
		before := s.objects[config.PartKey(old)].version
		machine := New(Request{ChangeID: "undrain", Change: config.Change{Undrain: []string{"u"}}})
		for !machine.touching || machine.foundVersion == 0 {
			_, ended := machine.Result()
			assert.Assert(t, !ended, "the part was not read")
			machine.Handle(s.apply(machine.Next()))
		}
		if removed {
			delete(s.objects, config.PartKey(old))
		}
		(transitionCounts{}).runToEnd(s, machine)
		checkOutcome(t, machine, Accepted)
		assert.Equal(t, headOf(t, s).Templates, old)
		after, found := s.objects[config.PartKey(old)]
		assert.Assert(t, found)
		assert.Assert(t, removed || after.version > before, "the part was not touched")
	}
}

func TestAChangeFromARemovedBaseFails(t *testing.T) {
	s := newReliableStore(t)
	base := headOf(t, s)
	drive(s, Request{ChangeID: "drain", Change: config.Change{Drain: []string{"u"}}})
	delete(s.objects, config.PartKey(base.Templates))
	result := drive(s, Request{ChangeID: "mine", Change: config.Change{Drain: []string{"v"}}, Base: base})
	assert.Equal(t, result.Outcome, Failed)
	assert.Assert(t, strings.Contains(result.Detail, "no longer kept"), result.Detail)
}
