package accept

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// The property test runs this number of schedules, in this number of parallel groups.
// Each run of the test plays the same schedules.
const (
	schedules = 10_000
	groups    = 12
)

// stages returns valid stages, none of which is an engine stage.
func stages() []config.Stage {
	var all []config.Stage
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, config.Stage{Name: name, Service: "s", Kind: config.KindPool})
	}
	return all
}

// template returns a valid template.
func template(name string, deadline int) config.Template {
	return config.Template{Name: name, DeadlineMS: deadline, MaxDeadlineMS: 5000, Stages: stages()}
}

// workspace returns a valid workspace that calls pipeline.
func workspace(name string, weight int, pipeline string) config.Workspace {
	return config.Workspace{Name: name, Weight: weight, Pipelines: []string{pipeline}}
}

// randomChange returns a change of one or two of a few items. Some changes are valid
// alone but not together: a workspace may call a template that another operator removes.
func randomChange(r *rand.Rand) config.Change {
	var c config.Change
	for range 1 + r.IntN(2) {
		name := string(rune('p' + r.IntN(3)))
		switch r.IntN(6) {
		case 0:
			c.PutTemplates = append(c.PutTemplates, template(name, 1000+r.IntN(3)))
		case 1:
			c.RemoveTemplates = append(c.RemoveTemplates, name)
		case 2, 3:
			c.PutWorkspaces = append(c.PutWorkspaces, workspace("w-"+name, 1+r.IntN(3), name))
		case 4:
			c.RemoveWorkspaces = append(c.RemoveWorkspaces, "w-"+name)
		case 5:
			c.Drain = append(c.Drain, "u-"+name)
		}
	}
	return c
}

// operator is one run of the protocol in a schedule.
type operator struct {
	request Request
	machine *Machine
	crashed bool
	// inFlight is the reply to a call that was made, but that the machine has not handled.
	inFlight *Reply
}

// ended reports whether the operator takes no more steps.
func (o *operator) ended() bool {
	_, done := o.machine.Result()
	return o.crashed || done
}

// simulation is one schedule: a store and the operators that race on it.
type simulation struct {
	random    *rand.Rand
	store     *fakeStore
	operators []*operator
	// first is the change that created the first configuration.
	first config.Change
}

// newSimulation returns a store with a first configuration, and some operators.
func newSimulation(seed uint64, operators, faultPercent int) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &simulation{random: random, store: &fakeStore{random: random, objects: map[string]fakeObject{}}}
	first := config.Change{PutTemplates: []config.Template{template("p", 1000), template("q", 1000), template("r", 1000)}}
	drive(w.store, Request{ChangeID: "first", Change: first})
	w.first = first
	w.store.faultPercent = faultPercent
	for i := range operators {
		request := Request{ChangeID: fmt.Sprintf("id-%d", i), Change: randomChange(random)}
		w.operators = append(w.operators, &operator{request: request, machine: New(request)})
	}
	return w
}

// turn lets one operator make a call, handle a reply, or crash in between.
func (w *simulation) turn(o *operator) {
	if w.random.IntN(100) < 1 {
		o.crashed = true
		return
	}
	if o.inFlight != nil {
		o.machine.Handle(*o.inFlight)
		o.inFlight = nil
		return
	}
	reply := w.store.call(o.machine.Next())
	o.inFlight = &reply
}

// run gives turns to random operators until all have ended, and then applies all
// delayed writes.
func (w *simulation) run() {
	for {
		running := slices.DeleteFunc(slices.Clone(w.operators), (*operator).ended)
		if len(running) == 0 {
			break
		}
		w.turn(running[w.random.IntN(len(running))])
		if w.random.IntN(4) == 0 {
			w.store.applyDelayed()
		}
	}
	for len(w.store.delayed) > 0 {
		w.store.applyDelayed()
	}
}

// chain returns the accepted heads in order of revision. It fails the test if the copy
// of a head is missing.
func (w *simulation) chain(t *testing.T) []config.Head {
	var heads []config.Head
	object, found := w.store.objects[config.HeadKey]
	for found {
		head, err := config.DecodeHead(object.value)
		assert.NilError(t, err)
		heads = append(heads, head)
		if head.Parent == "" {
			break
		}
		object, found = w.store.objects[head.Parent]
		assert.Assert(t, found, "no copy of %s", head.Parent)
	}
	slices.Reverse(heads)
	return heads
}

// load returns the snapshot of a head, with all parts loaded.
func (w *simulation) load(t *testing.T, head config.Head) *config.Snapshot {
	snapshot := config.NewUnloaded(head, config.Empty())
	for _, hash := range snapshot.Missing() {
		loaded, err := snapshot.WithPart(hash, w.store.objects[config.PartKey(hash)].value)
		assert.NilError(t, err)
		snapshot = loaded
	}
	return snapshot
}

