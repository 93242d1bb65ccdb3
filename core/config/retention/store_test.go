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

// mutation disables one safeguard of the protocol.
type mutation int

const (
	mutationNone mutation = iota
	// mutationTouch: a change's touch of an existing part keeps its version.
	mutationTouch
	// mutationNewer: a remover is not shown the copies written since its first listing.
	mutationNewer
	// mutationFence: a remover's update of the head keeps its version.
	mutationFence
	// mutationCondition: a deletion ignores the version that it is conditional on.
	mutationCondition
)

// call is a call of the object API by an operator or a remover.
type call struct {
	kind    string
	key     string
	after   string
	limit   int
	value   []byte
	version uint64
	// remover is set for the calls of a remover.
	remover bool
}

// response is the result of a call.
type response struct {
	code    fault.Code
	objects []retention.Object
}

// object returns the only object of a response, or an empty one if there is none.
func (a response) object() retention.Object {
	if len(a.objects) == 0 {
		return retention.Object{}
	}
	return a.objects[0]
}

// store is a deterministic object API that loses calls and responses, and applies
// writes long after their callers were told that the result is ambiguous.
type store struct {
	random   *rand.Rand
	objects  map[string]retention.Object
	sequence uint64
	// faultPercent is the percentage of calls that fail.
	faultPercent int
	mutation     mutation
	delayed      []call
	// afterWrite is called after each write that took effect.
	afterWrite func(call)
}

// newStore returns an empty store.
func newStore(random *rand.Rand) *store {
	return &store{random: random, objects: map[string]retention.Object{}, afterWrite: func(call) {}}
}

// do carries out a call, unless a fault prevents it, and returns what its caller learns.
func (s *store) do(c call) response {
	if s.faultPercent == 0 || s.random.IntN(100) >= s.faultPercent {
		return s.apply(c)
	}
	if c.kind == "get" || c.kind == "list" {
		return response{code: fault.DeadlineExceeded}
	}
	switch s.random.IntN(4) {
	case 0:
		return response{code: fault.Unavailable}
	case 1:
		return response{code: fault.Ambiguous}
	case 2:
		s.apply(c)
		return response{code: fault.Ambiguous}
	default:
		s.delayed = append(s.delayed, c)
		return response{code: fault.Ambiguous}
	}
}

// applyDelayed applies one random delayed write, if there is any.
func (s *store) applyDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.random.IntN(len(s.delayed))
	write := s.delayed[i]
	s.delayed = slices.Delete(s.delayed, i, i+1)
	s.apply(write)
}

// apply carries out a call without faults.
func (s *store) apply(c call) response {
	current, exists := s.objects[c.key]
	switch c.kind {
	case "list":
		if s.mutation == mutationNewer && c.after != "" {
			return response{}
		}
		return response{objects: s.list(c)}
	case "get":
		if !exists {
			return response{code: fault.NotFound}
		}
		return response{objects: []retention.Object{current}}
	case "create":
		if exists {
			return response{code: fault.Conflict}
		}
		return s.write(c, s.nextVersion())
	}
	unconditional := c.kind == "delete" && s.mutation == mutationCondition
	if !exists {
		return response{code: fault.NotFound}
	}
	if current.Version != c.version && !unconditional {
		return response{code: fault.Conflict}
	}
	if c.kind == "delete" {
		delete(s.objects, c.key)
		s.afterWrite(c)
		return response{}
	}
	if s.keepsVersion(c) {
		return s.write(c, current.Version)
	}
	return s.write(c, s.nextVersion())
}

// keepsVersion reports whether the mutation makes an update keep the object's version.
func (s *store) keepsVersion(c call) bool {
	switch s.mutation {
	case mutationTouch:
		return strings.HasPrefix(c.key, config.PartPrefix)
	case mutationFence:
		return c.remover && c.key == config.HeadKey
	}
	return false
}

// nextVersion returns a version above all earlier ones.
func (s *store) nextVersion() uint64 {
	s.sequence++
	return s.sequence
}

func (s *store) write(c call, version uint64) response {
	object := retention.Object{Key: c.key, Value: c.value, Version: version}
	s.objects[c.key] = object
	s.afterWrite(c)
	return response{objects: []retention.Object{object}}
}

// list returns a page of objects, sorted by key.
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

// acceptCall converts an operator's action into a call.
func acceptCall(a accept.Action) call {
	return call{kind: string(a.Kind), key: a.Key, value: a.Value, version: a.Version}
}

// acceptReply converts a response into the reply to an operator.
func acceptReply(a response) accept.Reply {
	return accept.Reply{Code: a.code, Value: a.object().Value, Version: a.object().Version}
}

// removalCall converts a remover's action into a call.
func removalCall(a retention.Action) call {
	return call{kind: string(a.Kind), key: a.Key, after: a.After, limit: a.Limit, value: a.Value, version: a.Version, remover: true}
}

// removalReply converts a response into the reply to a remover.
func removalReply(a response) retention.Reply {
	return retention.Reply{Code: a.code, Value: a.object().Value, Version: a.object().Version, Objects: a.objects}
}
