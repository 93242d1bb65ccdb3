package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// began is when the requests of these tests were sent.
var began = time.Unix(1000, 0)

// served returns the outcome of a request that was served correctly.
func served(route string) Outcome {
	o := Outcome{ID: "r", Route: route, Key: platformfleet.Key, Sent: began, Ended: began.Add(time.Second),
		Status: 200, Body: "answer of r", Complete: true, Signed: true}
	if route == streamingRoute {
		o.Body = completeStream("r")
	}
	return o
}

// violationsOf returns the violations of one outcome whose request ran a number of times.
func violationsOf(o Outcome, runs int, e evidence) string {
	e.outcomes, e.runs = []Outcome{o}, map[string]int{}
	if runs > 0 {
		e.runs[o.ID] = runs
	}
	return strings.Join(e.violations(true), "; ")
}

// TestAPartOfAResponseIsNoViolation: a response whose end is not marked may end early.
func TestAPartOfAResponseIsNoViolation(t *testing.T) {
	for _, route := range []string{safeRoute, streamingRoute} {
		for length := range len(served(route).Body) {
			o := served(route)
			o.Complete, o.Body = false, o.Body[:length]
			assert.Equal(t, violationsOf(o, 1, evidence{}), "", o.Body)
		}
	}
}

// TestEachBrokenPromiseIsFound: each promise is broken in turn, so that a check that can't fail is
// noticed.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	revoked := evidence{revoked: began.Add(-revokeWithin - time.Second)}
	stopped := evidence{stops: []stop{{gateway: 0, at: began.Add(500 * time.Millisecond)}}}
	for _, test := range []struct {
		want   string
		runs   int
		change func(*Outcome)
		around evidence
		route  string
	}{
		{"ran 2 times", 2, func(*Outcome) {}, evidence{}, unsafeRoute},
		{"was refused and ran", 1, func(o *Outcome) { o.Status, o.Signed = 503, false }, evidence{}, unsafeRoute},
		{"was refused and ran", 1, func(o *Outcome) { o.Status, o.Signed = 429, false }, evidence{}, unsafeRoute},
		{"never ran", 0, func(*Outcome) {}, evidence{}, safeRoute},
		{"without a signature", 1, func(o *Outcome) { o.Signed = false }, evidence{}, safeRoute},
		{"another answer", 1, func(o *Outcome) { o.Body = "answer of q" }, evidence{}, safeRoute},
		{"a gap", 1, func(o *Outcome) { o.Body = strings.Replace(o.Body, "id: 3\ndata: r 3\n\n", "", 1) }, evidence{}, streamingRoute},
		{"a gap", 1, func(o *Outcome) { o.Body = o.Body[:strings.Index(o.Body, "id: 3")] }, evidence{}, streamingRoute},
		{"a repetition", 1, func(o *Outcome) { o.Complete, o.Body = false, "id: 1\ndata: r 1\n\nid: 1\n" }, evidence{}, streamingRoute},
		{"a repetition", 1, func(o *Outcome) { o.Complete, o.Body = false, "id: 2\ndata: r 2\n\n" }, evidence{}, streamingRoute},
		{"foreign bytes", 1, func(o *Outcome) { o.Complete, o.Body = false, "answer of q" }, evidence{}, safeRoute},
		{"allowed", 0, func(o *Outcome) { o.Status = 401 }, evidence{}, safeRoute},
		{"allowed", 0, func(o *Outcome) { o.Status = 404 }, evidence{}, safeRoute},
		{"key that had been taken away", 1, func(o *Outcome) { o.Key = spareKey }, revoked, safeRoute},
		{"planned stop", 1, func(o *Outcome) { o.Complete, o.Status = false, 0 }, stopped, safeRoute},
	} {
		o := served(test.route)
		assert.Equal(t, violationsOf(o, 1, evidence{}), "", test.route)
		test.change(&o)
		assert.Assert(t, strings.Contains(violationsOf(o, test.runs, test.around), test.want), "%s: %q", test.want, violationsOf(o, test.runs, test.around))
	}
	unknown := evidence{runs: map[string]int{"x": 1}}
	assert.Equal(t, len(unknown.violations(true)), 1)
	assert.Equal(t, len(unknown.violations(false)), 0, "the outcome may still be pending at its client")
	item := evidence{items: []worker.Item{{ID: "x", Key: "k"}}}
	assert.Equal(t, len(item.violations(true)), 1)
	assert.Equal(t, len(item.violations(false)), 0, "the outcome of its request may still be pending")
}

func TestWrongInputsOfStagesAreFound(t *testing.T) {
	e := evidence{itemByHandle: map[string]worker.Item{
		"a/1": {ID: "r", Stage: 0, Index: 0}, "a/2": {ID: "r", Stage: 0, Index: 1}, "a/3": {ID: "q", Stage: 0, Index: 1},
	}}
	assert.Equal(t, e.judgeItem(worker.Item{ID: "r", Stage: 1, Inputs: []string{"a/1", "a/2"}}), "")
	assert.Equal(t, e.judgeItem(worker.Item{ID: "r", Stage: 0, Key: "k"}), "")
	for _, inputs := range [][]string{{"a/1"}, {"a/1", "a/1"}, {"a/1", "a/3"}, {"a/1", "a/9"}, nil} {
		assert.Assert(t, e.judgeItem(worker.Item{ID: "r", Stage: 1, Inputs: inputs}) != "", "%v", inputs)
	}
	assert.Assert(t, e.judgeItem(worker.Item{Stage: 0, Key: "k"}) != "")
	assert.Assert(t, e.judgeItem(worker.Item{ID: "r", Stage: 0, Key: "other"}) != "")
}

func TestASeedGivesTheSameSteps(t *testing.T) {
	assert.DeepEqual(t, Plan(7, 40), Plan(7, 40))
	seen := map[Kind]bool{}
	for _, step := range Plan(7, 400) {
		seen[step.Kind] = true
		assert.Assert(t, step.At >= 0 && step.For >= shortestStep && step.For < longestStep, "%v", step)
	}
	assert.Equal(t, len(seen), len(kinds), "every kind must be drawn")
}
