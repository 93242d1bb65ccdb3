package quarantine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/platform/store"
)

// trialStore keeps the objects of trials, as the published protocol of the platform's store says.
type trialStore struct {
	t  *testing.T
	mu sync.Mutex
	// specs are the objects by their names.
	specs map[string]json.RawMessage
	// loseAnswers lets the store carry out writes and drop their answers, away lets it answer nothing.
	loseAnswers, away bool
}

// storedObject is an object on the wire.
type storedObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// ServeHTTP implements http.Handler.
func (s *trialStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	name := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/objects/"+TrialKind), "/")
	if r.Method == http.MethodGet && name == "" {
		assert.Check(s.t, json.NewEncoder(w).Encode(s.list()))
		return
	}
	var asked storedObject
	if r.Method == http.MethodPost {
		assert.Check(s.t, json.NewDecoder(r.Body).Decode(&asked))
		name = asked.Metadata.Name
	}
	spec, there := s.specs[name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && there:
		status = http.StatusConflict
	case r.Method == http.MethodPost:
		spec = asked.Spec
		s.specs[name] = spec
	case !there:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		delete(s.specs, name)
	}
	if s.loseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	assert.Check(s.t, json.NewEncoder(w).Encode(stored(name, spec)))
}

// stored returns an object as the store keeps it.
func stored(name string, spec json.RawMessage) storedObject {
	object := storedObject{Spec: spec}
	object.Metadata.Name, object.Metadata.Revision = name, 1
	return object
}

// storedList is a list on the wire.
type storedList struct {
	Items []storedObject `json:"items"`
}

// list returns all objects.
func (s *trialStore) list() storedList {
	list := storedList{Items: []storedObject{}}
	for name, spec := range s.specs {
		list.Items = append(list.Items, stored(name, spec))
	}
	return list
}

