package gate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// backloggedFlow is a workspace that always has attempts waiting.
type backloggedFlow struct {
	workspace string
	weight    int
	maxCost   float64
	served    float64
}

// push adds one attempt of the flow to the queue.
func (f *backloggedFlow) push(t *rapid.T, q *queue, sequence uint64) {
	cost := float64(rapid.IntRange(1, 10).Draw(t, "cost"))
	f.maxCost = max(f.maxCost, cost)
	q.push(&record{workspace: f.workspace, weight: f.weight, cost: cost, sequence: sequence})
}

func TestSharesOfBackloggedWorkspacesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(defaultStarvationTurns)
		flows := map[string]*backloggedFlow{}
		sequence := uint64(0)
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			f := &backloggedFlow{workspace: fmt.Sprint(i), weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			flows[f.workspace] = f
			for range 2 {
				sequence++
				f.push(t, q, sequence)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			r := q.pop()
			f := flows[r.workspace]
			f.served += r.cost
			sequence++
			f.push(t, q, sequence)
		}
		for _, a := range flows {
			for _, b := range flows {
				checkShares(t, a, b)
			}
		}
	})
}

// checkShares checks the bound of start-time fair queueing for two workspaces that
// always have attempts waiting: their served cost over weight differs by no more than
// one largest attempt of each.
func checkShares(t *rapid.T, a, b *backloggedFlow) {
	weightA, weightB := float64(a.weight), float64(b.weight)
	gap := a.served/weightA - b.served/weightB
	if bound := a.maxCost/weightA + b.maxCost/weightB; gap > bound+1e-9 {
		t.Fatalf("workspaces %+v and %+v differ by %v, bound %v", a, b, gap, bound)
	}
}

func TestNewWorkspaceWaitsForNoMoreThanOneAttemptOfEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(defaultStarvationTurns)
		others := rapid.IntRange(1, 4).Draw(t, "workspaces")
		sequence := uint64(0)
		for i := range others {
			f := &backloggedFlow{workspace: fmt.Sprint(i), weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			for range 30 {
				sequence++
				f.push(t, q, sequence)
			}
		}
		for range rapid.IntRange(0, 25).Draw(t, "turns") {
			q.pop()
		}
		newcomer := &backloggedFlow{workspace: "new", weight: 1}
		newcomer.push(t, q, sequence+1)
		for range others {
			if q.pop().workspace == "new" {
				return
			}
		}
		if r := q.pop(); r.workspace != "new" {
			t.Fatalf("workspace %s went first", r.workspace)
		}
	})
}

func TestEveryWaitingClassIsServedWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := rapid.IntRange(1, 6).Draw(t, "starvation turns")
		classes := rapid.IntRange(2, 4).Draw(t, "classes")
		q := newQueue(turns)
		since := make([]int, classes)
		for priority := range classes {
			q.push(&record{priority: priority, weight: 1, cost: 1})
		}
		for range rapid.IntRange(1, 60).Draw(t, "served") {
			served := q.pop().priority
			q.push(&record{priority: served, weight: 1, cost: 1})
			for priority := range since {
				since[priority]++
			}
			since[served] = 0
			for priority, waited := range since {
				if waited > turns+classes {
					t.Fatalf("class %d waited for %d turns", priority, waited)
				}
			}
		}
	})
}
