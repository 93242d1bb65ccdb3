package accept

import (
	"bytes"
	"math/rand/v2"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// fakeObject is one object of a fakeStore.
type fakeObject struct {
	value   []byte
	version uint64
}

// fakeStore is a deterministic object API that loses calls and responses, and applies
// writes long after their callers were told that the result is ambiguous.
type fakeStore struct {
	random  *rand.Rand
	objects map[string]fakeObject
	// faultPercent is the percentage of calls that fail.
	faultPercent int
	// delayed holds the writes that are still to be applied, although their callers
	// received Ambiguous.
	delayed []Action
	// headWrites counts the writes of the head that took effect.
	headWrites int
}

// call carries out an action, unless a fault prevents it, and returns what its caller
// learns.
func (s *fakeStore) call(action Action) Reply {
	if s.random.IntN(100) >= s.faultPercent {
		return s.apply(action)
	}
	if action.Kind == ActionGet {
		return Reply{Code: fault.DeadlineExceeded}
	}
	switch s.random.IntN(4) {
	case 0:
		return Reply{Code: fault.Unavailable}
	case 1:
		return Reply{Code: fault.Ambiguous}
	case 2:
		s.apply(action)
		return Reply{Code: fault.Ambiguous}
	default:
		s.delayed = append(s.delayed, action)
		return Reply{Code: fault.Ambiguous}
	}
}

// applyDelayed applies one random delayed write, if there is any.
func (s *fakeStore) applyDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.random.IntN(len(s.delayed))
	action := s.delayed[i]
	s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	s.apply(action)
}

// apply carries out an action without faults.
func (s *fakeStore) apply(action Action) Reply {
	object, exists := s.objects[action.Key]
	if action.Kind == ActionGet {
		if !exists {
			return Reply{Code: fault.NotFound}
		}
		return Reply{Value: object.value, Version: object.version}
	}
	conditionMet := !exists
	if action.Kind == ActionUpdate {
		conditionMet = exists && object.version == action.Version
	}
	if !conditionMet {
		return Reply{Code: fault.Conflict}
	}
	object = fakeObject{value: bytes.Clone(action.Value), version: object.version + 1}
	s.objects[action.Key] = object
	if action.Key == config.HeadKey {
		s.headWrites++
	}
	return Reply{Version: object.version}
}