// set changes how the store behaves.
func (s *trialStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// learnedBefore is how long the guards of these tests know of crashes: above the wait for the first trial of a request
// that ran well before, and below the time for which an upstream that crashed gets none.
const learnedBefore = 2 * time.Second

// guards returns the guards of gateways before one store that know of two crashes of a request.
func guards(t *testing.T, count int) ([]*Guard, *trialStore) {
	kept := &trialStore{t: t, specs: make(map[string]json.RawMessage)}
	server := httptest.NewServer(kept)
	t.Cleanup(server.Close)
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	var list []*Guard
	for i := range count {
		g := New(Options{Name: "g" + string(rune('1'+i)), Incarnation: "first", Life: t.Context(),
			Store:  func() *store.Client { return store.New(strings.TrimPrefix(server.URL, "http://")) },
			Logger: logger, Scope: tally.NoopScope})
		refuse(g, "u1", "u2")
		list = append(list, g)
	}
	return list, kept
}

// refuse lets a guard know of crashes of its request.
func refuse(g *Guard, upstreams ...string) {
	for _, upstream := range upstreams {
		crash := core.Crash{Request: crashing, Upstream: upstream}
		g.book.Suspect(crash, clock.Boot()-learnedBefore)
		g.book.Confirm(crash, clock.Boot()-learnedBefore)
	}
}

// crashing is the request of these tests.
var crashing = fingerprint.Of(fingerprint.Request{Target: "/crashing"})

// ask asks for the first trial.
func ask(t *testing.T, g *Guard) bool {
	return g.beginTrial(context.WithoutCancel(t.Context()), crashing, 1, "attempt")
}

func TestOneGatewayMakesATrial(t *testing.T) {
	list, _ := guards(t, 2)
	assert.Assert(t, ask(t, list[0]))
	assert.Assert(t, !ask(t, list[1]))
	assert.Assert(t, !ask(t, list[0]), "it has made it")
	assert.Equal(t, list[1].book.TrialsOf(crashing), 1)
}

// TestATrialWhoseAnswerWasLostIsMadeLater: it would be used up and never sent.
func TestATrialWhoseAnswerWasLostIsMadeLater(t *testing.T) {
	list, kept := guards(t, 2)
	kept.set(func() { kept.loseAnswers = true })
	assert.Assert(t, !ask(t, list[0]))
	kept.set(func() { kept.loseAnswers = false })
	assert.Assert(t, !ask(t, list[1]), "the first one holds it")
	assert.Assert(t, ask(t, list[0]))
	assert.Assert(t, !ask(t, list[0]))
}

func TestATrialOfAnEarlierStartIsNotMadeAgain(t *testing.T) {
	list, _ := guards(t, 1)
	assert.Assert(t, ask(t, list[0]))
	list[0].options.Incarnation = "second"
	list[0].taken = make(map[string]bool)
	assert.Assert(t, !ask(t, list[0]))
}

// TestATrialThatCouldNotBeRemovedTakesNoneLater: the store was away when its request was cleared.
func TestATrialThatCouldNotBeRemovedTakesNoneLater(t *testing.T) {
	list, kept := guards(t, 1)
	g := list[0]
	assert.Assert(t, ask(t, g))
	kept.set(func() { kept.away = true })
	g.book.Completed(crashing, clock.Boot())
	refuse(g, "u3", "u4")
	kept.set(func() { kept.away = false })
	assert.Assert(t, !ask(t, g), "this call removes it")
	assert.Assert(t, ask(t, g))
	assert.Assert(t, !ask(t, g))
}

func TestATrialThatNobodyCanReadIsNotMade(t *testing.T) {
	list, kept := guards(t, 1)
	kept.specs[trialName(crashing, 1)] = json.RawMessage(`7`)
	assert.Assert(t, !ask(t, list[0]))
}

// TestATrialIsNotSentToAStartThatEndedAMomentAgo: discovery still lists it, and the trial would be lost.
func TestATrialIsNotSentToAStartThatEndedAMomentAgo(t *testing.T) {
	list, kept := guards(t, 1)
	g := list[0]
	g.book.Reset(map[string]core.Record{"g2": {Proven: []fingerprint.Fingerprint{crashing}}}, clock.Boot())
	check := func(runs bool) (Pass, *Refusal) {
		return g.Check(t.Context(), Attempt{Request: crashing, ID: "attempt", Runs: func(ended []string) bool {
			assert.DeepEqual(t, ended, []string{"u1", "u2"})
			return runs
		}})
	}
	assert.Equal(t, g.judge(crashing).Trial, 1)
	_, refusal := check(false)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, len(kept.specs), 0, "it is not used up")
	pass, refusal := check(true)
	assert.Assert(t, refusal == nil)
	assert.DeepEqual(t, pass.Ended, []string{"u1", "u2"})
}

// TestATrialThatDidNotRunIsMadeAgain: a request that all clients send would be refused until the next one.
func TestATrialThatDidNotRunIsMadeAgain(t *testing.T) {
	for _, c := range []struct{ proven, reached, again bool }{{false, false, true}, {false, true, false}, {true, false, true}, {true, true, true}} {
		list, _ := guards(t, 2)
		if c.proven {
			list[0].book.Take("g2", core.Record{Proven: []fingerprint.Fingerprint{crashing}}, clock.Boot())
		}
		assert.Assert(t, ask(t, list[0]))
		list[0].Return(crashing, "attempt", Pass{trial: 1, crashes: 2}, c.reached)
		assert.Equal(t, list[0].book.TrialsOf(crashing) == 0, c.again)
		assert.Assert(t, !ask(t, list[1]), "the first one holds it")
		assert.Equal(t, ask(t, list[0]), c.again, "%+v", c)
		assert.Assert(t, !ask(t, list[0]))
	}
}

func TestARequestWithoutATrialReturnsNone(t *testing.T) {
	list, _ := guards(t, 1)
	assert.Assert(t, ask(t, list[0]))
	list[0].Return(crashing, "attempt", Pass{}, false)
	assert.Equal(t, list[0].book.TrialsOf(crashing), 1)
}
