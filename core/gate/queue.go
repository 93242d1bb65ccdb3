package gate

import (
	"slices"
)

// queue holds the waiting attempts, in one class per priority, and within a class in
// one flow per workspace.
type queue struct {
	starvationTurns int
	size            int
	classes         []*class
}

// class holds the waiting attempts of one priority.
type class struct {
	priority int
	// virtualTime is the start tag of the attempt served last.
	virtualTime float64
	flows       []*flow
	// skippedTurns counts the turns given to higher classes since this class was last
	// served, while it had attempts waiting.
	skippedTurns int
}

// flow holds the waiting attempts of one workspace in one class, in order of arrival.
type flow struct {
	workspace string
	waiting   []*record
	// startTag is the virtual start tag of the first waiting attempt.
	startTag float64
	// finishTag is the virtual finish tag of the attempt served last.
	finishTag float64
}

func newQueue(starvationTurns int) *queue { return &queue{starvationTurns: starvationTurns} }

// push appends an attempt to the flow of its workspace and class.
func (q *queue) push(r *record) {
	c := q.classFor(r.priority)
	f := c.flowFor(r.workspace)
	if len(f.waiting) == 0 {
		f.startTag = max(c.virtualTime, f.finishTag)
	}
	f.waiting = append(f.waiting, r)
	q.size++
}

// classFor returns the class with the given priority, and adds it if it is missing.
// Classes are sorted by descending priority.
func (q *queue) classFor(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return p - c.priority })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority})
	}
	return q.classes[i]
}

// flowFor returns the flow of workspace, and adds it if it is missing.
func (c *class) flowFor(workspace string) *flow {
	if f := c.findFlow(workspace); f != nil {
		return f
	}
	f := &flow{workspace: workspace}
	c.flows = append(c.flows, f)
	return f
}

// findFlow returns the flow of workspace, or nil.
func (c *class) findFlow(workspace string) *flow {
	for _, f := range c.flows {
		if f.workspace == workspace {
			return f
		}
	}
	return nil
}

// pop removes and returns the attempt that is served next, or nil.
func (q *queue) pop() *record {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	q.countSkippedTurns(c)
	f := c.nextFlow()
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	c.virtualTime = f.startTag
	f.finishTag = f.startTag + r.cost/float64(r.weight)
	f.startTag = f.finishTag
	c.prune()
	q.size--
	return r
}

// peek returns the attempt that pop would return, or nil.
func (q *queue) peek() *record {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	return c.nextFlow().waiting[0]
}

// removeOutOfOrder removes a waiting attempt before its turn and charges its flow for
// it, so that its workspace gets no more than its share.
func (q *queue) removeOutOfOrder(r *record) {
	c := q.classFor(r.priority)
	f := c.findFlow(r.workspace)
	i := slices.Index(f.waiting, r)
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.finishTag = f.startTag + r.cost/float64(r.weight)
	f.startTag = f.finishTag
	c.prune()
	q.size--
}

// nextClass returns the class that is served next: the one skipped most often if it
// has reached the starvation limit, otherwise the highest with attempts waiting.
func (q *queue) nextClass() *class {
	var best, starving *class
	for _, c := range q.classes {
		if c.empty() {
			continue
		}
		if best == nil {
			best = c
		}
		if c.skippedTurns >= q.starvationTurns && (starving == nil || c.skippedTurns > starving.skippedTurns) {
			starving = c
		}
	}
	if starving != nil {
		return starving
	}
	return best
}

// countSkippedTurns counts a skipped turn for the non-empty classes below served, and
// resets the count of served.
func (q *queue) countSkippedTurns(served *class) {
	for _, c := range q.classes {
		if c.priority < served.priority && !c.empty() {
			c.skippedTurns++
		}
	}
	served.skippedTurns = 0
}

// empty reports whether no attempts wait in the class.
func (c *class) empty() bool {
	for _, f := range c.flows {
		if len(f.waiting) > 0 {
			return false
		}
	}
	return true
}

// nextFlow returns the flow with the lowest start tag; ties go to the flow whose first
// attempt arrived first.
func (c *class) nextFlow() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.servedBefore(best) {
			best = f
		}
	}
	return best
}

// servedBefore reports whether f is served before other. Neither may be empty.
func (f *flow) servedBefore(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.waiting[0].sequence < other.waiting[0].sequence
}

// prune removes empty flows whose finish tag no longer affects the order. When the
// class becomes empty its busy period is over: the virtual time advances to the
// highest finish tag, so that all flows are removed.
func (c *class) prune() {
	if c.empty() {
		for _, f := range c.flows {
			c.virtualTime = max(c.virtualTime, f.finishTag)
		}
	}
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
		return len(f.waiting) == 0 && f.finishTag <= c.virtualTime
	})
}

// remove removes an attempt from the queue and reports whether it was queued.
func (q *queue) remove(r *record) bool {
	f := q.classFor(r.priority).findFlow(r.workspace)
	if f == nil {
		return false
	}
	i := slices.Index(f.waiting, r)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	q.size--
	if q.classFor(r.priority).empty() {
		q.classFor(r.priority).skippedTurns = 0
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
