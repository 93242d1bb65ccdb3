package era

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
)

// The model plays a store that returns from copies, and processes that read it or follow each other.
// Each version of the configuration takes a key away, so that a process with an older version must not
// run requests with keys for longer than revokeBound after the store has accepted the version.
const (
	step        = 50 * time.Millisecond
	trustTime   = 4500 * time.Millisecond
	revokeBound = 5 * time.Second
	// disturbed is how long the store returns and processes start again; calm is how long the model runs on.
	disturbed = 40 * time.Second
	calm      = 15 * time.Second
	// rewritten is the time within which the operator and the upstreams write again what was lost.
	rewritten = 2 * time.Second
)

// The kinds of objects.
const (
	configKind = iota
	otherKind
	kinds
)

// without names a part of the rules that a run leaves out.
type without int

// The parts.
const (
	nothing without = iota
	// eras: the era of the store's responses is not read.
	eras
	// lateResponses: a late response of an earlier era counts as one of the present era.
	lateResponses
	// hold: all proofs count at once.
	hold
	// reportedStanding: a follower does not regard that its source holds a proof off.
	reportedStanding
	// failedCalls: a process that starts does not regard that it could not reach the store.
	failedCalls
	// relayedEras: a source compares the positions of its followers by revision alone.
	relayedEras
	// proofEra: a proof counts for a configuration of another era.
	proofEra
	// endedEra: a proof of an era that has ended counts without having been found settled.
	endedEra
)

// model is one run.
type model struct {
	random *rand.Rand
	left   without
	now    time.Duration
	// calmFrom is when nothing is lost or late any more.
	calmFrom time.Duration
	store    *modelStore
	// processes: two readers, which follow each other too, and followers.
	processes []*process
	links     []*link
	version   int
	// accepted holds when the store accepted each version.
	accepted map[int]time.Duration
	// broken is the first broken rule.
	broken string
}

