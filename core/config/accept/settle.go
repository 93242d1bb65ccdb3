package accept

import (
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// moveFailed handles an update of the head that didn't plainly succeed. Whatever
// the reason, the head itself tells how it stands: it is read next.
func (m *Machine) moveFailed(reply Reply) {
	m.moves++
	m.failures = 0
	switch reply.Code {
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
	m.step = stepSettle
}

// settle compares the head with what this run tried to replace.
func (m *Machine) settle(reply Reply) {
	head, version, ok := m.parseHead(reply)
	if !ok {
		return
	}
	if version == m.version {
		m.sendAgain()
		return
	}
	m.walked = 0
	m.compare(head)
}

// sendAgain repeats the update after the head was found unmoved.
func (m *Machine) sendAgain() {
	if m.moves >= MaxFailures {
		m.giveUp("the head could not be moved")
		return
	}
	m.step = stepMoveHead
}

// compare looks for this run's change at its revision in the chain of heads.
func (m *Machine) compare(head config.Head) {
	switch {
	case head.Revision > m.next.Revision && head.Parent != "":
		m.cursor = head.Parent
		m.step = stepWalk
	case head.Revision == m.next.Revision && head.ChangeID == m.request.ChangeID:
		m.accepted()
	case head.Revision == m.next.Revision:
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

// lost is reached when another change has the revision: the update on the old
// version can't take effect any more. The change is made anew on the new head.
func (m *Machine) lost() {
	m.unsettled = false
	m.moves = 0
	m.rebases++
	if m.rebases > MaxRebases {
		m.end(Conflict, "other operators were first too often")
		return
	}
	m.step = stepReadHead
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
