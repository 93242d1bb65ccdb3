package claim_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/claim"
)

// rules keep worlds small; some results are too large for their record.
var rules = claim.Rules{Patience: 1, MaxPatience: 4, MaxRounds: 4, MaxReads: 6, RetryAfter: 1, MaxResultBytes: 9}

// actor is one request at one entry. Every step of it is one effect or one
// reception of an answer, so that anything may happen in between.
type actor struct {
	w       *world
	ask     claim.Ask
	look    bool
	rng     *rand.Rand
	machine *claim.Machine
	finish  *claim.Finishing
	// answer is the reception that the next step makes.
	answer func()
	// owned is the claim to dispatch or that was dispatched.
	owned     claim.Record
	version   uint64
	sent      bool
	silent    bool
	running   bool
	releasing bool
	over      bool
	status    claim.Status
}

// newActor starts an ask for one of two keys, through the chooser.
func newActor(w *world) *actor {
	w.started++
	request := core.RequestID(fmt.Sprintf("r%d", w.started))
	key := []string{"key-0", "longer-key-1"}[w.pick("key", 2)]
	minted := w.pick("minted", 4) == 3
	if minted {
		key = string(request)
	}
	id := claim.Identity{Workspace: "w", Pipeline: "p", Key: key, Stage: "s"}
	a := &actor{w: w, rng: rand.New(rand.NewPCG(uint64(w.started), uint64(w.pick("rng", 1<<16))))}
	a.ask = claim.Ask{Identity: id, Request: request, Attempt: 1, Target: w.probe(w.pick("target", 2)), Minted: minted}
	if w.broken == noMintedRule {
		a.ask.Minted = true
	}
	looks := 6
	if w.broken == noEpoch {
		// The violation needs a look and two rivals: more looks find it sooner.
		looks = 2
	}
	a.look = !minted && w.pick("look", looks) == looks-1
	if a.look {
		a.machine = claim.Look(id, rules, a.rng)
		return a
	}
	a.machine = claim.Open(a.ask, rules, a.rng)
	return a
}

// step makes the actor's next step.
func (a *actor) step() {
	switch {
	case a.answer != nil:
		receive := a.answer
		a.answer = nil
		receive()
	case a.machine != nil:
		a.protocol()
	case a.finish != nil:
		a.record()
	case !a.sent:
		a.dispatch()
	case a.silent:
		a.askOwn()
	case a.running:
		a.await()
	default:
		a.over = true
	}
}

// protocol makes one call of the claim machine; the answer is received later.
func (a *actor) protocol() {
	if a.w.chance("give up", 60) {
		a.machine.GiveUp()
	}
	step := a.machine.Next()
	switch step.Call {
	case claim.CallNone:
		a.decided()
	case claim.CallCreate, claim.CallUpdate:
		a.write(step)
	case claim.CallRead:
		a.read(step)
	case claim.CallWait:
		a.check(a.machine.Waited())
	case claim.CallResolve:
		answer := a.w.resolve(step.Record)
		a.answer = func() { a.check(a.machine.Resolved(answer)) }
	}
}

// write makes a conditional write.
func (a *actor) write(step claim.Step) {
	if a.look && a.w.broken == noAbandon {
		a.answer = func() { a.check(a.machine.Wrote(claim.WriteOK, step.Version+1)) }
		return
	}
	answer, version := a.w.write(step)
	a.answer = func() { a.check(a.machine.Wrote(answer, version)) }
}

// read reads the claim object.
func (a *actor) read(step claim.Step) {
	found, exists := a.w.objects[a.w.name(step)]
	if a.w.broken == noIdentity {
		found.record.Identity = a.ask.Identity
	}
	if a.w.broken == noEpoch {
		found.record.Epoch = 0
	}
	switch {
	case a.w.down || a.w.chance("read fault", 10):
		a.answer = func() { a.check(a.machine.Unreadable()) }
	case !exists:
		a.answer = func() { a.check(a.machine.Missing()) }
	default:
		a.answer = func() { a.check(a.machine.Found(found.record, found.version)) }
	}
}

// check fails the world if the protocol was broken.
func (a *actor) check(err error) {
	if err != nil {
		a.w.fail("%s: %v", a.ask.Request, err)
		a.over = true
	}
}