// breaks records a broken rule.
func (m *model) breaks(format string, args ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf("at %v: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// within returns a drawn duration below a limit.
func (m *model) within(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

// chance reports true once in a number of draws.
func (m *model) chance(in int) bool { return m.random.IntN(in) == 0 }

// disturbs reports true once in a number of draws, until the calm begins.
func (m *model) disturbs(in int) bool { return m.now < m.calmFrom && m.chance(in) }

// content is the state of one kind.
type content map[string]string

// modelStore is the store.
type modelStore struct {
	at      replica.Position
	content [kinds]content
	events  []storeEvent
	// states holds the state of each kind at each position.
	states map[replica.Position][kinds]content
	// reachable is set while processes get responses; the operator writes for a while longer.
	reachable, writable bool
	// stopsWriting and returns are the times at which an outage goes on; returned is the time of the
	// last return.
	stopsWriting, returns, returned time.Duration
	kept                            *modelStore
	rewrites                        time.Duration
}

// storeEvent is a change of an object.
type storeEvent struct {
	kind     int
	revision int64
	change   replica.Change
}

// newModelStore returns an empty store.
func newModelStore() *modelStore {
	s := &modelStore{at: replica.Position{Era: 1, Revision: 1}, reachable: true, writable: true, states: make(map[replica.Position][kinds]content)}
	for kind := range s.content {
		s.content[kind] = make(content)
	}
	s.record()
	return s
}

// record keeps the state at the present position.
func (s *modelStore) record() {
	var state [kinds]content
	for kind := range s.content {
		state[kind] = maps.Clone(s.content[kind])
	}
	s.states[s.at] = state
}

// put writes an object, or removes it if the text is empty.
func (s *modelStore) put(kind int, name, text string) {
	s.at.Revision++
	change := replica.Change{Object: replica.Object{Name: name, Revision: s.at.Revision, Spec: json.RawMessage(text)}, Deleted: text == ""}
	if change.Deleted {
		delete(s.content[kind], name)
	} else {
		s.content[kind][name] = text
	}
	s.events = append(s.events, storeEvent{kind, s.at.Revision, change})
	s.record()
}

// copyNow keeps a copy of the store.
func (s *modelStore) copyNow() {
	kept := &modelStore{at: s.at, events: slices.Clone(s.events)}
	for kind := range s.content {
		kept.content[kind] = maps.Clone(s.content[kind])
	}
	s.kept = kept
}

// returnFromCopy goes back to the copy.
func (s *modelStore) returnFromCopy() {
	s.at = replica.Position{Era: s.at.Era + 1, Revision: s.kept.at.Revision}
	s.events = slices.Clone(s.kept.events)
	for kind := range s.content {
		s.content[kind] = maps.Clone(s.kept.content[kind])
	}
	s.record()
	s.reachable, s.writable = true, true
}

// process is one process.
type process struct {
	name    string
	reads   bool
	copies  [kinds]*replica.Replica
	tracker Tracker
	// version is the version of the configuration in force.
	version int
	// trusted is the time of the newest proof that counts.
	trusted   time.Duration
	hasTrust  bool
	read      modelProof
	hasRead   bool
	calls     [kinds]*call
	nextCall  [kinds]time.Duration
	relist    [kinds]bool
	cutUntil  time.Duration
	startedAt time.Duration
}

// modelProof is a proof.
type modelProof struct {
	at       time.Duration
	era      int64
	standing Standing
}

// call is a call to the store, or its response on the way.
type call struct {
	list bool
	// began and arrives are when the call was sent and reaches the store.
	began, arrives time.Duration
	after          replica.Position
	wait           time.Duration
	// era is the store's era when the call arrived, 0 before.
	era      int64
	response *response
}

// response is the store's response.
type response struct {
	delta   replica.Delta
	gone    bool
	whole   bool
	arrives time.Duration
}

// start makes a process start without knowledge.
func (m *model) start(p *process) {
	*p = process{name: p.name, reads: p.reads, startedAt: m.now, cutUntil: p.cutUntil}
	for kind := range p.copies {
		p.copies[kind] = replica.New()
	}
	for _, l := range m.links {
		if l.from == p || l.to == p {
			l.open, l.queue = false, nil
			if m.disturbs(2) {
				l.cutUntil = m.now + m.within(6*time.Second)
			}
		}
	}
}

// hear makes a process hear of an era. A rise ends its calls, except for responses that it is just
// about to read.
func (m *model) hear(p *process, era int64, fromStore bool) {
	if !p.tracker.Hear(era, m.now, fromStore) {
		return
	}
	for kind, c := range p.calls {
		if c != nil && c.response != nil && m.chance(2) {
			continue
		}
		p.calls[kind], p.nextCall[kind] = nil, m.now
	}
}

// apply applies a delta to a copy, and checks that the copy does not go back and is as the store was.
func (m *model) apply(p *process, kind int, d replica.Delta) bool {
	before := p.copies[kind].Position()
	if _, err := p.copies[kind].Apply(d); err != nil {
		return false
	}
	after := p.copies[kind].Position()
	if after.Before(before) {
		m.breaks("%s goes back from %v to %v", p.name, before, after)
	}
	if after == before {
		return true
	}
	snapshot, _ := p.copies[kind].Since(replica.Empty)
	held := make(content)
	for _, change := range snapshot.Changes {
		held[change.Object.Name] = string(change.Object.Spec)
	}
	if state, known := m.store.states[after]; known && !maps.Equal(held, state[kind]) {
		m.breaks("%s holds %v of kind %d at %v, the store held %v", p.name, held, kind, after, state[kind])
	}
	if version, err := strconv.Atoi(held["main"]); kind == configKind && err == nil {
		p.version = max(p.version, version)
	}
	return true
}

// confirm records a proof.
func (m *model) confirm(p *process, proof modelProof) {
	if m.left != proofEra && proof.era != p.copies[configKind].Position().Era {
		return
	}
	proof.standing = p.tracker.Judge(proof.era, proof.at, proof.standing)
	if m.left == hold || m.left == endedEra && proof.era < p.tracker.Newest() {
		proof.standing = Settled
	}
	if proof.standing.Counts() && (!p.hasTrust || proof.at > p.trusted) {
		p.trusted, p.hasTrust = proof.at, true
	}
	if !p.hasRead || proof.era > p.read.era || proof.era == p.read.era && proof.at > p.read.at {
		p.read, p.hasRead = proof, true
	}
}

// stepReader makes a reader's calls for one kind.
func (m *model) stepReader(p *process, kind int) {
	c := p.calls[kind]
	switch {
	case c == nil && m.now >= p.nextCall[kind]:
		p.calls[kind] = m.newCall(p, kind)
	case c == nil:
	case c.response != nil && m.now >= c.response.arrives:
		p.calls[kind], p.nextCall[kind] = nil, m.now
		m.take(p, kind, c)
	case c.response == nil && m.now >= c.arrives:
		m.serve(p, kind, c)
	}
}

// newCall begins a call.
func (m *model) newCall(p *process, kind int) *call {
	at := p.copies[kind].Position()
	c := &call{began: m.now, arrives: m.now + m.within(100*time.Millisecond), after: at}
	c.list = p.relist[kind] || at == replica.Empty || at.Era != p.tracker.Newest()
	c.wait = 500 * time.Millisecond
	if kind != configKind {
		c.wait = 3 * time.Second
	}
	return c
}

// serve makes the store respond to a call, if it is time to.
func (m *model) serve(p *process, kind int, c *call) {
	s := m.store
	if c.era == 0 {
		c.era = s.at.Era
	}
	if !s.reachable || m.now < p.cutUntil || c.era != s.at.Era {
		if m.left != failedCalls {
			p.tracker.CallFailed()
		}
		p.calls[kind], p.nextCall[kind] = nil, m.now+m.within(700*time.Millisecond)
		return
	}
	r := &response{arrives: m.now + m.within(60*time.Millisecond)}
	if m.disturbs(6) {
		r.arrives += m.within(2 * time.Second)
	}
	r.delta = replica.Delta{Reset: c.list, Era: s.at.Era, After: c.after.Revision, Revision: s.at.Revision}
	switch {
	case c.list:
		for name, text := range s.content[kind] {
			r.delta.Changes = append(r.delta.Changes, replica.Change{Object: replica.Object{Name: name, Spec: json.RawMessage(text)}})
		}
	case c.after.Revision > s.at.Revision:
		r.gone = true
	default:
		for _, e := range s.events {
			if e.kind == kind && e.revision > c.after.Revision {
				r.delta.Changes = append(r.delta.Changes, e.change)
			}
		}
		r.whole = len(r.delta.Changes) == 0
		if r.whole && m.now < c.arrives+c.wait {
			return
		}
	}
	if m.left == eras {
		r.delta.Era = 0
	}
	c.response = r
}

// take takes a response.
func (m *model) take(p *process, kind int, c *call) {
	r := c.response
	m.hear(p, r.delta.Era, true)
	if r.delta.Era != p.tracker.Newest() {
		if m.left != lateResponses {
			return
		}
		r.delta.Era = p.tracker.Newest()
	}
	if r.gone {
		p.relist[kind], p.nextCall[kind] = true, m.now+m.within(400*time.Millisecond)
		return
	}
	if c.list {
		p.relist[kind] = false
	}
	if !m.apply(p, kind, r.delta) || kind != configKind {
		return
	}
	at := c.began
	if r.whole {
		at += c.wait - c.wait/3
	}
	m.confirm(p, modelProof{at: at, era: r.delta.Era})
}

// link carries updates from a source to a follower.
type link struct {
	from, to  *process
	open      bool
	cutUntil  time.Duration
	positions [kinds]replica.Position
	queue     []update
	sent      modelProof
	sentEra   int64
}

// update is one message on a link.
type update struct {
	arrives  time.Duration
	era      int64
	deltas   [kinds]*replica.Delta
	proof    modelProof
	hasProof bool
}

// stepLink sends and delivers the messages of a link.
func (m *model) stepLink(l *link) {
	if !l.open {
		if m.now < l.cutUntil || !m.chance(6) {
			return
		}
		l.open, l.queue, l.sent, l.sentEra = true, nil, modelProof{}, 0
		for kind := range l.positions {
			l.positions[kind] = l.to.copies[kind].Position()
		}
	}
	m.send(l)
	for len(l.queue) > 0 && m.now >= l.queue[0].arrives {
		next := l.queue[0]
		l.queue = l.queue[1:]
		if !m.receive(l.to, next) {
			l.open, l.queue = false, nil
			return
		}
	}
	if m.disturbs(200) {
		l.open, l.queue, l.cutUntil = false, nil, m.now+m.within(5*time.Second)
	}
}

// send sends what the follower lacks.
func (m *model) send(l *link) {
	u := update{era: l.from.tracker.Newest(), proof: l.from.read, hasProof: l.from.hasRead, arrives: m.now + m.within(100*time.Millisecond)}
	if m.disturbs(20) {
		u.arrives += m.within(1500 * time.Millisecond)
	}
	if len(l.queue) > 0 {
		u.arrives = max(u.arrives, l.queue[len(l.queue)-1].arrives)
	}
	due := u.era != l.sentEra || u.hasProof && u.proof != l.sent
	for kind, position := range l.positions {
		if m.left == relayedEras && position != replica.Empty {
			position.Era = l.from.copies[kind].Position().Era
		}
		if d, lacks := l.from.copies[kind].Since(position); lacks {
			u.deltas[kind], l.positions[kind], due = &d, d.End(), true
		}
	}
	if !due {
		return
	}
	l.sentEra, l.sent = u.era, u.proof
	u.proof.at -= m.within(100 * time.Millisecond)
	l.queue = append(l.queue, u)
}

// receive takes a message and reports whether the link goes on.
func (m *model) receive(p *process, u update) bool {
	m.hear(p, u.era, false)
	for kind, d := range u.deltas {
		if d != nil && !m.apply(p, kind, *d) {
			return false
		}
	}
	if m.left == reportedStanding && u.proof.standing == Held {
		u.proof.standing = Uncertain
	}
	if u.hasProof {
		m.confirm(p, u.proof)
	}
	return true
}

// newModel returns a run without a part of the rules.
func newModel(seed uint64, left without) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 11)), left: left, now: time.Minute, store: newModelStore(), accepted: make(map[int]time.Duration)}
	for i := range 5 {
		m.processes = append(m.processes, &process{name: fmt.Sprint("p", i), reads: i < 2})
	}
	for _, pair := range [][2]int{{0, 1}, {1, 0}, {0, 2}, {2, 3}, {1, 4}} {
		m.links = append(m.links, &link{from: m.processes[pair[0]], to: m.processes[pair[1]]})
	}
	for _, p := range m.processes {
		m.start(p)
	}
	m.calmFrom = m.now + disturbed
	m.write()
	m.store.copyNow()
	return m
}

