package retention_test

import (
	"math/rand/v2"
	"slices"
	"strings"

	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/config/retention"
	"acaciawinch/core/fault"
)

// sabotage switches one safeguard of the protocol off.
type sabotage int

const (
	sabotageNone sabotage = iota
	// sabotageTouch: a change's touch of a part that exists leaves its version.
	sabotageTouch
	// sabotageNewer: a removal is not shown the copies written since its first
	// listing.
	sabotageNewer
	// sabotageFence: a removal's update of the head leaves its version.
	sabotageFence
	// sabotageCondition: a deletion ignores the version that it is conditional on.
	sabotageCondition
)

// call is a call of the object API by an operator or a remover.
type call struct {
	kind    string
	key     string
	after   string
	limit   int
	value   []byte
	version uint64
	// remover is set for the calls of a removal.
	remover bool
}

// answer is what a call returns.
type answer struct {
	code    fault.Code
	objects []retention.Object
}

// object returns the only object of an answer.
func (a answer) object() retention.Object {
	if len(a.objects) == 0 {
		return retention.Object{}
	}
	return a.objects[0]
}

// store is a deterministic object API that loses calls and answers, and lets
// writes take effect long after their caller was told that nobody knows.
type store struct {
	random   *rand.Rand
	objects  map[string]retention.Object
	sequence uint64
	// trouble is how many calls of a hundred go wrong.
	trouble  int
	sabotage sabotage
	late     []call
	// written is called behind each write that took effect.
	written func(call)
}

// newStore returns an empty store.
func newStore(random *rand.Rand) *store {
	return &store{random: random, objects: map[string]retention.Object{}, written: func(call) {}}
}

// do carries out a call, or not, and returns what its caller learns.
func (s *store) do(c call) answer {
	if s.trouble == 0 || s.random.IntN(100) >= s.trouble {
		return s.apply(c)
	}
	if c.kind == "get" || c.kind == "list" {
		return answer{code: fault.DeadlineExceeded}
	}
	switch s.random.IntN(4) {
	case 0:
		return answer{code: fault.Unavailable}
	case 1:
		return answer{code: fault.Ambiguous}
	case 2:
		s.apply(c)
		return answer{code: fault.Ambiguous}
	default:
		s.late = append(s.late, c)
		return answer{code: fault.Ambiguous}
	}
}

// land carries out one late write, if there is any.
func (s *store) land() {
	if len(s.late) == 0 {
		return
	}
	i := s.random.IntN(len(s.late))
	late := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	s.apply(late)
}

// apply carries out a call.
func (s *store) apply(c call) answer {
	present, exists := s.objects[c.key]
	switch c.kind {
	case "list":
		if s.sabotage == sabotageNewer && c.after != "" {
			return answer{}
		}
		return answer{objects: s.list(c)}
	case "get":
		if !exists {
			return answer{code: fault.NotFound}
		}
		return answer{objects: []retention.Object{present}}
	case "create":
		if exists {
			return answer{code: fault.Conflict}
		}
		return s.write(c, s.next())
	}
	blind := c.kind == "delete" && s.sabotage == sabotageCondition
	if !exists {
		return answer{code: fault.NotFound}
	}
	if present.Version != c.version && !blind {
		return answer{code: fault.Conflict}
	}
	if c.kind == "delete" {
		delete(s.objects, c.key)
		s.written(c)
		return answer{}
	}
	if s.keepsVersion(c) {
		return s.write(c, present.Version)
	}
	return s.write(c, s.next())
}

// keepsVersion tells whether an update is sabotaged.
func (s *store) keepsVersion(c call) bool {
	switch s.sabotage {
	case sabotageTouch:
		return strings.HasPrefix(c.key, config.PartPrefix)
	case sabotageFence:
		return c.remover && c.key == config.HeadKey
	}
	return false
}

// next returns a version above all earlier ones.
func (s *store) next() uint64 {
	s.sequence++
	return s.sequence
}

// write stores a value.
func (s *store) write(c call, version uint64) answer {
	object := retention.Object{Key: c.key, Value: c.value, Version: version}
	s.objects[c.key] = object
	s.written(c)
	return answer{objects: []retention.Object{object}}
}

// list returns a page of objects in order of key.
func (s *store) list(c call) []retention.Object {
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, c.key) && key > c.after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var page []retention.Object
	for _, key := range keys[:min(len(keys), c.limit)] {
		page = append(page, s.objects[key])
	}
	return page
}

// acceptCall returns an operator's call.
func acceptCall(a accept.Action) call {
	return call{kind: string(a.Kind), key: a.Key, value: a.Value, version: a.Version}
}

// acceptReply returns the answer to an operator.
func acceptReply(a answer) accept.Reply {
	return accept.Reply{Code: a.code, Value: a.object().Value, Version: a.object().Version}
}

// removalCall returns a remover's call.
func removalCall(a retention.Action) call {
	return call{kind: string(a.Kind), key: a.Key, after: a.After, limit: a.Limit, value: a.Value, version: a.Version, remover: true}
}

// removalReply returns the answer to a remover.
func removalReply(a answer) retention.Reply {
	return retention.Reply{Code: a.code, Value: a.object().Value, Version: a.object().Version, Objects: a.objects}
}
