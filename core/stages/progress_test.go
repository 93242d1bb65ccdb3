package stages

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
)

// graph has one stage beside a chain of three stages.
var graph = []routes.Stage{{Service: "a"}, {Service: "a"}, {Service: "b", After: []int{1}}, {Service: "c", After: []int{2}}}

func TestStagesStartWhenTheirInputsAreDone(t *testing.T) {
	p := New(graph, []int{1, 1, 2, 1})
	assert.DeepEqual(t, p.Start(), []int{0, 1})
	assert.Assert(t, p.Start() == nil)
	p.Finish(1, []string{"r1"})
	assert.DeepEqual(t, p.Start(), []int{2})
	assert.DeepEqual(t, p.Inputs(2), []string{"r1"})
	p.Finish(2, []string{"r2", "r3"})
	assert.DeepEqual(t, p.Start(), []int{3})
	assert.DeepEqual(t, p.Inputs(3), []string{"r2", "r3"})
	p.Finish(3, []string{"r4"})
	assert.Assert(t, !p.Done())
	p.Finish(0, []string{"r0"})
	assert.Assert(t, p.Done())
	assert.DeepEqual(t, p.Final(), []string{"r0", "r4"})
}

func TestStagesWithoutItemsAreSkipped(t *testing.T) {
	p := New(graph, []int{0, 1, 0, 1})
	assert.DeepEqual(t, p.Start(), []int{1, 3})
	p.Finish(1, []string{"r1"})
	p.Finish(3, []string{"r3"})
	assert.DeepEqual(t, p.Final(), []string{"r3"})
}

func TestResultsAreReturnedAsUnneededOnceAndOnlyWhenRead(t *testing.T) {
	p := New(graph, []int{1, 1, 1, 1})
	p.Start()
	p.Finish(1, []string{"r1"})
	assert.Assert(t, p.TakeUnneeded(false) == nil)
	p.MarkInputsRead(2)
	assert.DeepEqual(t, p.TakeUnneeded(false), []int{1})
	assert.Assert(t, p.TakeUnneeded(false) == nil)
	p.Finish(0, []string{"r0"})
	assert.Assert(t, p.TakeUnneeded(false) == nil, "the request itself needs the final results")
	assert.DeepEqual(t, p.TakeUnneeded(true), []int{0})
}

func TestCriticalPathIsTheLongestPath(t *testing.T) {
	p := New(graph, []int{1, 1, 1, 0})
	each := func(int) time.Duration { return time.Second }
	assert.Equal(t, p.CriticalPath(1, each), 2*time.Second)
	assert.Equal(t, p.CriticalPathAfter(1, each), time.Second)
	assert.Equal(t, p.CriticalPath(0, each), time.Second)
	assert.Equal(t, p.Remaining(each), 2*time.Second)
	assert.Assert(t, p.IsLast(0) && p.IsLast(3) && !p.IsLast(1))
}

// TestFollowingStagesAreThoseThatStillUseAPool guards against tasks that carry no estimate of a
// pool further along their chain, or one of a stage that is skipped.
func TestFollowingStagesAreThoseThatStillUseAPool(t *testing.T) {
	graph := []routes.Stage{{}, {}, {After: []int{0}}, {After: []int{1, 2}}}
	assert.DeepEqual(t, New(graph, []int{1, 1, 1, 1}).Following(0), []int{2, 3})
	assert.DeepEqual(t, New(graph, []int{1, 1, 0, 1}).Following(0), []int{3})
	assert.Equal(t, len(New(graph, []int{1, 1, 1, 1}).Following(3)), 0)
}