// write makes the operator write the next version.
func (m *model) write() {
	m.version++
	m.store.put(configKind, "main", strconv.Itoa(m.version))
	m.accepted[m.version] = m.now
}

// disturb draws what happens in a step.
func (m *model) disturb() {
	s := m.store
	if s.writable && m.chance(40) {
		m.write()
	}
	if s.writable && m.chance(8) {
		text := strconv.Itoa(m.random.IntN(1000))
		if m.chance(4) {
			text = ""
		}
		s.put(otherKind, fmt.Sprint("o", m.random.IntN(5)), text)
	}
	if s.reachable && m.chance(60) {
		s.copyNow()
	}
	if s.reachable && m.chance(70) {
		s.reachable = false
		s.stopsWriting = m.now + m.within(2*time.Second)
		s.returns = s.stopsWriting + m.within(5*time.Second)
	}
	p := m.processes[m.random.IntN(len(m.processes))]
	if m.chance(20) {
		p.relist[m.random.IntN(kinds)] = true // the store has forgotten its history
	}
	if m.chance(60) {
		p.cutUntil = m.now + m.within(6*time.Second)
	}
	if m.chance(60) && m.mayStart(p) {
		m.start(p)
	}
}

// mayStart reports whether a process may start again now. A reader that starts right after the store's
// return, and reaches the store at once, can't know of the return.
func (m *model) mayStart(p *process) bool {
	s := m.store
	if !p.reads {
		return true
	}
	if !s.reachable {
		return s.returns-m.now > time.Second
	}
	return m.now-s.returned > RewriteTime+time.Second
}

