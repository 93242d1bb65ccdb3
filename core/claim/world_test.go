package claim_test

import (
	"fmt"

	"acaciawinch/core"
	"acaciawinch/core/claim"
)

// mutation disables one mechanism, so that a test can see the checker fail.
type mutation int

const (
	none mutation = iota
	noTombstone
	noRunIncarnation
	noResolveIncarnation
	noTicket
	noHorizon
	noReadBack
	noCondition
	noIdentity
	noMintedRule
	noAbandon
	noEpoch
	mutations
)

// ticketLifetime is how old a ticket a side accepts, and how long it keeps
// tombstones, in ticks.
const ticketLifetime = 10

// chooser picks a number from 0 to n-1. All that happens in a world follows from
// its picks.
type chooser func(label string, n int) int

// object is one value of the store.
type object struct {
	record  claim.Record
	version uint64
}

// message is a write or dispatch that the network holds back.
type message struct {
	write *claim.Step
	run   *claim.Record
}

// fate is what became of a dispatched message.
type fate int

const (
	// admitted: the side runs the attempt.
	admitted fate = iota + 1
	// refused: proved not run.
	refused
	// unclear: the side proves nothing.
	unclear
)

// sideProcess is a side: the model below, or the real gate.
type sideProcess interface {
	// id and clock are what a probe tells.
	id() core.Incarnation
	clock() uint64
	run(w *world, record claim.Record) fate
	resolve(w *world, record claim.Record) claim.SideAnswer
	// tick moves the clock, evict drops old results, end ends what runs.
	tick(ticks uint64)
	evict(w *world)
	end(w *world, failed bool)
	// follow tells how far an admitted attempt is.
	follow(record claim.Record) claim.SideState
}

// attempt is one claimed attempt as a side knows it.
type attempt struct {
	record claim.Record
	at     uint64
	done   bool
	failed bool
}

// side is a model of a side process: the rules that core/claim's safety rests on.
type side struct {
	incarnation core.Incarnation
	now         uint64
	seen        map[uint64]*attempt
	tombstones  map[uint64]uint64
	horizon     uint64
}

// world is one store, two sides and the executions that upstreams saw.
type world struct {
	pick    chooser
	broken  mutation
	calm    bool
	down    bool
	objects map[string]object
	version uint64
	sides   []sideProcess
	// newSide makes a side with an empty table.
	newSide func(core.Incarnation) sideProcess
	late    []message
	// ledger is what ran, by key.
	ledger map[string][]core.RequestID
	// neverRuns are requests that were told not_run.
	neverRuns map[core.RequestID]string
	// lossy is set once a side forgot something, so that unknown is truthful.
	lossy   bool
	started int
	taken   map[string]bool
	problem string
}

// newWorld returns a world without asks.
func newWorld(pick chooser, broken mutation, newSide func(core.Incarnation) sideProcess) *world {
	w := &world{
		newSide:   newSide,
		pick:      pick,
		broken:    broken,
		objects:   make(map[string]object),
		ledger:    make(map[string][]core.RequestID),
		neverRuns: make(map[core.RequestID]string),
		taken:     make(map[string]bool),
	}
	for i := range 2 {
		w.sides = append(w.sides, newSide(core.Incarnation(i+1)))
	}
	return w
}

// newModel returns a model of a side with an empty table.
func newModel(incarnation core.Incarnation) sideProcess {
	return &side{incarnation: incarnation, now: 1, seen: make(map[uint64]*attempt), tombstones: make(map[uint64]uint64)}
}

// fail notes the first violation.
func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// chance is true once in n, and never in calm times.
func (w *world) chance(label string, n int) bool {
	return !w.calm && w.pick(label, n) == n-1
}

// name is the object's key. With colliding names two keys share one object.
func (w *world) name(step claim.Step) string {
	if w.broken == noIdentity {
		return "one"
	}
	return step.Name
}

// apply carries out a conditional write.
func (w *world) apply(step claim.Step) (claim.WriteAnswer, uint64) {
	name := w.name(step)
	now, exists := w.objects[name]
	create := step.Call == claim.CallCreate
	wrong := create == exists || (!create && now.version != step.Version)
	if wrong && (w.broken != noCondition || create) {
		return claim.WriteConflict, 0
	}
	if ran := w.ledger[step.Record.Key]; step.Record.State != claim.StateDone && len(ran) > 0 {
		w.fail("%s replaced a claim after %v ran", step.Record.Request, ran)
	}
	w.version++
	w.objects[name] = object{record: step.Record, version: w.version}
	return claim.WriteOK, w.version
}

// write is apply with the faults of network and store.
func (w *world) write(step claim.Step) (claim.WriteAnswer, uint64) {
	if w.down {
		return claim.WriteUnavailable, 0
	}
	if !w.chance("write fault", 4) {
		return w.apply(step)
	}
	switch w.pick("write fate", 3) {
	case 0:
		w.apply(step)
	case 1:
		w.late = append(w.late, message{write: &step})
	}
	if w.broken == noReadBack {
		return claim.WriteOK, w.version
	}
	return claim.WriteAmbiguous, 0
}

