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

// fakeStore is a deterministic object API that loses calls and answers, and
// lets writes take effect long after their caller was told that nobody knows.
type fakeStore struct {
	random  *rand.Rand
	objects map[string]fakeObject
	// trouble is how many calls of a hundred go wrong.
	trouble int
	// late holds writes whose callers have been answered with Ambiguous.
	late []Action
	// headMoves counts the writes of the head that took effect.
	headMoves int
}

// call carries out an action, or not, and returns what its caller learns.
func (s *fakeStore) call(action Action) Reply {
	if s.random.IntN(100) >= s.trouble {
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
		s.late = append(s.late, action)
		return Reply{Code: fault.Ambiguous}
	}
}

// land carries out one late write, if there is any.
func (s *fakeStore) land() {
	if len(s.late) == 0 {
		return
	}
	i := s.random.IntN(len(s.late))
	action := s.late[i]
	s.late = append(s.late[:i:i], s.late[i+1:]...)
	s.apply(action)
}

// apply carries out an action.
func (s *fakeStore) apply(action Action) Reply {
	object, exists := s.objects[action.Key]
	if action.Kind == ActionGet {
		if !exists {
			return Reply{Code: fault.NotFound}
		}
		return Reply{Value: object.value, Version: object.version}
	}
	met := !exists
	if action.Kind == ActionUpdate {
		met = exists && object.version == action.Version
	}
	if !met {
		return Reply{Code: fault.Conflict}
	}
	object = fakeObject{value: bytes.Clone(action.Value), version: object.version + 1}
	s.objects[action.Key] = object
	if action.Key == config.HeadKey {
		s.headMoves++
	}
	return Reply{Version: object.version}
}
