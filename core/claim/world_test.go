package claim_test

import (
	"fmt"

	"acaciawinch/core"
	"acaciawinch/core/claim"
)

// mutation is a mechanism to disable, so that a test can show that the checker
// detects its absence.
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
	noGeneratedKeyRule
	noAbandon
	noEpoch
	mutations
)

// ticketLifetime is the highest age of a ticket that a sidecar accepts, and how
// long it keeps tombstones, in ticks.
const ticketLifetime = 10

// chooser returns a number from 0 to n-1. Its results determine everything that
// happens in a world.
type chooser func(label string, n int) int

// object is one value of the store.
type object struct {
	record  claim.Record
	version uint64
}

// message is a write or dispatch that the network delays.
type message struct {
	write *claim.Step
	run   *claim.Record
}

// dispatchOutcome is a sidecar's response to a dispatched attempt.
type dispatchOutcome int

const (
	// admitted: the sidecar runs the attempt.
	admitted dispatchOutcome = iota + 1
	// refused: it is proved that the attempt has not run.
	refused
	// unclear: the response proves nothing.
	unclear
)

// sidecar is a simulated sidecar, which decides by the model below or by the real gate.
type sidecar interface {
	// id and clock return what a probe reports.
	id() core.Incarnation
	clock() uint64
	run(w *world, record claim.Record) dispatchOutcome
	resolve(w *world, record claim.Record) claim.SidecarResponse
	// tick advances the clock, evict drops old results, and endRuns ends all running
	// attempts.
	tick(ticks uint64)
	evict(w *world)
	endRuns(w *world, failed bool)
	// follow returns the state of an admitted attempt.
	follow(record claim.Record) claim.SidecarState
}

// attempt is the sidecar's state of one claimed attempt.
type attempt struct {
	record claim.Record
	at     uint64
	done   bool
	failed bool
}

// sidecarModel is a model of a sidecar: the rules on which the safety of core/claim
// depends.
type sidecarModel struct {
	incarnation core.Incarnation
	now         uint64
	seen        map[uint64]*attempt
	tombstones  map[uint64]uint64
	horizon     uint64
}

// world is one store, two sidecars and the executions at their upstreams.
type world struct {
	pick      chooser
	disabled  mutation
	faultFree bool
	down      bool
	objects   map[string]object
	version   uint64
	sidecars  []sidecar
	// newSidecar returns a sidecar with an empty table.
	newSidecar func(core.Incarnation) sidecar
	delayed    []message
	// ledger lists the requests that ran, by key.
	ledger map[string][]core.RequestID
	// toldNotRun holds the requests that were reported as not run, with the verdict.
	toldNotRun map[core.RequestID]string
	// lossy is set once state was lost, so that the verdict unknown is correct.
	lossy       bool
	started     int
	transitions map[string]bool
	violation   string
}

// newWorld returns a world without actors.
func newWorld(pick chooser, disabled mutation, newSidecar func(core.Incarnation) sidecar) *world {
	w := &world{
		newSidecar:  newSidecar,
		pick:        pick,
		disabled:    disabled,
		objects:     make(map[string]object),
		ledger:      make(map[string][]core.RequestID),
		toldNotRun:  make(map[core.RequestID]string),
		transitions: make(map[string]bool),
	}
	for i := range 2 {
		w.sidecars = append(w.sidecars, newSidecar(core.Incarnation(i+1)))
	}
	return w
}

// newSidecarModel returns a sidecarModel with an empty table.
func newSidecarModel(incarnation core.Incarnation) sidecar {
	return &sidecarModel{incarnation: incarnation, now: 1, seen: make(map[uint64]*attempt), tombstones: make(map[uint64]uint64)}
}

// fail records the first violation.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// chance returns true in one of n cases, and never while w.faultFree is set.
func (w *world) chance(label string, n int) bool {
	return !w.faultFree && w.pick(label, n) == n-1
}

// name returns the name of the step's object. With the mutation noIdentity all
// keys share one object, as if the hashes in their names collided.
func (w *world) name(step claim.Step) string {
	if w.disabled == noIdentity {
		return "one"
	}
	return step.Name
}

// apply carries out a conditional write.
func (w *world) apply(step claim.Step) (claim.WriteResponse, uint64) {
	name := w.name(step)
	current, exists := w.objects[name]
	create := step.Call == claim.CallCreate
	conflict := create == exists || (!create && current.version != step.Version)
	if conflict && (w.disabled != noCondition || create) {
		return claim.WriteConflict, 0
	}
	if ran := w.ledger[step.Record.Key]; step.Record.State != claim.StateDone && len(ran) > 0 {
		w.fail("%s replaced a claim after %v ran", step.Record.Request, ran)
	}
	w.version++
	w.objects[name] = object{record: step.Record, version: w.version}
	return claim.WriteOK, w.version
}

// write calls apply, with faults of the network and the store.
func (w *world) write(step claim.Step) (claim.WriteResponse, uint64) {
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
		w.delayed = append(w.delayed, message{write: &step})
	}
	if w.disabled == noReadBack {
		return claim.WriteOK, w.version
	}
	return claim.WriteAmbiguous, 0
}

