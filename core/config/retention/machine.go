package retention

import (
	"cmp"
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// Limits of one pass.
const (
	// listPage is the number of copies per listing call; each has some 6 kB in base64.
	listPage = 20
	// maxHeadConflicts is how many updates of the head may fail in one batch, because
	// changes were accepted between steps 3 and 4, before the pass ends.
	maxHeadConflicts = 32
)

// step is a step of the protocol. The package comment numbers the steps of a batch.
type step int

// The steps of a pass. Those before stepReadVersions are made once, the others in each
// batch.
const (
	stepReadHead step = iota
	stepListCopies
	stepReadVersions
	stepRereadHead
	stepListNewCopies
	stepUpdateHead
	stepDeleteParts
	stepDeleteCopies
)

// part is a part of the batch, and the version on which its deletion is conditional.
type part struct {
	hash    string
	version uint64
}

// Machine runs one pass. It is not safe for concurrent use.
type Machine struct {
	policy Policy
	now    time.Time
	step   step

	// head is the last head read, and headVersion the version of its object.
	head        config.Head
	headVersion uint64
	// copies are the listed copies that are not removed yet. Once a listing has ended
	// they are sorted by key, which is also the order of revisions. listedKeys holds
	// their keys.
	copies     []headCopy
	listedKeys map[string]bool
	// lastReference maps each part that a listed copy or the head references to the
	// highest revision that references it.
	lastReference map[string]core.Revision
	// listAfter is the key after which the listing continues.
	listAfter string

	// batchRemaining is how many copies of the batch are still to be removed, from the
	// beginning of copies. cutoff is the first revision that the batch doesn't remove.
	// unreadHashes are the parts whose versions are still to be read, parts those that
	// are still to be deleted. headConflicts counts the failed updates of the head.
	batchRemaining int
	cutoff         core.Revision
	unreadHashes   []string
	parts          []part
	headConflicts  int

	result Result
}

// New returns a pass. It compares now with the times of the copies.
func New(policy Policy, now time.Time) *Machine {
	return &Machine{policy: policy, now: now, listedKeys: map[string]bool{}, lastReference: map[string]core.Revision{}}
}

// Result returns the result of the pass, and whether the pass has ended.
func (m *Machine) Result() (Result, bool) { return m.result, m.result.Outcome != "" }

// Next returns the call to carry out. It must not be called after the pass has ended.
func (m *Machine) Next() Action {
	switch m.step {
	case stepReadHead, stepRereadHead:
		return Action{Kind: ActionGet, Key: config.HeadKey}
	case stepListCopies, stepListNewCopies:
		return Action{Kind: ActionList, Key: config.ChangePrefix, After: m.listAfter, Limit: listPage}
	case stepReadVersions:
		return Action{Kind: ActionGet, Key: config.PartKey(m.unreadHashes[0])}
	case stepUpdateHead:
		return Action{Kind: ActionUpdate, Key: config.HeadKey, Value: m.raisedHead().Encode(), Version: m.headVersion}
	case stepDeleteParts:
		return Action{Kind: ActionDelete, Key: config.PartKey(m.parts[0].hash), Version: m.parts[0].version}
	default:
		return Action{Kind: ActionDelete, Key: m.copies[0].key, Version: m.copies[0].version}
	}
}

// raisedHead returns the head with Oldest raised to the end of the batch.
func (m *Machine) raisedHead() config.Head {
	raised := m.head
	raised.Oldest = max(raised.Oldest, m.cutoff)
	return raised
}

// Handle processes the reply to the call that Next returned.
func (m *Machine) Handle(reply Reply) {
	switch m.step {
	case stepReadHead, stepRereadHead:
		m.handleHeadRead(reply)
	case stepListCopies, stepListNewCopies:
		m.handleCopiesListed(reply)
	case stepReadVersions:
		m.handleVersionRead(reply)
	case stepUpdateHead:
		m.handleHeadUpdated(reply)
	case stepDeleteParts:
		m.handlePartDeleted(reply)
	case stepDeleteCopies:
		m.handleCopyDeleted(reply)
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

// handleHeadRead handles the reply to a read of the head, whose parts must be kept.
func (m *Machine) handleHeadRead(reply Reply) {
	if m.step == stepReadHead && reply.Code == fault.NotFound {
		m.end(Done, "there is no configuration")
		return
	}
	head, err := config.DecodeHead(reply.Value)
	if reply.Code != "" || err != nil || head.Revision < m.head.Revision {
		m.interrupt(reply)
		return
	}
	previous := m.head.Revision
	m.head, m.headVersion = head, reply.Version
	m.recordReferences(head)
	if m.step == stepReadHead {
		m.step = stepListCopies
		return
	}
	m.step, m.listAfter = stepListNewCopies, afterRevision(previous)
}

// afterRevision returns a key that sorts after the copies of a revision and before
// those of the next.
func afterRevision(revision core.Revision) string {
	// A full stop comes right after the hyphen that follows the revision.
	key := config.ChangeKey(revision, "")
	return key[:len(key)-1] + "."
}

// recordReferences records the parts that a head references.
func (m *Machine) recordReferences(head config.Head) {
	for _, hash := range head.Parts() {
		m.lastReference[hash] = max(m.lastReference[hash], head.Revision)
	}
}

// handleCopiesListed handles a page of listed copies. A copy that can't be decoded is
// kept and ends the pass, because the parts that it references are unknown.
func (m *Machine) handleCopiesListed(reply Reply) {
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
		m.addCopy(object, head)
	}
	if len(reply.Objects) == listPage {
		m.listAfter = reply.Objects[listPage-1].Key
		return
	}
	slices.SortFunc(m.copies, func(a, b headCopy) int { return cmp.Compare(a.key, b.key) })
	if m.step == stepListNewCopies {
		m.step = stepUpdateHead
		return
	}
	m.startBatch()
}

// addCopy records a listed copy and its references.
func (m *Machine) addCopy(object Object, head config.Head) {
	if m.listedKeys[object.Key] {
		return
	}
	m.listedKeys[object.Key] = true
	m.result.Listed++
	m.copies = append(m.copies, headCopy{object.Key, object.Version, head.Revision, head.AcceptedUnix})
	m.recordReferences(head)
}