// stepStore lets an outage of the store go on.
func (m *model) stepStore() {
	s := m.store
	if !s.reachable && m.now >= s.stopsWriting {
		s.writable = false
	}
	if !s.reachable && m.now >= s.returns {
		s.returnFromCopy()
		s.returned, s.rewrites = m.now, m.now+m.within(rewritten)
	}
	if s.writable && s.rewrites > 0 && m.now >= s.rewrites {
		s.rewrites = 0
		if s.content[configKind]["main"] != strconv.Itoa(m.version) {
			s.put(configKind, "main", strconv.Itoa(m.version))
		}
	}
}

// checkKeys checks that no process runs requests with a key that was taken away too long ago.
func (m *model) checkKeys() {
	for _, p := range m.processes {
		accepted, exists := m.accepted[p.version+1]
		if p.version > 0 && exists && p.hasTrust && m.now-p.trusted < trustTime && m.now > accepted+revokeBound {
			m.breaks("%s runs keys by version %d, %v after version %d", p.name, p.version, m.now-accepted, p.version+1)
		}
	}
}

// run plays the model and returns the first broken rule, empty if there is none.
func (m *model) run() string {
	for end := m.calmFrom + calm; m.now < end && m.broken == ""; m.now += step {
		m.stepStore()
		if m.now < m.calmFrom {
			m.disturb()
		}
		for _, p := range m.processes {
			for kind := range p.calls {
				if p.reads {
					m.stepReader(p, kind)
				}
			}
		}
		for _, l := range m.links {
			m.stepLink(l)
		}
		m.checkKeys()
	}
	m.checkCalm()
	return m.broken
}