// verify checks the invariants that must hold after a schedule.
func (w *simulation) verify(t *testing.T) {
	heads := w.chain(t)
	assert.Equal(t, len(heads), w.store.headWrites, "a written head is not in the chain")
	count := map[string]int{}
	before := config.Empty()
	snapshots := []*config.Snapshot{before}
	for i, head := range heads {
		assert.Equal(t, head.Revision, core.Revision(i+1))
		count[head.ChangeID]++
		after := w.load(t, head)
		assert.Equal(t, len(after.Validate()), 0, "an invalid configuration was accepted")
		w.verifyStep(t, before, after)
		before = after
		snapshots = append(snapshots, after)
	}
	for _, o := range w.operators {
		verifyOutcome(t, o, count[o.request.ChangeID])
		verifyNothingOverwritten(t, o, snapshots)
	}
}

// verifyStep checks that a change touched only the items that its operator requested.
func (w *simulation) verifyStep(t *testing.T, before, after *config.Snapshot) {
	requested := w.requestedChange(after.ChangeID())
	touched := config.Compare(before, after)
	for _, item := range touched.Items() {
		assert.Assert(t, slices.Contains(requested.Items(), item), "%v was not requested", item)
	}
	assert.Equal(t, len(config.Overlap(requested, touched)), 0, "the content differs from the request: requested %+v, got %+v", requested, touched)
}

// requestedChange returns the change that an operator requested.
func (w *simulation) requestedChange(changeID string) config.Change {
	for _, o := range w.operators {
		if o.request.ChangeID == changeID {
			return o.request.Change
		}
	}
	return w.first
}

// verifyOutcome checks the outcome reported to an operator against the accepted heads.
func verifyOutcome(t *testing.T, o *operator, accepted int) {
	assert.Assert(t, accepted <= 1, "%s was accepted %d times", o.request.ChangeID, accepted)
	if o.crashed {
		return
	}
	result, _ := o.machine.Result()
	switch result.Outcome {
	case Accepted:
		assert.Equal(t, accepted, 1, "reported as accepted")
	case Ambiguous:
	case Failed:
		t.Fatalf("the protocol broke: %s", result.Detail)
	default:
		assert.Equal(t, accepted, 0, "reported as %s", result.Outcome)
	}
}

// TestRacingOperatorsUnderFaults runs schedules of racing operators with crashes at any
// step, lost calls, lost responses and delayed writes.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	seen := &tally{outcomes: map[Outcome]int{}}
	t.Run("schedules", func(t *testing.T) {
		for group := range uint64(groups) {
			t.Run(fmt.Sprint(group), func(t *testing.T) {
				t.Parallel()
				for seed := group; seed < schedules; seed += groups {
					seen.add(runSchedule(t, seed))
				}
			})
		}
	})
	t.Logf("%d schedules; outcomes: %v", seen.schedules, seen.outcomes)
	assert.Equal(t, seen.schedules, schedules)
	for _, want := range []Outcome{Accepted, Unchanged, Conflict, Invalid, Unavailable, Ambiguous} {
		assert.Assert(t, seen.outcomes[want] > 0, "no schedule ended as %s", want)
	}
}

// runSchedule runs the schedule of a seed and verifies the end state.
func runSchedule(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 2))
	operators, faultPercent := 1+random.IntN(5), random.IntN(81)
	defer func() {
		if t.Failed() {
			t.Logf("schedule %d: %d operators, %d%% faults", seed, operators, faultPercent)
		}
	}()
	w := newSimulation(seed, operators, faultPercent)
	w.run()
	w.verify(t)
	return w
}

// verifyNothingOverwritten checks that an accepted change replaced no item that others
// had changed since its base. Snapshots are in order of revision.
func verifyNothingOverwritten(t *testing.T, o *operator, snapshots []*config.Snapshot) {
	result, _ := o.machine.Result()
	if result.Outcome != Accepted {
		return
	}
	base, before := snapshots[result.Base], snapshots[result.Revision-1]
	mine := config.Compare(base, base.Change(o.request.Change, 0, ""))
	assert.Equal(t, len(config.Overlap(mine, config.Compare(base, before))), 0, "another operator's change was overwritten")
}

// tally counts the outcomes of the schedules.
type tally struct {
	mu        sync.Mutex
	schedules int
	outcomes  map[Outcome]int
}

func (c *tally) add(w *simulation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedules++
	for _, o := range w.operators {
		result, _ := o.machine.Result()
		c.outcomes[result.Outcome]++
	}
}

// drive runs a machine to its end against a store without faults.
func drive(s *fakeStore, request Request) Result {
	machine := New(request)
	for {
		if result, done := machine.Result(); done {
			return result
		}
		machine.Handle(s.apply(machine.Next()))
	}
}

// newReliableStore returns a store without faults that holds a template and a workspace.
func newReliableStore(t *testing.T) *fakeStore {
	s := &fakeStore{objects: map[string]fakeObject{}}
	first := config.Change{PutTemplates: []config.Template{template("p", 1000)}, PutWorkspaces: []config.Workspace{workspace("w", 1, "p")}}
	assert.Equal(t, drive(s, Request{ChangeID: "first", Change: first}).Outcome, Accepted)
	return s
}

