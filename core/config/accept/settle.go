package accept

import (
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// moved handles the answer to an update of the head. Unless it plainly succeeded,
// the head itself tells how it stands: it is read next.
func (m *Machine) moved(reply Reply) {
	m.moves++
	m.failures = 0
	switch reply.Code {
	case "":
		m.accepted(eventWritten)
		return
	case fault.Conflict:
		// The head moved, perhaps by an earlier copy of this very update.
	case fault.Unavailable:
		// Certainly not carried out. Earlier copies may have been.
	case fault.Invalid, fault.NotFound:
		m.broken("the store refuses the head: %s", reply.Detail)
		return
	default:
		m.unsettled = true
	}
	m.cursor, m.walked = config.HeadKey, 0
	m.fire(eventUnsettled, "")
}

// confirm takes the head, or one of the copies behind it.
func (m *Machine) confirm(reply Reply) {
	if m.cursor != config.HeadKey {
		m.walk(reply)
		return
	}
	head, version, ok := m.parseHead(reply)
	if !ok {
		return
	}
	if version == m.version {
		m.sendAgain()
		return
	}
	m.compare(head)
}

// sendAgain repeats the update after the head was found unmoved.
func (m *Machine) sendAgain() {
	if m.moves >= MaxFailures {
		m.giveUp("the head could not be moved")
		return
	}
	m.fire(eventUnmoved, "")
}

// compare looks for this run's change at its revision in the chain of heads.
func (m *Machine) compare(head config.Head) {
	switch {
	case head.Revision > m.next.Revision && head.Parent != "":
		m.cursor = head.Parent
	case head.Revision == m.next.Revision && head.ChangeID == m.request.ChangeID:
		m.accepted(eventOwnChange)
	case head.Revision == m.next.Revision:
		m.lost()
	case head.Revision == m.headRaw.Revision && m.cursor == config.HeadKey:
		// Only the removal of old objects updates a head without a new revision.
		// The update on the old version can't take effect any more.
		m.lost()
	default:
		m.broken("the chain of heads has no revision %d", m.next.Revision)
	}
}

// walk takes the next older copy of a head.
func (m *Machine) walk(reply Reply) {
	m.walked++
	head, err := config.DecodeHead(reply.Value)
	if reply.Code != "" || err != nil {
		m.broken("the chain of heads is broken at %s: %s", m.cursor, reply.Detail)
		return
	}
	if m.walked >= MaxWalk {
		m.broken("the chain of heads is longer than %d", MaxWalk)
		return
	}
	m.compare(head)
}

// lost is reached when another change has the revision, or the head was updated
// by a removal of old objects: the update on the old version can't take effect any more. The change is made anew on the new head.
func (m *Machine) lost() {
	m.unsettled = false
	m.moves = 0
	m.rebases++
	if m.rebases > MaxRebases {
		m.fire(eventOvertaken, "other operators were first too often")
		return
	}
	m.fire(eventOtherChange, "")
}

// parseHead reads a reply to a read of the head. Version is 0 if there is none.
func (m *Machine) parseHead(reply Reply) (config.Head, uint64, bool) {
	if reply.Code == fault.NotFound {
		return config.Empty().Head("", "", ""), 0, true
	}
	if reply.Code != "" {
		m.broken("the head can't be read: %s", reply.Detail)
		return config.Head{}, 0, false
	}
	head, err := config.DecodeHead(reply.Value)
	if err != nil {
		m.broken("the head can't be read: %v", err)
		return config.Head{}, 0, false
	}
	return head, reply.Version, true
}