// checkCalm checks that each process holds what the store holds and runs requests with keys.
func (m *model) checkCalm() {
	for _, p := range m.processes {
		for kind := range p.copies {
			snapshot, _ := p.copies[kind].Since(replica.Empty)
			held := make(content)
			for _, change := range snapshot.Changes {
				held[change.Object.Name] = string(change.Object.Spec)
			}
			if !maps.Equal(held, m.store.content[kind]) {
				m.breaks("%s holds %v of kind %d in the end, the store %v", p.name, held, kind, m.store.content[kind])
			}
		}
		if p.version != m.version || m.now-p.trusted >= trustTime {
			m.breaks("%s has version %d of %d, proved %v ago", p.name, p.version, m.version, m.now-p.trusted)
		}
	}
}

// seeds are those of the runs. The last ones show what seldom happens: a process that has just started
// gets a proof of the earlier era from a source that has not heard of the later one.
func seeds() []uint64 {
	list := make([]uint64, 0, 302)
	for seed := range uint64(300) {
		list = append(list, seed)
	}
	return append(list, 3388, 3389)
}

// TestCopiesAndKeysOverReturnsOfTheStore plays drawn writes, outages, returns, starts and late messages.
func TestCopiesAndKeysOverReturnsOfTheStore(t *testing.T) {
	for _, seed := range seeds() {
		assert.Equal(t, newModel(seed, nothing).run(), "", "seed %d", seed)
	}
}

// TestTheModelMissesEachPartOfTheRules: without any one of them, it finds a broken promise.
func TestTheModelMissesEachPartOfTheRules(t *testing.T) {
	for left, name := range map[without]string{
		eras: "eras", lateResponses: "late responses", hold: "hold", reportedStanding: "reported standing", failedCalls: "failed calls",
		relayedEras: "relayed eras", proofEra: "era of a proof", endedEra: "ended eras",
	} {
		found := ""
		for _, seed := range seeds() {
			if found = newModel(seed, left).run(); found != "" {
				break
			}
		}
		assert.Assert(t, found != "", "without %s nothing is found", name)
	}
}
