package accept

import (
	"fmt"
	"slices"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// headRead takes the head that is in force and begins to load its parts.
func (m *Machine) headRead(reply Reply) {
	head, version, ok := m.parseHead(reply)
	if !ok {
		return
	}
	if head.Revision < m.headRaw.Revision {
		m.broken("the head went back from revision %d to %d", m.headRaw.Revision, head.Revision)
		return
	}
	m.headRaw, m.version = head, version
	m.setBase(head)
	m.head = config.Outline(head, m.known())
	m.fire(eventHeadRead, "")
	m.load()
}

// setBase settles once what the operator worked from.
func (m *Machine) setBase(head config.Head) {
	if m.base != nil {
		return
	}
	if m.request.Base != nil {
		head = *m.request.Base
	}
	m.base = config.Outline(head, config.Empty())
	m.result.Base = head.Revision
}

// known returns the snapshot whose parts can be used again.
func (m *Machine) known() *config.Snapshot {
	if m.head != nil {
		return m.head
	}
	return m.base
}

// load goes on to the merge if nothing is missing.
func (m *Machine) load() {
	if len(m.missing()) == 0 {
		m.merge()
	}
}

// missing returns the hashes of the parts that the merge needs: the templates and
// the touched shards of base and head, and if templates or models change every
// workspace of the head, to validate it against them.
func (m *Machine) missing() []string {
	var hashes []string
	need := func(hash string) {
		if hash != "" && !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	for _, snapshot := range []*config.Snapshot{m.base, m.head} {
		need(snapshot.MissingTemplates())
		for _, shard := range m.request.Change.Shards() {
			need(snapshot.MissingShard(shard))
		}
	}
	if m.request.Change.TouchesTemplates() {
		for _, hash := range m.head.Missing() {
			need(hash)
		}
	}
	return hashes
}

// partRead takes a part that the merge needs.
func (m *Machine) partRead(reply Reply) {
	hash := m.missing()[0]
	if reply.Code == fault.NotFound {
		m.broken("part %s is gone: the revision that the change was made from is no longer kept; make it again from a later one", hash)
		return
	}
	if reply.Code != "" {
		m.broken("part %s can't be read: %s", hash, reply.Detail)
		return
	}
	m.use(&m.base, hash, reply.Value)
	m.use(&m.head, hash, reply.Value)
	if m.result.Outcome == "" {
		m.load()
	}
}

// use loads a part into a snapshot that may need it.
func (m *Machine) use(snapshot **config.Snapshot, hash string, data []byte) {
	loaded, err := (*snapshot).WithPart(hash, data)
	if fault.Is(err, fault.NotFound) {
		return
	}
	if err != nil {
		m.broken("%v", err)
		return
	}
	*snapshot = loaded
}

// merge makes the change on the head. Base, mine and theirs are compared item by
// item: what only one side touched is taken from it.
func (m *Machine) merge() {
	if problems := m.request.Change.Repeated(); len(problems) > 0 {
		m.result.Problems = problems
		m.fire(eventInvalid, "the change names something twice")
		return
	}
	m.mine = config.Compare(m.base, m.base.Change(m.request.Change, m.base.Revision(), m.request.ChangeID))
	theirs := config.Compare(m.base, m.head)
	if overlap := config.Overlap(m.mine, theirs); len(overlap) > 0 {
		m.result.Items = overlap
		m.clash("they were changed otherwise since revision %d", m.base.Revision())
		return
	}
	next := m.head.Change(m.mine, m.head.Revision()+1, m.request.ChangeID)
	if next.Digest() == m.head.Digest() {
		m.result.Revision = m.head.Revision()
		m.fire(eventNothingNew, "")
		return
	}
	if problems := next.Validate(); len(problems) > 0 {
		m.rejected(problems, theirs)
		return
	}
	m.write(next)
}

// clash ends the run with a conflict with the head in force.
func (m *Machine) clash(format string, args ...any) {
	other := m.headRaw
	m.result.Other = &other
	m.fire(eventOverlap, fmt.Sprintf(format, args...))
}

// rejected ends the run because the merged configuration breaks rules. If the
// change alone was sound and others changed something since, it is a conflict.
func (m *Machine) rejected(problems []config.Problem, theirs config.Change) {
	m.result.Problems = problems
	alone := m.base.Change(m.mine, m.base.Revision(), m.request.ChangeID)
	if m.head.Revision() == m.base.Revision() || len(alone.Validate()) > 0 {
		m.fire(eventInvalid, "the configuration would break rules")
		return
	}
	m.result.Items = theirs.Items()
	m.clash("with what was changed since revision %d the configuration would break rules", m.base.Revision())
}

// write begins to write the parts of the next snapshot.
func (m *Machine) write(next *config.Snapshot) {
	parent := ""
	if m.version != 0 {
		parent = m.headRaw.Key()
	}
	m.next = next.Head(parent, m.request.Author, m.request.Note)
	m.next.Oldest = m.headRaw.Oldest
	if !m.request.Time.IsZero() {
		m.next.AcceptedUnix = m.request.Time.Unix()
	}
	m.copied, m.touching, m.found = false, false, 0
	m.parts = next.PartsSince(m.head)
	m.fire(eventValid, "")
}
