package retention_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/config/retention"
)

// now is the current time of all schedules, by every clock.
var now = time.Unix(2_000_000_000, 0)

// actor is an operator or a remover.
type actor struct {
	// turn makes a call and stores its response, or handles the stored response. It
	// returns false once the actor has nothing left to do.
	turn func() bool
	// crash discards all state that is not in the store.
	crash func()
	// pausedTurns is the number of its own turns for which the actor stays paused.
	pausedTurns int
}

// simulation is one schedule: a store, and operators and removers that race on it.
type simulation struct {
	random *rand.Rand
	store  *store
	policy retention.Policy
	actors []*actor
	// head is the last head written. decodedCopies caches the decoded copies by key.
	head          config.Head
	decodedCopies map[string]config.Head
	// violation describes the object that was lost; "" if none was.
	violation string
	accepted  int
	results   map[retention.Outcome]int
	removed   retention.Result
	changes   int
}

// newSimulation returns a simulation with a template and some workspaces.
func newSimulation(seed uint64, mutated mutation) *simulation {
	random := rand.New(rand.NewPCG(seed, 2))
	w := &simulation{random: random, store: newStore(random), decodedCopies: map[string]config.Head{}, results: map[retention.Outcome]int{}}
	w.store.mutation = mutated
	w.store.afterWrite = w.check
	w.policy = retention.Policy{Revisions: 1 + random.IntN(2), Batch: 1 + random.IntN(4)}
	if random.IntN(6) == 0 {
		w.policy.Age = time.Hour
	}
	w.run(accept.New(w.request(config.Change{PutTemplates: []config.Template{template()}})))
	for range 4 {
		w.run(accept.New(w.request(w.change())))
	}
	w.store.faultPercent = []int{0, 2, 5, 20}[random.IntN(4)]
	for range 1 + random.IntN(2) {
		w.actors = append(w.actors, w.operator(3+random.IntN(5)))
	}
	for range 1 + random.IntN(2) {
		w.actors = append(w.actors, w.remover(1+random.IntN(4)))
	}
	return w
}

// template returns a valid template.
func template() config.Template {
	t := config.Template{Name: "p", DeadlineMS: 1000, MaxDeadlineMS: 5000}
	for _, name := range []string{"a", "b", "c"} {
		t.Stages = append(t.Stages, config.Stage{Name: name, Service: "s", Kind: config.KindPool})
	}
	return t
}

// change sets one of few workspaces, mostly the first, to one of few contents, or
// removes it, so that changes often need a part again that no head references any more.
func (w *simulation) change() config.Change {
	name := string(rune('p' + w.random.IntN(8)/7))
	if w.random.IntN(6) == 0 {
		return config.Change{RemoveWorkspaces: []string{name}}
	}
	return config.Change{PutWorkspaces: []config.Workspace{{Name: name, Weight: 1 + w.random.IntN(2), Pipelines: []string{"p"}}}}
}

// request returns a request with a new id, made within the last two hours.
func (w *simulation) request(c config.Change) accept.Request {
	w.changes++
	made := now.Add(-time.Duration(w.random.IntN(120)) * time.Minute)
	return accept.Request{ChangeID: fmt.Sprintf("id-%d", w.changes), Change: c, Time: made}
}

// run drives a change to its end without faults.
func (w *simulation) run(machine *accept.Machine) {
	for {
		if _, ended := machine.Result(); ended {
			return
		}
		machine.Handle(acceptReply(w.store.apply(acceptCall(machine.Next()))))
	}
}

// operator returns an actor that makes changes one after the other.
func (w *simulation) operator(changes int) *actor {
	var machine *accept.Machine
	var pending *response
	begin := func() {
		machine, pending = accept.New(w.request(w.change())), nil
		changes--
	}
	begin()
	turn := func() bool {
		result, ended := machine.Result()
		switch {
		case ended:
			if result.Outcome == accept.Accepted {
				w.accepted++
			}
			if changes <= 0 {
				return false
			}
			begin()
		case pending != nil:
			machine.Handle(acceptReply(*pending))
			pending = nil
		default:
			received := w.store.do(acceptCall(machine.Next()))
			pending = &received
		}
		return true
	}
	return &actor{turn: turn, crash: begin}
}

// remover returns an actor that makes passes one after the other.
func (w *simulation) remover(passes int) *actor {
	var machine *retention.Machine
	var pending *response
	begin := func() {
		machine, pending = retention.New(w.policy, now), nil
		passes--
	}
	begin()
	turn := func() bool {
		result, ended := machine.Result()
		switch {
		case ended:
			w.count(result)
			if passes <= 0 {
				return false
			}
			begin()
		case pending != nil:
			machine.Handle(removalReply(*pending))
			pending = nil
		default:
			received := w.store.do(removalCall(machine.Next()))
			pending = &received
		}
		return true
	}
	return &actor{turn: turn, crash: begin}
}

// count adds up the results of passes.
func (w *simulation) count(r retention.Result) {
	w.results[r.Outcome]++
	w.removed.Copies += r.Copies
	w.removed.Parts += r.Parts
	w.removed.Spared += r.Spared
}

// play gives turns to random actors until none is left, and then applies all delayed
// writes.
func (w *simulation) play() {
	for len(w.actors) > 0 && w.violation == "" {
		w.turn(w.random.IntN(len(w.actors)))
		if w.random.IntN(20) == 0 {
			w.store.applyDelayed()
		}
	}
	for len(w.store.delayed) > 0 && w.violation == "" {
		w.store.applyDelayed()
	}
}

// turn gives an actor a turn, unless it is paused. It may crash the actor first, or
// pause it for the following turns.
func (w *simulation) turn(i int) {
	a := w.actors[i]
	if a.pausedTurns > 0 && len(w.actors) > 1 {
		a.pausedTurns--
		return
	}
	switch w.random.IntN(150) {
	case 0:
		a.crash()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
		a.pausedTurns = w.random.IntN(60)
	}
	if !a.turn() {
		w.actors = append(w.actors[:i], w.actors[i+1:]...)
	}
}

// check verifies, after each write that may have violated it, that all parts and
// copies that the head and the kept copies reference exist.
func (w *simulation) check(c call) {
	if c.key == config.HeadKey {
		w.head, _ = config.DecodeHead(c.value)
	} else if c.kind != "delete" {
		return
	}
	if w.violation != "" || w.head.Revision == 0 {
		return
	}
	w.checkParts("the head", w.head)
	for head := w.head; head.Parent != "" && head.Revision > w.head.Oldest; {
		key := head.Parent
		if _, found := w.store.objects[key]; !found {
			w.violation = fmt.Sprintf("the copy %s does not exist, but revisions from %d on are kept", key, w.head.Oldest)
			return
		}
		head = w.copyAt(key)
		w.checkParts("the kept copy "+key, head)
	}
}

// checkParts verifies that all parts of a head exist.
func (w *simulation) checkParts(owner string, head config.Head) {
	for _, hash := range head.Parts() {
		if _, found := w.store.objects[config.PartKey(hash)]; !found {
			w.violation = fmt.Sprintf("%s at revision %d references part %s, which does not exist", owner, head.Revision, hash)
		}
	}
}

// copyAt returns the copy with the given key. Copies are cached, as they never change.
func (w *simulation) copyAt(key string) config.Head {
	head, known := w.decodedCopies[key]
	if !known {
		head, _ = config.DecodeHead(w.store.objects[key].Value)
		w.decodedCopies[key] = head
	}
	return head
}

// kept returns how many revisions the store keeps.
func (w *simulation) kept() core.Revision { return w.head.Revision + 1 - max(w.head.Oldest, 1) }
