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

// schedules is how many the property test runs, and parts in how many parallel
// parts. Every run plays the same ones.
const (
	schedules = 10_000
	parts     = 12
)

// stages returns sound stages without an engine.
func stages() []config.Stage {
	var all []config.Stage
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, config.Stage{Name: name, Service: "s", Kind: config.KindPool})
	}
	return all
}

// template returns a sound template.
func template(name string, deadline int) config.Template {
	return config.Template{Name: name, DeadlineMS: deadline, MaxDeadlineMS: 5000, Stages: stages()}
}

// workspace returns a sound workspace that calls pipeline.
func workspace(name string, weight int, pipeline string) config.Workspace {
	return config.Workspace{Name: name, Weight: weight, Pipelines: []string{pipeline}}
}

// randomChange touches one or two of a handful of things. Some are invalid
// together: a workspace may call a template that another operator removes.
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
	// inFlight is the call that was made but not yet answered to the machine.
	inFlight *Reply
}

// ended tells whether the operator takes no more steps.
func (o *operator) ended() bool {
	_, done := o.machine.Result()
	return o.crashed || done
}

// world is one schedule: a store and the operators that race on it.
type world struct {
	random    *rand.Rand
	store     *fakeStore
	operators []*operator
	// first is the change that made the first configuration.
	first config.Change
}

// newWorld returns a store with a first configuration and some operators.
func newWorld(seed uint64, operators, trouble int) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &world{random: random, store: &fakeStore{random: random, objects: map[string]fakeObject{}}}
	first := config.Change{PutTemplates: []config.Template{template("p", 1000), template("q", 1000), template("r", 1000)}}
	drive(w.store, Request{ChangeID: "first", Change: first})
	w.first = first
	w.store.trouble = trouble
	for i := range operators {
		request := Request{ChangeID: fmt.Sprintf("id-%d", i), Change: randomChange(random)}
		w.operators = append(w.operators, &operator{request: request, machine: New(request)})
	}
	return w
}