// headOf returns the head in force.
func headOf(t *testing.T, s *fakeStore) *config.Head {
	head, err := config.DecodeHead(s.objects[config.HeadKey].value)
	assert.NilError(t, err)
	return &head
}

func TestAChangeFromAnOlderRevisionIsMergedOrNamesTheConflict(t *testing.T) {
	s := newReliableStore(t)
	base := headOf(t, s)
	theirs := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2, "p")}}
	assert.Equal(t, drive(s, Request{ChangeID: "theirs", Author: "ana", Change: theirs}).Outcome, Accepted)

	other := config.Change{PutWorkspaces: []config.Workspace{workspace("v", 1, "p")}}
	merged := drive(s, Request{ChangeID: "other", Change: other, Base: base})
	assert.Equal(t, merged.Outcome, Accepted)
	assert.Equal(t, merged.Revision, core.Revision(3))

	same := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 3, "p")}}
	conflict := drive(s, Request{ChangeID: "same", Change: same, Base: base})
	assert.Equal(t, conflict.Outcome, Conflict)
	assert.DeepEqual(t, conflict.Items, []config.Item{{Kind: "workspace", Name: "w"}})
	assert.Equal(t, conflict.Other.Revision, core.Revision(3))
}

func TestChangesThatAreValidAloneButNotTogetherConflict(t *testing.T) {
	s := newReliableStore(t)
	assert.Equal(t, drive(s, Request{ChangeID: "q", Change: config.Change{PutTemplates: []config.Template{template("q", 1000)}}}).Outcome, Accepted)
	base := headOf(t, s)
	assert.Equal(t, drive(s, Request{ChangeID: "theirs", Change: config.Change{RemoveTemplates: []string{"q"}}}).Outcome, Accepted)
	result := drive(s, Request{ChangeID: "mine", Change: config.Change{PutWorkspaces: []config.Workspace{workspace("v", 1, "q")}}, Base: base})
	assert.Equal(t, result.Outcome, Conflict)
	assert.DeepEqual(t, result.Items, []config.Item{{Kind: "template", Name: "q"}})
	assert.Equal(t, len(result.Problems), 1)
}

func TestALostResponseIsSettledAfterLaterChanges(t *testing.T) {
	s := newReliableStore(t)
	machine := New(Request{ChangeID: "mine", Change: config.Change{Drain: []string{"u"}}})
	for machine.state.State() != stateAccepting {
		machine.Handle(s.apply(machine.Next()))
	}
	s.apply(machine.Next())
	for i := range 3 {
		c := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2+i, "p")}}
		assert.Equal(t, drive(s, Request{ChangeID: fmt.Sprint("later", i), Change: c}).Outcome, Accepted)
	}
	machine.Handle(Reply{Code: fault.Ambiguous})
	for {
		if _, done := machine.Result(); done {
			break
		}
		machine.Handle(s.apply(machine.Next()))
	}
	result, _ := machine.Result()
	assert.Equal(t, result.Outcome, Accepted)
	assert.Equal(t, result.Revision, core.Revision(2))
}

// reads runs a request on a store without faults and returns the keys that it read. It
// checks that the calls returned by Concurrent begin with the one returned by Next.
func reads(t *testing.T, s *fakeStore, request Request) []string {
	machine := New(request)
	var keys []string
	for {
		result, done := machine.Result()
		if done {
			assert.Equal(t, result.Outcome, Accepted, result.Detail)
			return keys
		}
		action := machine.Next()
		if concurrent := machine.Concurrent(); len(concurrent) > 0 {
			assert.Equal(t, concurrent[0].Key, action.Key)
		}
		if action.Kind == ActionGet {
			keys = append(keys, action.Key)
		}
		machine.Handle(s.apply(action))
	}
}

func TestAChangeReadsOnlyWhatItCanBreak(t *testing.T) {
	s := newReliableStore(t)
	for i := range 20 {
		c := config.Change{PutWorkspaces: []config.Workspace{workspace(fmt.Sprint("w", i), 1, "p")}}
		assert.Equal(t, drive(s, Request{ChangeID: fmt.Sprint("w", i), Change: c}).Outcome, Accepted)
	}
	shards := len(headOf(t, s).Shards) - strings.Count(string(headOf(t, s).Encode()), `""`)
	drain := config.Change{Drain: []string{"u"}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "drain", Change: drain})), 2, "head and templates")
	one := config.Change{PutWorkspaces: []config.Workspace{workspace("w1", 2, "p")}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "one", Change: one})), 3, "head, templates and a shard")
	templateChange := config.Change{PutTemplates: []config.Template{template("p", 2000)}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "shape", Change: templateChange})), 2+shards, "head, templates and all shards")
}