// side returns the side process at a target's address, whatever its incarnation.
func (w *world) side(target claim.Target) sideProcess {
	if target.Addr == "side-0" {
		return w.sides[0]
	}
	return w.sides[1]
}

// probe returns a target as a router would choose it now.
func (w *world) probe(i int) claim.Target {
	s := w.sides[i]
	addr := fmt.Sprintf("side-%d", i)
	return claim.Target{Upstream: core.UpstreamID(addr), Addr: addr, Incarnation: s.id(), SideClockUS: s.clock()}
}

// id implements sideProcess.
func (s *side) id() core.Incarnation { return s.incarnation }

// clock implements sideProcess.
func (s *side) clock() uint64 { return s.now }

// run implements sideProcess.
func (s *side) run(w *world, record claim.Record) fate {
	_, dead := s.tombstones[record.Nonce]
	_, seen := s.seen[record.Nonce]
	expired := s.now > record.Target.SideClockUS+ticketLifetime
	switch {
	case record.Target.Incarnation != s.incarnation && w.broken != noRunIncarnation:
		return refused
	case dead, expired && w.broken != noTicket:
		return refused
	case seen:
		return unclear
	}
	s.seen[record.Nonce] = &attempt{record: record, at: s.now}
	w.execute(record)
	return admitted
}

// execute notes an execution at the upstream and checks what must hold of it.
func (w *world) execute(record claim.Record) {
	w.ledger[record.Key] = append(w.ledger[record.Key], record.Request)
	if len(w.ledger[record.Key]) > 1 {
		w.fail("key %s ran more than once: %v", record.Key, w.ledger[record.Key])
	}
	if why, told := w.neverRuns[record.Request]; told {
		w.fail("request %s ran after not_run was told: %s", record.Request, why)
	}
}

// resolve asks a side about an attempt.
func (w *world) resolve(record claim.Record) claim.SideAnswer {
	if w.chance("unreachable", 8) {
		return claim.SideAnswer{State: claim.SideUnreachable}
	}
	return w.side(record.Target).resolve(w, record)
}

// resolve implements sideProcess.
func (s *side) resolve(w *world, record claim.Record) claim.SideAnswer {
	answer := claim.SideAnswer{Incarnation: s.incarnation}
	if w.broken == noResolveIncarnation {
		answer.Incarnation = record.Target.Incarnation
	} else if record.Target.Incarnation != s.incarnation {
		answer.State = claim.SideGone
		return answer
	}
	known, seen := s.seen[record.Nonce]
	switch {
	case seen && known.failed:
		answer.State = claim.SideFailed
	case seen && known.done:
		answer.State = claim.SideDone
		answer.Chunks = resultOf(known.record)
	case seen:
		answer.State = claim.SideRunning
	case record.Target.SideClockUS < s.horizon && w.broken != noHorizon:
		answer.State = claim.SideGone
	default:
		answer.State = claim.SideNotRun
		if w.broken != noTombstone {
			s.tombstones[record.Nonce] = s.now
		}
	}
	return answer
}

// resultOf is the output of an execution.
func resultOf(record claim.Record) [][]byte {
	return [][]byte{[]byte(record.Key), []byte(":" + string(record.Request))}
}

// tick implements sideProcess.
func (s *side) tick(ticks uint64) {
	s.now += ticks
	for nonce, at := range s.tombstones {
		if s.now > at+ticketLifetime {
			delete(s.tombstones, nonce)
		}
	}
}

// evict implements sideProcess. Dropping a result moves the horizon.
func (s *side) evict(w *world) {
	for nonce, known := range s.seen {
		if known.done && s.now > known.at+ticketLifetime {
			delete(s.seen, nonce)
			s.horizon = s.now
			w.lossy = true
		}
	}
}

// end implements sideProcess.
func (s *side) end(w *world, failed bool) {
	for _, known := range s.seen {
		if !known.done && failed {
			known.failed = true
			w.lossy = true
		}
		known.done = true
	}
}

// follow implements sideProcess.
func (s *side) follow(record claim.Record) claim.SideState {
	known, ok := s.seen[record.Nonce]
	switch {
	case !ok:
		return claim.SideGone
	case known.failed:
		return claim.SideFailed
	case known.done:
		return claim.SideDone
	default:
		return claim.SideRunning
	}
}

// finishRuns ends what runs at a side, or fails it: it ran and has no result.
func (w *world) finishRuns(s sideProcess) { s.end(w, w.chance("failed", 6)) }

// restart replaces a side by a new incarnation that knows nothing.
func (w *world) restart(i int) {
	w.sides[i] = w.newSide(w.sides[i].id() + 10)
	w.lossy = true
}

// deliver hands a held-back message to its receiver.
func (w *world) deliver(i int) {
	m := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	if m.write != nil {
		w.apply(*m.write)
		return
	}
	w.side(m.run.Target).run(w, *m.run)
}