// turn lets one operator make a call, take an answer, or crash in between.
func (w *world) turn(o *operator) {
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

// run takes turns in a random order until all operators have ended, and then lets
// every late write land.
func (w *world) run() {
	for {
		running := slices.DeleteFunc(slices.Clone(w.operators), (*operator).ended)
		if len(running) == 0 {
			break
		}
		w.turn(running[w.random.IntN(len(running))])
		if w.random.IntN(4) == 0 {
			w.store.land()
		}
	}
	for len(w.store.late) > 0 {
		w.store.land()
	}
}

// chain returns the accepted heads, the first one first. It fails the test if a
// head or a part that it names is missing.
func (w *world) chain(t *testing.T) []config.Head {
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

// load returns the snapshot of a head.
func (w *world) load(t *testing.T, head config.Head) *config.Snapshot {
	snapshot := config.Outline(head, config.Empty())
	for _, hash := range snapshot.Missing() {
		loaded, err := snapshot.WithPart(hash, w.store.objects[config.PartKey(hash)].value)
		assert.NilError(t, err)
		snapshot = loaded
	}
	return snapshot
}

// verify checks everything that must hold after a schedule.
func (w *world) verify(t *testing.T) {
	heads := w.chain(t)
	assert.Equal(t, len(heads), w.store.headMoves, "a head is not in the chain")
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

// verifyStep checks that a change touched nothing but what its operator asked for.
func (w *world) verifyStep(t *testing.T, before, after *config.Snapshot) {
	asked := w.asked(after.ChangeID())
	touched := config.Compare(before, after)
	for _, item := range touched.Items() {
		assert.Assert(t, slices.Contains(asked.Items(), item), "%v was not asked for", item)
	}
	assert.Equal(t, len(config.Overlap(asked, touched)), 0, "another content than asked for: %+v became %+v", asked, touched)
}

// asked returns what the operator of a change asked for.
func (w *world) asked(changeID string) config.Change {
	for _, o := range w.operators {
		if o.request.ChangeID == changeID {
			return o.request.Change
		}
	}
	return w.first
}

// verifyOutcome checks what an operator was told against what happened.
func verifyOutcome(t *testing.T, o *operator, accepted int) {
	assert.Assert(t, accepted <= 1, "%s was accepted %d times", o.request.ChangeID, accepted)
	if o.crashed {
		return
	}
	result, _ := o.machine.Result()
	switch result.Outcome {
	case Accepted:
		assert.Equal(t, accepted, 1, "told accepted")
	case Ambiguous:
	case Failed:
		t.Fatalf("the protocol broke: %s", result.Detail)
	default:
		assert.Equal(t, accepted, 0, "told %s", result.Outcome)
	}
}

// TestRacingOperatorsUnderFaults runs schedules of racing operators, crashes at
// every step, lost calls, lost answers and late writes.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	seen := &tally{outcomes: map[Outcome]int{}}
	t.Run("schedules", func(t *testing.T) {
		for part := range uint64(parts) {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < schedules; seed += parts {
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

// runSchedule runs the schedule of a seed and verifies the end.
func runSchedule(t *testing.T, seed uint64) *world {
	shape := rand.New(rand.NewPCG(seed, 2))
	operators, trouble := 1+shape.IntN(5), shape.IntN(81)
	defer func() {
		if t.Failed() {
			t.Logf("schedule %d: %d operators, %d%% trouble", seed, operators, trouble)
		}
	}()
	w := newWorld(seed, operators, trouble)
	w.run()
	w.verify(t)
	return w
}

// verifyNothingOverwritten checks that an accepted change replaced nothing that
// others had changed since its base. Snapshots are in order of revision.
func verifyNothingOverwritten(t *testing.T, o *operator, snapshots []*config.Snapshot) {
	result, _ := o.machine.Result()
	if result.Outcome != Accepted {
		return
	}
	base, before := snapshots[result.Base], snapshots[result.Revision-1]
	mine := config.Compare(base, base.Change(o.request.Change, 0, ""))
	assert.Equal(t, len(config.Overlap(mine, config.Compare(base, before))), 0, "a change of others was overwritten")
}

// tally counts what the schedules did.
type tally struct {
	mu        sync.Mutex
	schedules int
	outcomes  map[Outcome]int
}

// add counts one schedule.
func (c *tally) add(w *world) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedules++
	for _, o := range w.operators {
		result, _ := o.machine.Result()
		c.outcomes[result.Outcome]++
	}
}

// drive runs a machine to its end against a store without trouble.
func drive(s *fakeStore, request Request) Result {
	machine := New(request)
	for {
		if result, done := machine.Result(); done {
			return result
		}
		machine.Handle(s.apply(machine.Next()))
	}
}

// quiet returns a store without trouble that holds a template and a workspace.
func quiet(t *testing.T) *fakeStore {
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
	s := quiet(t)
	base := headOf(t, s)
	theirs := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 2, "p")}}
	assert.Equal(t, drive(s, Request{ChangeID: "theirs", Author: "ana", Change: theirs}).Outcome, Accepted)

	other := config.Change{PutWorkspaces: []config.Workspace{workspace("v", 1, "p")}}
	merged := drive(s, Request{ChangeID: "other", Change: other, Base: base})
	assert.Equal(t, merged.Outcome, Accepted)
	assert.Equal(t, merged.Revision, core.Revision(3))

	same := config.Change{PutWorkspaces: []config.Workspace{workspace("w", 3, "p")}}
	clash := drive(s, Request{ChangeID: "same", Change: same, Base: base})
	assert.Equal(t, clash.Outcome, Conflict)
	assert.DeepEqual(t, clash.Items, []config.Item{{Kind: "workspace", Name: "w"}})
	assert.Equal(t, clash.Other.Revision, core.Revision(3))
}

func TestChangesThatAreSoundAloneButNotTogetherConflict(t *testing.T) {
	s := quiet(t)
	assert.Equal(t, drive(s, Request{ChangeID: "q", Change: config.Change{PutTemplates: []config.Template{template("q", 1000)}}}).Outcome, Accepted)
	base := headOf(t, s)
	assert.Equal(t, drive(s, Request{ChangeID: "theirs", Change: config.Change{RemoveTemplates: []string{"q"}}}).Outcome, Accepted)
	result := drive(s, Request{ChangeID: "mine", Change: config.Change{PutWorkspaces: []config.Workspace{workspace("v", 1, "q")}}, Base: base})
	assert.Equal(t, result.Outcome, Conflict)
	assert.DeepEqual(t, result.Items, []config.Item{{Kind: "template", Name: "q"}})
	assert.Equal(t, len(result.Problems), 1)
}

func TestALostAnswerIsSettledBehindLaterChanges(t *testing.T) {
	s := quiet(t)
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

// reads runs a request on a quiet store and returns the keys that it read. It
// checks that what may be called ahead begins with the call that is next.
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
		if ahead := machine.Ahead(); len(ahead) > 0 {
			assert.Equal(t, ahead[0].Key, action.Key)
		}
		if action.Kind == ActionGet {
			keys = append(keys, action.Key)
		}
		machine.Handle(s.apply(action))
	}
}

func TestAChangeReadsOnlyWhatItCanBreak(t *testing.T) {
	s := quiet(t)
	for i := range 20 {
		c := config.Change{PutWorkspaces: []config.Workspace{workspace(fmt.Sprint("w", i), 1, "p")}}
		assert.Equal(t, drive(s, Request{ChangeID: fmt.Sprint("w", i), Change: c}).Outcome, Accepted)
	}
	shards := len(headOf(t, s).Shards) - strings.Count(string(headOf(t, s).Encode()), `""`)
	drain := config.Change{Drain: []string{"u"}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "drain", Change: drain})), 2, "head and templates")
	one := config.Change{PutWorkspaces: []config.Workspace{workspace("w1", 2, "p")}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "one", Change: one})), 3, "head, templates and a shard")
	shape := config.Change{PutTemplates: []config.Template{template("p", 2000)}}
	assert.Equal(t, len(reads(t, s, Request{ChangeID: "shape", Change: shape})), 2+shards, "head, templates and all shards")
}
