package accept

import (
	"fmt"
	"slices"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// handleHeadRead handles the reply to the read of the head in force, and starts to load
// the parts that the merge needs.
func (m *Machine) handleHeadRead(reply Reply) {
	head, version, ok := m.parseHead(reply)
	if !ok {
		return
	}
	if head.Revision < m.currentHead.Revision {
		m.failProtocol("the head went back from revision %d to %d", m.currentHead.Revision, head.Revision)
		return
	}
	m.currentHead, m.headVersion = head, version
	m.setBase(head)
	m.current = config.NewUnloaded(head, m.reusable())
	m.fire(eventHeadRead, "")
	m.mergeIfLoaded()
}

// setBase sets the snapshot that the change is based on. Later calls have no effect.
func (m *Machine) setBase(head config.Head) {
	if m.base != nil {
		return
	}
	if m.request.Base != nil {
		head = *m.request.Base
	}
	m.base = config.NewUnloaded(head, config.Empty())
	m.result.Base = head.Revision
}

// reusable returns the snapshot whose loaded parts a new snapshot can share.
func (m *Machine) reusable() *config.Snapshot {
	if m.current != nil {
		return m.current
	}
	return m.base
}

// mergeIfLoaded merges the change once no part is missing.
func (m *Machine) mergeIfLoaded() {
	if len(m.missingParts()) == 0 {
		m.merge()
	}
}

// missingParts returns the hashes of the parts that the merge needs and that are not
// loaded. The merge needs the templates and the touched shards of base and head. If
// templates or models change, it also needs every workspace of the head, to validate
// them against the change.
func (m *Machine) missingParts() []string {
	var hashes []string
	need := func(hash string) {
		if hash != "" && !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	for _, snapshot := range []*config.Snapshot{m.base, m.current} {
		need(snapshot.MissingTemplates())
		for _, shard := range m.request.Change.Shards() {
			need(snapshot.MissingShard(shard))
		}
	}
	if m.request.Change.TouchesTemplates() {
		for _, hash := range m.current.Missing() {
			need(hash)
		}
	}
	return hashes
}

// handlePartRead handles the reply to the read of a part that the merge needs.
func (m *Machine) handlePartRead(reply Reply) {
	hash := m.missingParts()[0]
	if reply.Code == fault.NotFound {
		m.failProtocol("part %s does not exist: the revision that the change is based on is no longer kept; redo the change on a later revision", hash)
		return
	}
	if reply.Code != "" {
		m.failProtocol("part %s can't be read: %s", hash, reply.Detail)
		return
	}
	m.loadPart(&m.base, hash, reply.Value)
	m.loadPart(&m.current, hash, reply.Value)
	if m.result.Outcome == "" {
		m.mergeIfLoaded()
	}
}

// loadPart loads a part into the snapshot if the snapshot references it.
func (m *Machine) loadPart(snapshot **config.Snapshot, hash string, data []byte) {
	loaded, err := (*snapshot).WithPart(hash, data)
	if fault.Is(err, fault.NotFound) {
		return
	}
	if err != nil {
		m.failProtocol("%v", err)
		return
	}
	*snapshot = loaded
}

// merge applies the change to the head in force by a three-way merge: of the base, this
// operator's change, and the changes that others made since the base. An item that only
// one side touched is taken from that side.
func (m *Machine) merge() {
	if problems := m.request.Change.ValidateUnique(); len(problems) > 0 {
		m.result.Problems = problems
		m.fire(eventInvalid, "the change puts an item more than once")
		return
	}
	m.ownChange = config.Compare(m.base, m.base.Change(m.request.Change, m.base.Revision(), m.request.ChangeID))
	otherChanges := config.Compare(m.base, m.current)
	if overlap := config.Overlap(m.ownChange, otherChanges); len(overlap) > 0 {
		m.result.Items = overlap
		m.endInConflict("these items were changed differently since revision %d", m.base.Revision())
		return
	}
	next := m.current.Change(m.ownChange, m.current.Revision()+1, m.request.ChangeID)
	if next.Digest() == m.current.Digest() {
		m.result.Revision = m.current.Revision()
		m.fire(eventNothingNew, "")
		return
	}
	if problems := next.Validate(); len(problems) > 0 {
		m.endInvalid(problems, otherChanges)
		return
	}
	m.startWriting(next)
}

// endInConflict ends the run with a conflict with the head in force.
func (m *Machine) endInConflict(format string, args ...any) {
	other := m.currentHead
	m.result.Other = &other
	m.fire(eventOverlap, fmt.Sprintf(format, args...))
}

// endInvalid ends the run because the merged configuration violates rules. It is a
// conflict if the change is valid on its base and others changed something since.
func (m *Machine) endInvalid(problems []config.Problem, otherChanges config.Change) {
	m.result.Problems = problems
	alone := m.base.Change(m.ownChange, m.base.Revision(), m.request.ChangeID)
	if m.current.Revision() == m.base.Revision() || len(alone.Validate()) > 0 {
		m.fire(eventInvalid, "the configuration would violate rules")
		return
	}
	m.result.Items = otherChanges.Items()
	m.endInConflict("together with the changes since revision %d the configuration would violate rules", m.base.Revision())
}

// startWriting prepares the head and the parts of the next snapshot to be written.
func (m *Machine) startWriting(next *config.Snapshot) {
	parent := ""
	if m.headVersion != 0 {
		parent = m.currentHead.Key()
	}
	m.nextHead = next.Head(parent, m.request.Author, m.request.Note)
	m.nextHead.Oldest = m.currentHead.Oldest
	if !m.request.Time.IsZero() {
		m.nextHead.AcceptedUnix = m.request.Time.Unix()
	}
	m.copyWritten, m.touching, m.foundVersion = false, false, 0
	m.pendingParts = next.PartsSince(m.current)
	m.fire(eventValid, "")
}
