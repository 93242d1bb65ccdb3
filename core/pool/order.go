package pool

import (
	"sort"
	"time"
)

// classFactor is how much less than the most valuable item of a class one may count for
// and still be of that class: estimates are within a factor of 1.8 of what operators gave
// (TestTheEstimateAgreesWithWhatOperatorsGave), and within that the age of a task says more.
const classFactor = 2

// sort orders the queue. Tasks that can still be on time go before those that are
// late already: under a burst, time spent on late ones makes the others late too.
// Among those in time the rank decides, then the class of the value, then the later due time.
func (p *Pool) sort(now time.Time) {
	shortest := time.Duration(float64(p.callTime(p.settings.Batch)) * p.slowdown)
	for _, g := range p.queue {
		if now.Add(shortest).After(g.Due) {
			g.late = true
		}
	}
	p.classify()
	sort.SliceStable(p.queue, func(i, j int) bool { return before(p.queue[i], p.queue[j]) })
}

// classify sorts the tasks into classes: of each rank, those that count for about the same
// by item. Where a pool can't make all in time, its items go where they count for most
// (TestAnOverfullPoolMakesWhatCountsForMost).
func (p *Pool) classify() {
	sort.SliceStable(p.queue, func(i, j int) bool {
		a, b := p.queue[i], p.queue[j]
		if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return a.perItem() > b.perItem()
	})
	class, rank, most := 0, 0, 0.0
	for i, g := range p.queue {
		if i == 0 || g.Rank != rank || g.perItem()*classFactor < most {
			class++
			rank, most = g.Rank, g.perItem()
		}
		g.class = class
	}
}

// perItem returns what each waiting item of a task counts for.
func (g *group) perItem() float64 { return g.Value / float64(max(1, len(g.items))) }

// before tells whether a goes before b. Of two timely tasks of a class the newer one goes
// first: with the older one first a burst leaves each task just in time at one pool and late at
// the next (TestABurstOnAChainLeavesMostOfWhatItsPoolsTakeInTime).
func before(a, b *group) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.late && a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.late && !a.Due.Equal(b.Due):
		return a.Due.Before(b.Due)
	case !a.late && a.class != b.class:
		return a.class < b.class
	case !a.Due.Equal(b.Due):
		return a.Due.After(b.Due)
	default:
		return a.Ticket < b.Ticket
	}
}
