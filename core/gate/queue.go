package gate

import (
	"slices"
)

// queue holds the attempts that wait: classes by priority, and within a class
// one flow for each workspace.
type queue struct {
	turns   int
	size    int
	classes []*class
}

// class is the attempts of one priority.
type class struct {
	priority int
	// virtual is the start tag of the attempt served last.
	virtual float64
	flows   []*flow
	// passed counts the turns that went to higher classes, since this class was
	// last served, while it had work waiting.
	passed int
}

// flow is the waiting attempts of one workspace in one class, in order of arrival.
type flow struct {
	workspace string
	waiting   []*record
	// start is the virtual start tag of the first waiting attempt.
	start float64
	// finish is the virtual finish tag of the attempt served last.
	finish float64
}

// newQueue returns an empty queue.
func newQueue(turns int) *queue { return &queue{turns: turns} }

// push adds an attempt behind those of its workspace and class.
func (q *queue) push(r *record) {
	c := q.class(r.priority)
	f := c.flow(r.workspace)
	if len(f.waiting) == 0 {
		f.start = max(c.virtual, f.finish)
	}
	f.waiting = append(f.waiting, r)
	q.size++
}

// class returns the class of priority, which it adds if it is missing. Classes
// are in falling order of priority.
func (q *queue) class(priority int) *class {
	at, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return p - c.priority })
	if !found {
		q.classes = slices.Insert(q.classes, at, &class{priority: priority})
	}
	return q.classes[at]
}

// flow returns the flow of workspace, which it adds if it is missing.
func (c *class) flow(workspace string) *flow {
	if f := c.find(workspace); f != nil {
		return f
	}
	f := &flow{workspace: workspace}
	c.flows = append(c.flows, f)
	return f
}

// find returns the flow of workspace, or nil.
func (c *class) find(workspace string) *flow {
	for _, f := range c.flows {
		if f.workspace == workspace {
			return f
		}
	}
	return nil
}

// pop removes and returns the attempt that is served next, or nil.
func (q *queue) pop() *record {
	c := q.turn()
	if c == nil {
		return nil
	}
	q.pass(c)
	f := c.first()
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	c.virtual = f.start
	f.finish = f.start + r.cost/float64(r.weight)
	f.start = f.finish
	c.prune()
	q.size--
	return r
}

// peek returns the attempt that pop would return, or nil.
func (q *queue) peek() *record {
	c := q.turn()
	if c == nil {
		return nil
	}
	return c.first().waiting[0]
}

// take removes a waiting attempt out of its turn and charges its flow for it, so
// that its workspace gets no more than its share.
func (q *queue) take(r *record) {
	c := q.class(r.priority)
	f := c.find(r.workspace)
	at := slices.Index(f.waiting, r)
	f.waiting = slices.Delete(f.waiting, at, at+1)
	f.finish = f.start + r.cost/float64(r.weight)
	f.start = f.finish
	c.prune()
	q.size--
}

// turn returns the class that is served next: the one passed over longest if
// its turns are up, else the highest that has work waiting.
func (q *queue) turn() *class {
	var best, starving *class
	for _, c := range q.classes {
		if c.empty() {
			continue
		}
		if best == nil {
			best = c
		}
		if c.passed >= q.turns && (starving == nil || c.passed > starving.passed) {
			starving = c
		}
	}
	if starving != nil {
		return starving
	}
	return best
}

// pass counts the turn that goes to served for the waiting classes below it.
func (q *queue) pass(served *class) {
	for _, c := range q.classes {
		if c.priority < served.priority && !c.empty() {
			c.passed++
		}
	}
	served.passed = 0
}

// empty tells whether nothing waits in the class.
func (c *class) empty() bool {
	for _, f := range c.flows {
		if len(f.waiting) > 0 {
			return false
		}
	}
	return true
}

// first returns the flow with the lowest start tag; of equal ones the one whose
// first attempt came first.
func (c *class) first() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// before tells whether f is served before other. Both have work waiting.
func (f *flow) before(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}
	return f.waiting[0].sequence < other.waiting[0].sequence
}

// prune removes the flows that are idle and whose past no longer counts. If
// nothing waits in the class then its busy period is over: the virtual time moves
// behind all that was served, and every past is forgotten.
func (c *class) prune() {
	if c.empty() {
		for _, f := range c.flows {
			c.virtual = max(c.virtual, f.finish)
		}
	}
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
		return len(f.waiting) == 0 && f.finish <= c.virtual
	})
}

// remove takes an attempt out of the queue. It tells whether it was there.
func (q *queue) remove(r *record) bool {
	f := q.class(r.priority).find(r.workspace)
	if f == nil {
		return false
	}
	at := slices.Index(f.waiting, r)
	if at < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, at, at+1)
	q.size--
	if q.class(r.priority).empty() {
		q.class(r.priority).passed = 0
	}
	return true
}

// all returns the waiting attempts, by class and flow.
func (q *queue) all() []*record {
	list := make([]*record, 0, q.size)
	for _, c := range q.classes {
		for _, f := range c.flows {
			list = append(list, f.waiting...)
		}
	}
	return list
}
