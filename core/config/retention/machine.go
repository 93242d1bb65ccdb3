package retention

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

const (
	// listPage is how many copies one call lists; each has some 6 kB in base64.
	listPage = 20
	// maxOvertaken is how often changes may be accepted between steps 3 and 4 of
	// one batch before the pass ends.
	maxOvertaken = 32
)

// step is a step of the protocol, as numbered in the package's comment.
type step int

const (
	stepFirstHead step = iota
	stepList
	stepVersions
	stepHead
	stepNewer
	stepFence
	stepParts
	stepCopies
)

// part is a part of the batch with the version that may be deleted.
type part struct {
	hash    string
	version uint64
}

// Machine is one pass. It is not safe for concurrent use.
type Machine struct {
	policy Policy
	now    time.Time
	step   step

	// head is the last one read, with its object's version.
	head    config.Head
	version uint64
	// copies are those listed and not removed; in order of key, which is that of
	// revision, once a listing has ended. known holds their keys.
	copies []copyOf
	known  map[string]bool
	// last is, for each part that a listed copy or the head names, the highest
	// revision that names it.
	last map[string]core.Revision
	// after is where the listing goes on.
	after string

	// batch is how many of copies are being removed, and behind the first revision
	// that is kept of it. hashes are parts whose versions are still to be read,
	// parts those to be deleted.
	batch     int
	behind    core.Revision
	hashes    []string
	parts     []part
	overtaken int

	result Result
}

// New returns a pass. Now is compared with the times of the copies.
func New(policy Policy, now time.Time) *Machine {
	return &Machine{policy: policy, now: now, known: map[string]bool{}, last: map[string]core.Revision{}}
}

// Result returns the end of the pass, and whether it has ended.
func (m *Machine) Result() (Result, bool) { return m.result, m.result.Outcome != "" }

// Next returns the call to carry out. It must not be called after the end.
func (m *Machine) Next() Action {
	switch m.step {
	case stepFirstHead, stepHead:
		return Action{Kind: ActionGet, Key: config.HeadKey}
	case stepList, stepNewer:
		return Action{Kind: ActionList, Key: config.ChangePrefix, After: m.after, Limit: listPage}
	case stepVersions:
		return Action{Kind: ActionGet, Key: config.PartKey(m.hashes[0])}
	case stepFence:
		return Action{Kind: ActionUpdate, Key: config.HeadKey, Value: m.raised().Encode(), Version: m.version}
	case stepParts:
		return Action{Kind: ActionDelete, Key: config.PartKey(m.parts[0].hash), Version: m.parts[0].version}
	default:
		return Action{Kind: ActionDelete, Key: m.copies[0].key, Version: m.copies[0].version}
	}
}

// raised returns the head with the batch given up.
func (m *Machine) raised() config.Head {
	raised := m.head
	raised.Oldest = max(raised.Oldest, m.behind)
	return raised
}

// Handle takes the reply to the call that Next returned.
func (m *Machine) Handle(reply Reply) {
	switch m.step {
	case stepFirstHead, stepHead:
		m.headRead(reply)
	case stepList, stepNewer:
		m.listed(reply)
	case stepVersions:
		m.versionRead(reply)
	case stepFence:
		m.fenced(reply)
	case stepParts:
		m.partDeleted(reply)
	case stepCopies:
		m.copyDeleted(reply)
	}
}

// interrupt ends the pass because a call failed.
func (m *Machine) interrupt(reply Reply) {
	call := m.Next()
	m.end(Interrupted, string(call.Kind)+" "+call.Key+": "+string(reply.Code)+" "+reply.Detail)
}

// end ends the pass.
func (m *Machine) end(outcome Outcome, detail string) {
	m.result.Outcome, m.result.Detail, m.result.Oldest = outcome, detail, max(m.head.Oldest, 1)
}

// headRead takes the head. Its parts are not to be removed.
func (m *Machine) headRead(reply Reply) {
	if m.step == stepFirstHead && reply.Code == fault.NotFound {
		m.end(Done, "there is no configuration")
		return
	}
	head, err := config.DecodeHead(reply.Value)
	if reply.Code != "" || err != nil || head.Revision < m.head.Revision {
		m.interrupt(reply)
		return
	}
	seen := m.head.Revision
	m.head, m.version = head, reply.Version
	m.names(head)
	if m.step == stepFirstHead {
		m.step = stepList
		return
	}
	m.step, m.after = stepNewer, endOf(seen)
}

// endOf is behind the keys of the copies of a revision, before those of the next.
func endOf(revision core.Revision) string {
	// A full stop comes right after the hyphen that follows the revision.
	key := config.ChangeKey(revision, "")
	return key[:len(key)-1] + "."
}

// names notes what a head names.
func (m *Machine) names(head config.Head) {
	for _, hash := range head.Parts() {
		m.last[hash] = max(m.last[hash], head.Revision)
	}
}

// listed takes a page of copies. What can't be read stays and ends the pass: the
// parts that it names are not known.
func (m *Machine) listed(reply Reply) {
	if reply.Code != "" {
		m.interrupt(reply)
		return
	}
	for _, object := range reply.Objects {
		head, err := config.DecodeHead(object.Value)
		if err != nil {
			m.interrupt(Reply{Code: fault.Invalid, Detail: object.Key})
			return
		}
		m.remember(object, head)
	}
	if len(reply.Objects) == listPage {
		m.after = reply.Objects[listPage-1].Key
		return
	}
	slices.SortFunc(m.copies, func(a, b copyOf) int { return cmp.Compare(a.key, b.key) })
	if m.step == stepNewer {
		m.step = stepFence
		return
	}
	m.choose()
}

// remember notes a listed copy.
func (m *Machine) remember(object Object, head config.Head) {
	if m.known[object.Key] {
		return
	}
	m.known[object.Key] = true
	m.result.Listed++
	m.copies = append(m.copies, copyOf{object.Key, object.Version, head.Revision, head.AcceptedUnix})
	m.names(head)
}
