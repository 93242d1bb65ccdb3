package chart

import "fmt"

// check returns a description of the first rule that the chart violates, or "".
func (c *Chart) check() string {
	states, problem := c.stateSet()
	if problem != "" {
		return problem
	}
	if _, ok := states[c.Initial]; !ok {
		return fmt.Sprintf("the initial state %q does not exist", c.Initial)
	}
	if problem := c.checkTransitions(states); problem != "" {
		return problem
	}
	if problem := c.checkDeadEnds(); problem != "" {
		return problem
	}
	return c.checkReachable()
}

// stateSet returns the states by name, or a description of the first problem.
func (c *Chart) stateSet() (map[State]StateSpec, string) {
	states := make(map[State]StateSpec, len(c.States))
	for _, state := range c.States {
		if state.Name == "" || state.Means == "" {
			return nil, fmt.Sprintf("state %q lacks a name or a meaning", state.Name)
		}
		if _, ok := states[state.Name]; ok {
			return nil, fmt.Sprintf("state %q is defined twice", state.Name)
		}
		states[state.Name] = state
	}
	return states, ""
}

// checkTransitions returns a description of the first invalid transition, or "".
func (c *Chart) checkTransitions(states map[State]StateSpec) string {
	type trigger struct {
		from  State
		event Event
	}
	seen := make(map[trigger]bool, len(c.Transitions))
	for _, t := range c.Transitions {
		from, okFrom := states[t.From]
		_, okTo := states[t.To]
		switch {
		case !okFrom || !okTo:
			return fmt.Sprintf("transition %s from %q to %q names an unknown state", t.Event, t.From, t.To)
		case t.Event == "" || t.Means == "":
			return fmt.Sprintf("a transition from %q lacks an event or a meaning", t.From)
		case from.Final:
			return fmt.Sprintf("event %q leaves the final state %q", t.Event, t.From)
		case seen[trigger{t.From, t.Event}]:
			return fmt.Sprintf("event %q in state %q is defined twice", t.Event, t.From)
		}
		seen[trigger{t.From, t.Event}] = true
	}
	return ""
}

// checkDeadEnds returns a description of the first state that has no outgoing
// transition and is not marked final, or "".
func (c *Chart) checkDeadEnds() string {
	hasExit := make(map[State]bool)
	for _, t := range c.Transitions {
		hasExit[t.From] = true
	}
	for _, state := range c.States {
		if !state.Final && !hasExit[state.Name] {
			return fmt.Sprintf("state %q is not final and no transition leaves it", state.Name)
		}
	}
	return ""
}

// checkReachable returns a description of the first state that can't be reached from
// the initial state, or "".
func (c *Chart) checkReachable() string {
	for _, state := range c.States {
		if _, ok := c.Path(state.Name); !ok {
			return fmt.Sprintf("state %q is unreachable", state.Name)
		}
	}
	return ""
}

// Path returns a shortest sequence of events that leads from the initial state
// to the given one, and whether there is one.
func (c *Chart) Path(to State) ([]Event, bool) {
	paths := map[State][]Event{c.Initial: {}}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, t := range c.Transitions {
			if _, known := paths[t.To]; t.From != current || known {
				continue
			}
			path := append([]Event(nil), paths[current]...)
			paths[t.To] = append(path, t.Event)
			queue = append(queue, t.To)
		}
	}
	path, ok := paths[to]
	return path, ok
}
