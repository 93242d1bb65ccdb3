package gate

// costsAhead returns the costs of the waiting attempts that would be served before
// a new attempt of workspace with the given priority.
func (q *queue) costsAhead(workspace string, priority int) []float64 {
	same := q.costsAheadInClass(workspace, priority)
	higher := q.costsInHigherClasses(priority)
	// Starvation protection bounds how many attempts of higher classes go first.
	bound := (len(same) + 1) * q.starvationTurns
	if len(higher) > bound {
		higher = higher[:bound]
	}
	return append(higher, same...)
}

// costsInHigherClasses returns the costs of the attempts that wait in classes above
// priority.
func (q *queue) costsInHigherClasses(priority int) []float64 {
	var costs []float64
	for _, c := range q.classes {
		if c.priority <= priority {
			break
		}
		for _, f := range c.flows {
			for _, r := range f.waiting {
				costs = append(costs, r.cost)
			}
		}
	}
	return costs
}

// costsAheadInClass returns the costs of the attempts in the class that are served
// before a new attempt of workspace: all of the same workspace, and those of other
// workspaces whose start tag is not above the new attempt's.
func (q *queue) costsAheadInClass(workspace string, priority int) []float64 {
	c := q.findClass(priority)
	if c == nil {
		return nil
	}
	tag := c.nextStartTag(workspace)
	var costs []float64
	for _, f := range c.flows {
		start := f.startTag
		for _, r := range f.waiting {
			if f.workspace != workspace && start > tag {
				break
			}
			costs = append(costs, r.cost)
			start += r.cost / float64(r.weight)
		}
	}
	return costs
}

// findClass returns the class with the given priority, or nil.
func (q *queue) findClass(priority int) *class {
	for _, c := range q.classes {
		if c.priority == priority {
			return c
		}
	}
	return nil
}

// nextStartTag returns the start tag of a new attempt of workspace.
func (c *class) nextStartTag(workspace string) float64 {
	f := c.findFlow(workspace)
	if f == nil {
		return c.virtualTime
	}
	if len(f.waiting) == 0 {
		return max(c.virtualTime, f.finishTag)
	}
	tag := f.startTag
	for _, r := range f.waiting {
		tag += r.cost / float64(r.weight)
	}
	return tag
}

// evictionCandidate returns the waiting attempt that is evicted from a full queue to
// admit a new one, or nil. The queue is shared between workspaces by weight,
// regardless of class: the newest attempt of the flow with the highest weighted
// length is evicted if that length, without the evicted attempt, is not below the
// weighted length of the new attempt's flow with the new attempt. Otherwise an attempt of
// a lower class is evicted, but never the only attempt of a flow, so that the flow doesn't
// starve.
func (q *queue) evictionCandidate(workspace string, priority, weight int) *record {
	own := q.waitingCount(workspace, priority)
	after := float64(own+1) / float64(weight)
	heaviest := q.heaviest(func(*class, *flow) bool { return true })
	if heaviest != nil && heaviest.weightedLength(-1) >= after {
		return heaviest.newest()
	}
	lower := q.heaviest(func(c *class, f *flow) bool {
		return c.priority < priority && len(f.waiting) > 1
	})
	if lower != nil {
		return lower.newest()
	}
	return nil
}

// waitingCount returns how many attempts of workspace wait in the class with the
// given priority.
func (q *queue) waitingCount(workspace string, priority int) int {
	c := q.findClass(priority)
	if c == nil {
		return 0
	}
	f := c.findFlow(workspace)
	if f == nil {
		return 0
	}
	return len(f.waiting)
}

// heaviest returns the matching flow with the highest weighted length; ties go to the
// lowest class.
func (q *queue) heaviest(match func(*class, *flow) bool) *flow {
	var best *flow
	for _, c := range q.classes {
		for _, f := range c.flows {
			if len(f.waiting) == 0 || !match(c, f) {
				continue
			}
			if best == nil || f.weightedLength(0) >= best.weightedLength(0) {
				best = f
			}
		}
	}
	return best
}

// weightedLength returns the flow's length, changed by delta, divided by its weight.
func (f *flow) weightedLength(delta int) float64 {
	return float64(len(f.waiting)+delta) / float64(f.newest().weight)
}

// newest returns the attempt that arrived last. The flow must not be empty.
func (f *flow) newest() *record { return f.waiting[len(f.waiting)-1] }
