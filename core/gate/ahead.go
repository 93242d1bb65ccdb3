package gate

// ahead returns the costs of the waiting attempts that would be served before a
// new attempt of workspace in the class of priority.
func (q *queue) ahead(workspace string, priority int) []float64 {
	same := q.aheadInClass(workspace, priority)
	higher := q.aheadOfClass(priority)
	// Starvation turns bound how much of higher classes goes first.
	bound := (len(same) + 1) * q.turns
	if len(higher) > bound {
		higher = higher[:bound]
	}
	return append(higher, same...)
}

// aheadOfClass returns the costs that wait in classes above priority.
func (q *queue) aheadOfClass(priority int) []float64 {
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

// aheadInClass returns the costs in the class that are served before a new
// attempt of workspace: all of the workspace's own, and of each other workspace
// those whose start tag is not above the new one's.
func (q *queue) aheadInClass(workspace string, priority int) []float64 {
	c := q.existing(priority)
	if c == nil {
		return nil
	}
	tag := c.nextTag(workspace)
	var costs []float64
	for _, f := range c.flows {
		start := f.start
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

// existing returns the class of priority, or nil.
func (q *queue) existing(priority int) *class {
	for _, c := range q.classes {
		if c.priority == priority {
			return c
		}
	}
	return nil
}

// nextTag returns the start tag of a new attempt of workspace.
func (c *class) nextTag(workspace string) float64 {
	f := c.find(workspace)
	if f == nil {
		return c.virtual
	}
	if len(f.waiting) == 0 {
		return max(c.virtual, f.finish)
	}
	tag := f.start
	for _, r := range f.waiting {
		tag += r.cost / float64(r.weight)
	}
	return tag
}

// victim returns the attempt that gives up its place in a full queue to a new
// one, or nil. Places are shared between workspaces by weight, whatever their
// class: the last attempt of the flow that holds most goes, if its flow holds no
// less than the new attempt's flow even after the exchange. Else a lower class
// gives way, but for the last place of each flow, which keeps it from starving.
func (q *queue) victim(workspace string, priority, weight int) *record {
	own := q.places(workspace, priority)
	after := float64(own+1) / float64(weight)
	heaviest := q.heaviest(func(*class, *flow) bool { return true })
	if heaviest != nil && heaviest.share(-1) >= after {
		return heaviest.last()
	}
	lower := q.heaviest(func(c *class, f *flow) bool {
		return c.priority < priority && len(f.waiting) > 1
	})
	if lower != nil {
		return lower.last()
	}
	return nil
}

// places returns how many attempts of workspace wait in the class of priority.
func (q *queue) places(workspace string, priority int) int {
	c := q.existing(priority)
	if c == nil {
		return 0
	}
	f := c.find(workspace)
	if f == nil {
		return 0
	}
	return len(f.waiting)
}

// heaviest returns the flow that holds most places for its weight among those
// that match; of equal ones the one in the lowest class.
func (q *queue) heaviest(match func(*class, *flow) bool) *flow {
	var best *flow
	for _, c := range q.classes {
		for _, f := range c.flows {
			if len(f.waiting) == 0 || !match(c, f) {
				continue
			}
			if best == nil || f.share(0) >= best.share(0) {
				best = f
			}
		}
	}
	return best
}

// share returns the flow's places, changed by delta, over its weight.
func (f *flow) share(delta int) float64 {
	return float64(len(f.waiting)+delta) / float64(f.last().weight)
}

// last returns the attempt that came last. The flow has work waiting.
func (f *flow) last() *record { return f.waiting[len(f.waiting)-1] }