// sidecarAt returns the sidecar at a target's address, whatever its incarnation.
func (w *world) sidecarAt(target claim.Target) sidecar {
	if target.Addr == "side-0" {
		return w.sidecars[0]
	}
	return w.sidecars[1]
}

// probe returns the target that a router would choose now for sidecar i.
func (w *world) probe(i int) claim.Target {
	s := w.sidecars[i]
	addr := fmt.Sprintf("side-%d", i)
	return claim.Target{Upstream: core.UpstreamID(addr), Addr: addr, Incarnation: s.id(), SidecarClockUS: s.clock()}
}

// id implements sidecar.
func (s *sidecarModel) id() core.Incarnation { return s.incarnation }

// clock implements sidecar.
func (s *sidecarModel) clock() uint64 { return s.now }

// run implements sidecar.
func (s *sidecarModel) run(w *world, record claim.Record) dispatchOutcome {
	_, tombstoned := s.tombstones[record.Nonce]
	_, seen := s.seen[record.Nonce]
	expired := s.now > record.Target.SidecarClockUS+ticketLifetime
	switch {
	case record.Target.Incarnation != s.incarnation && w.disabled != noRunIncarnation:
		return refused
	case tombstoned, expired && w.disabled != noTicket:
		return refused
	case seen:
		return unclear
	}
	s.seen[record.Nonce] = &attempt{record: record, at: s.now}
	w.execute(record)
	return admitted
}

// execute records an execution at the upstream. It is a violation if the key ran
// before or the request was reported as not run.
func (w *world) execute(record claim.Record) {
	w.ledger[record.Key] = append(w.ledger[record.Key], record.Request)
	if len(w.ledger[record.Key]) > 1 {
		w.fail("key %s ran more than once: %v", record.Key, w.ledger[record.Key])
	}
	if verdict, reported := w.toldNotRun[record.Request]; reported {
		w.fail("request %s ran after it was reported as not run: %s", record.Request, verdict)
	}
}

// resolve queries the sidecar of an attempt, which may be unreachable.
func (w *world) resolve(record claim.Record) claim.SidecarResponse {
	if w.chance("unreachable", 8) {
		return claim.SidecarResponse{State: claim.SidecarUnreachable}
	}
	return w.sidecarAt(record.Target).resolve(w, record)
}

// resolve implements sidecar.
func (s *sidecarModel) resolve(w *world, record claim.Record) claim.SidecarResponse {
	response := claim.SidecarResponse{Incarnation: s.incarnation}
	if w.disabled == noResolveIncarnation {
		response.Incarnation = record.Target.Incarnation
	} else if record.Target.Incarnation != s.incarnation {
		response.State = claim.SidecarGone
		return response
	}
	known, seen := s.seen[record.Nonce]
	switch {
	case seen && known.failed:
		response.State = claim.SidecarFailed
	case seen && known.done:
		response.State = claim.SidecarDone
		response.Chunks = resultOf(known.record)
	case seen:
		response.State = claim.SidecarRunning
	case record.Target.SidecarClockUS < s.horizon && w.disabled != noHorizon:
		response.State = claim.SidecarGone
	default:
		response.State = claim.SidecarNotRun
		if w.disabled != noTombstone {
			s.tombstones[record.Nonce] = s.now
		}
	}
	return response
}

// resultOf returns the output of an execution.
func resultOf(record claim.Record) [][]byte {
	return [][]byte{[]byte(record.Key), []byte(":" + string(record.Request))}
}

// tick implements sidecar.
func (s *sidecarModel) tick(ticks uint64) {
	s.now += ticks
	for nonce, at := range s.tombstones {
		if s.now > at+ticketLifetime {
			delete(s.tombstones, nonce)
		}
	}
}

// evict implements sidecar. Dropping a result raises the horizon.
func (s *sidecarModel) evict(w *world) {
	for nonce, known := range s.seen {
		if known.done && s.now > known.at+ticketLifetime {
			delete(s.seen, nonce)
			s.horizon = s.now
			w.lossy = true
		}
	}
}

// endRuns implements sidecar.
func (s *sidecarModel) endRuns(w *world, failed bool) {
	for _, known := range s.seen {
		if !known.done && failed {
			known.failed = true
			w.lossy = true
		}
		known.done = true
	}
}

// follow implements sidecar.
func (s *sidecarModel) follow(record claim.Record) claim.SidecarState {
	known, ok := s.seen[record.Nonce]
	switch {
	case !ok:
		return claim.SidecarGone
	case known.failed:
		return claim.SidecarFailed
	case known.done:
		return claim.SidecarDone
	default:
		return claim.SidecarRunning
	}
}

// finishRuns ends all running attempts of a sidecar, by chance as failed: such an
// attempt ran and has no result.
func (w *world) finishRuns(s sidecar) { s.endRuns(w, w.chance("failed", 6)) }

// restart replaces a sidecar by a new incarnation with an empty table.
func (w *world) restart(i int) {
	w.sidecars[i] = w.newSidecar(w.sidecars[i].id() + 10)
	w.lossy = true
}

// deliver passes a delayed message to its receiver.
func (w *world) deliver(i int) {
	m := w.delayed[i]
	w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
	if m.write != nil {
		w.apply(*m.write)
		return
	}
	w.sidecarAt(m.run.Target).run(w, *m.run)
}
