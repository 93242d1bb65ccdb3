package retention

import (
	"slices"

	"acaciawinch/core/fault"
)

// choose begins the next batch, or ends the pass.
func (m *Machine) choose() {
	m.batch, m.behind = m.policy.cut(m.head, m.copies, m.now)
	if m.batch == 0 {
		m.end(Done, "")
		return
	}
	m.overtaken, m.hashes, m.parts = 0, nil, nil
	for hash, last := range m.last {
		if last < m.behind {
			m.hashes = append(m.hashes, hash)
		}
	}
	slices.Sort(m.hashes)
	m.step = stepVersions
	m.skipVersions()
}

// skipVersions goes on if no version is left to be read.
func (m *Machine) skipVersions() {
	if len(m.hashes) == 0 {
		m.step = stepHead
	}
}

// versionRead takes the version of a part of the batch.
func (m *Machine) versionRead(reply Reply) {
	switch reply.Code {
	case "":
		m.parts = append(m.parts, part{m.hashes[0], reply.Version})
	case fault.NotFound:
		// Another remover, or an earlier pass, was here.
	default:
		m.interrupt(reply)
		return
	}
	m.hashes = m.hashes[1:]
	m.skipVersions()
}

// fenced goes on behind the update of the head. Only a plain success proves that
// the head read in step 3 was in force until then, and Oldest is raised; in all
// other cases head and copies are read again.
func (m *Machine) fenced(reply Reply) {
	switch reply.Code {
	case "":
		m.head, m.version = m.raised(), reply.Version
		m.step = stepParts
		m.spareNamed()
		m.skipParts()
		return
	case fault.Conflict, fault.Ambiguous, fault.DeadlineExceeded:
		m.overtaken++
		m.step = stepHead
	default:
		m.interrupt(reply)
		return
	}
	if m.overtaken > maxOvertaken {
		m.end(Overtaken, "")
	}
}

// spareNamed takes off the batch what the head and the copies name by now.
func (m *Machine) spareNamed() {
	kept := m.parts[:0]
	for _, p := range m.parts {
		if m.last[p.hash] < m.behind {
			kept = append(kept, p)
		}
	}
	m.result.Spared += len(m.parts) - len(kept)
	m.parts = kept
}

// skipParts goes on if no part is left to be deleted.
func (m *Machine) skipParts() {
	if len(m.parts) == 0 {
		m.step = stepCopies
	}
}

// partDeleted goes on behind the deletion of a part. Conflict means that it was
// touched: the copy of the change that did so names it.
func (m *Machine) partDeleted(reply Reply) {
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
	m.skipParts()
}

// copyDeleted goes on behind the deletion of a copy, and to the next batch behind
// the last one.
func (m *Machine) copyDeleted(reply Reply) {
	switch reply.Code {
	case "":
		m.result.Copies++
	case fault.Conflict, fault.NotFound:
	default:
		m.interrupt(reply)
		return
	}
	delete(m.known, m.copies[0].key)
	m.copies = m.copies[1:]
	m.batch--
	if m.batch > 0 {
		return
	}
	for hash, last := range m.last {
		if last < m.behind {
			delete(m.last, hash)
		}
	}
	m.choose()
}
