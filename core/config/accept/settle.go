package accept

import (
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// handleHeadUpdated handles the reply to an update of the head. Unless the update
// succeeded, the head is read next to find out whether the update took effect.
func (m *Machine) handleHeadUpdated(reply Reply) {
	m.headUpdates++
	m.failures = 0
	switch reply.Code {
	case "":
		m.endAccepted(eventWritten)
		return
	case fault.Conflict:
		// The head was updated, perhaps by an earlier request for this same update.
	case fault.Unavailable:
		// This request was certainly not carried out. Earlier ones may have been.
	case fault.Invalid, fault.NotFound:
		m.failProtocol("the store refused the head: %s", reply.Detail)
		return
	default:
		m.unsettled = true
	}
	m.cursor, m.copiesRead = config.HeadKey, 0
	m.fire(eventUnsettled, "")
}

// handleConfirmation handles the reply to a read by which the run finds out whether its
// update took effect: of the head, or of one of the older copies.
func (m *Machine) handleConfirmation(reply Reply) {
	if m.cursor != config.HeadKey {
		m.handleCopyRead(reply)
		return
	}
	head, version, ok := m.parseHead(reply)
	if !ok {
		return
	}
	if version == m.headVersion {
		m.resendUpdate()
		return
	}
	m.findOwnChange(head)
}

// resendUpdate repeats the update of a head that was found unchanged.
func (m *Machine) resendUpdate() {
	if m.headUpdates >= MaxFailures {
		m.giveUp("the head could not be updated")
		return
	}
	m.fire(eventHeadUnchanged, "")
}

// findOwnChange compares a head of the chain with this run's change, and goes on to
// the head's parent until it reaches the revision of the change.
func (m *Machine) findOwnChange(head config.Head) {
	switch {
	case head.Revision > m.nextHead.Revision && head.Parent != "":
		m.cursor = head.Parent
	case head.Revision == m.nextHead.Revision && head.ChangeID == m.request.ChangeID:
		m.endAccepted(eventOwnChange)
	case head.Revision == m.nextHead.Revision:
		m.rebase()
	case head.Revision == m.currentHead.Revision && m.cursor == config.HeadKey:
		// Only the removal of old objects updates a head without a new revision.
		// This run's update on the old version can't take effect any more.
		m.rebase()
	default:
		m.failProtocol("the chain of heads has no revision %d", m.nextHead.Revision)
	}
}

// handleCopyRead handles the reply to the read of an older copy of a head.
func (m *Machine) handleCopyRead(reply Reply) {
	m.copiesRead++
	head, err := config.DecodeHead(reply.Value)
	if reply.Code != "" || err != nil {
		m.failProtocol("the chain of heads is broken at %s: %s", m.cursor, reply.Detail)
		return
	}
	if m.copiesRead >= MaxWalk {
		m.failProtocol("the chain of heads since the change is longer than %d", MaxWalk)
		return
	}
	m.findOwnChange(head)
}

// rebase restarts the change on the new head. The update on the old version can't take
// effect any more: another change has this run's revision, or a removal of old objects
// updated the head.
func (m *Machine) rebase() {
	m.unsettled = false
	m.headUpdates = 0
	m.rebases++
	if m.rebases > MaxRebases {
		m.fire(eventOvertaken, "other operators' changes were accepted first too often")
		return
	}
	m.fire(eventOtherChange, "")
}

// parseHead decodes the reply to a read of the head. The version is 0 if there is no
// head yet. It returns false if it ended the run.
func (m *Machine) parseHead(reply Reply) (config.Head, uint64, bool) {
	if reply.Code == fault.NotFound {
		return config.Empty().Head("", "", ""), 0, true
	}
	if reply.Code != "" {
		m.failProtocol("the head can't be read: %s", reply.Detail)
		return config.Head{}, 0, false
	}
	head, err := config.DecodeHead(reply.Value)
	if err != nil {
		m.failProtocol("the head can't be read: %v", err)
		return config.Head{}, 0, false
	}
	return head, reply.Version, true
}
