package retention

import (
	"slices"

	"acaciawinch/core/fault"
)

// startBatch starts the next batch, or ends the pass if there is none.
func (m *Machine) startBatch() {
	m.batchRemaining, m.cutoff = m.policy.nextBatch(m.head, m.copies, m.now)
	if m.batchRemaining == 0 {
		m.end(Done, "")
		return
	}
	m.headConflicts, m.unreadHashes, m.parts = 0, nil, nil
	for hash, last := range m.lastReference {
		if last < m.cutoff {
			m.unreadHashes = append(m.unreadHashes, hash)
		}
	}
	slices.Sort(m.unreadHashes)
	m.step = stepReadVersions
	m.proceedIfVersionsRead()
}

// proceedIfVersionsRead goes on to step 3 once all versions are read.
func (m *Machine) proceedIfVersionsRead() {
	if len(m.unreadHashes) == 0 {
		m.step = stepRereadHead
	}
}

// handleVersionRead handles the reply to the read of a part's version.
func (m *Machine) handleVersionRead(reply Reply) {
	switch reply.Code {
	case "":
		m.parts = append(m.parts, part{m.unreadHashes[0], reply.Version})
	case fault.NotFound:
		// Another remover, or an earlier pass, has deleted the part.
	default:
		m.interrupt(reply)
		return
	}
	m.unreadHashes = m.unreadHashes[1:]
	m.proceedIfVersionsRead()
}

// handleHeadUpdated handles the reply to the update of the head. Only success proves
// that the head read in step 3 was in force until the update, and that Oldest is raised.
// After an ambiguous update or a conflict the head and the new copies are read again.
func (m *Machine) handleHeadUpdated(reply Reply) {
	switch reply.Code {
	case "":
		m.head, m.headVersion = m.raisedHead(), reply.Version
		m.step = stepDeleteParts
		m.spareReferenced()
		m.proceedIfPartsDeleted()
		return
	case fault.Conflict, fault.Ambiguous, fault.DeadlineExceeded:
		m.headConflicts++
		m.step = stepRereadHead
	default:
		m.interrupt(reply)
		return
	}
	if m.headConflicts > maxHeadConflicts {
		m.end(Overtaken, "")
	}
}

// spareReferenced removes the parts from the batch that are referenced by the head or
// by copies that were listed since step 1.
func (m *Machine) spareReferenced() {
	unreferenced := m.parts[:0]
	for _, p := range m.parts {
		if m.lastReference[p.hash] < m.cutoff {
			unreferenced = append(unreferenced, p)
		}
	}
	m.result.Spared += len(m.parts) - len(unreferenced)
	m.parts = unreferenced
}

// proceedIfPartsDeleted goes on to step 6 once all parts are deleted.
func (m *Machine) proceedIfPartsDeleted() {
	if len(m.parts) == 0 {
		m.step = stepDeleteCopies
	}
}

// handlePartDeleted handles the reply to the deletion of a part. Conflict means that a
// change touched the part; the copy of that change references it.
func (m *Machine) handlePartDeleted(reply Reply) {
	switch reply.Code {
	case "":
		m.result.Parts++
	case fault.Conflict:
		m.result.Spared++
	case fault.NotFound:
	default:
		m.interrupt(reply)
		return
	}
	m.parts = m.parts[1:]
	m.proceedIfPartsDeleted()
}

// handleCopyDeleted handles the reply to the deletion of a copy. After the last one of the
// batch it starts the next batch.
func (m *Machine) handleCopyDeleted(reply Reply) {
	switch reply.Code {
	case "":
		m.result.Copies++
	case fault.Conflict, fault.NotFound:
	default:
		m.interrupt(reply)
		return
	}
	delete(m.listedKeys, m.copies[0].key)
	m.copies = m.copies[1:]
	m.batchRemaining--
	if m.batchRemaining > 0 {
		return
	}
	for hash, last := range m.lastReference {
		if last < m.cutoff {
			delete(m.lastReference, hash)
		}
	}
	m.startBatch()
}