// decided acts on the machine's verdict and checks it against the ledger.
func (a *actor) decided() {
	verdict := a.machine.Verdict()
	a.machine = nil
	a.status = verdict.Status
	a.cover(verdict.Trail)
	ran := a.w.ledger[a.ask.Key]
	if verdict.KeyNotRun && verdict.Status != claim.NotRun && len(ran) > 0 {
		a.w.fail("%s was told %s as not run, but %v ran", a.ask.Request, verdict.Status, ran)
	}
	switch verdict.Status {
	case claim.Mine:
		a.owned, a.version = verdict.Record, verdict.Version
		a.sent, a.silent, a.running = false, false, false
		a.releasing = a.w.chance("release", 12)
		return
	case claim.Unavailable:
		a.w.neverRuns[a.ask.Request] = "unavailable"
	case claim.NotRun:
		told := a.ask.Request
		if a.look {
			told = verdict.Record.Request
		}
		a.w.neverRuns[told] = "not_run"
	case claim.Done:
		a.checkResult(verdict.Chunks)
	case claim.Running:
		// The real gate has a queue: there, running includes waiting.
		_, queues := a.w.side(verdict.Record.Target).(*gateSide)
		if len(ran) == 0 && !queues {
			a.w.fail("%s was told running, but nothing ran", a.ask.Request)
		}
	}
	a.over = true
}

// cover notes the transitions of the claim chart that were taken.
func (a *actor) cover(trail []chart.Event) {
	walker := chart.MustLoad("claim").Start("")
	for _, event := range trail {
		a.w.taken[string(walker.State())+" "+string(event)] = true
		a.check(walker.Fire(event))
	}
}

// checkResult fails the world if a result is not that of the actor's own key.
func (a *actor) checkResult(chunks [][]byte) {
	got := string(bytes.Join(chunks, nil))
	if !strings.HasPrefix(got, a.ask.Key+":") {
		a.w.fail("%s of %s was given the result %q", a.ask.Request, a.ask.Key, got)
	}
}

// dispatch sends the owned attempt to its side, once.
func (a *actor) dispatch() {
	if a.releasing {
		a.releasing = false
		a.machine = claim.Release(a.owned, a.version, rules, a.rng)
		return
	}
	a.sent = true
	if a.w.chance("dispatch fault", 3) {
		a.silent = true
		switch a.w.pick("dispatch fate", 3) {
		case 0:
			a.w.side(a.owned.Target).run(a.w, a.owned)
		case 1:
			sent := a.owned
			a.w.late = append(a.w.late, message{run: &sent})
		}
		return
	}
	switch a.w.side(a.owned.Target).run(a.w, a.owned) {
	case admitted:
		a.running = true
	case refused:
		a.reassign()
	default:
		a.over = true
	}
}

// reassign follows a proof that the owned attempt has not run.
func (a *actor) reassign() {
	a.machine = claim.Reassign(a.owned, a.version, a.w.probe(a.w.pick("target", 2)), rules, a.rng)
}

// askOwn finds out what became of a dispatch that was not answered.
func (a *actor) askOwn() {
	answer := a.w.resolve(a.owned)
	a.silent = false
	if answer.Incarnation != a.owned.Target.Incarnation {
		a.over = true
		return
	}
	switch answer.State {
	case claim.SideNotRun:
		a.reassign()
	case claim.SideRunning, claim.SideDone:
		a.running = true
	default:
		a.over = true
	}
}

// await takes the result of the running attempt once the side has it.
func (a *actor) await() {
	switch a.w.side(a.owned.Target).follow(a.owned) {
	case claim.SideRunning:
	case claim.SideNotRun:
		a.reassign()
	case claim.SideDone:
		a.running = false
		a.checkResult(resultOf(a.owned))
		a.finish = claim.Finish(a.owned, a.version, resultOf(a.owned), rules)
	default:
		a.over = true
	}
}

// record makes one call of the recording of the result.
func (a *actor) record() {
	step := a.finish.Next()
	found, exists := a.w.objects[a.w.name(step)]
	switch {
	case step.Call == claim.CallNone:
		a.finish = nil
		a.over = true
	case step.Call == claim.CallUpdate:
		answer, _ := a.w.write(step)
		a.answer = func() { a.finish.Wrote(answer) }
	case a.w.down:
		a.finish.Unreadable()
	case !exists:
		a.finish.Missing()
	default:
		a.finish.Found(found.record, found.version)
	}
}
