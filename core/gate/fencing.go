package gate

// Fence reports whether an order to load or unload a model may be executed, given the
// fencing token that it carries, and remembers the token. A token lower than one seen
// before is refused: it belongs to a replaced plan, perhaps of a former lease owner that
// was paused. An equal token is accepted, because several orders of one plan carry the
// same token. The gate checks the token because some engines ignore it.
func (g *Gate) Fence(token uint64) bool {
	if token < g.fencing {
		return false
	}
	g.fencing = token
	return true
}

// Fencing returns the highest fencing token seen.
func (g *Gate) Fencing() uint64 { return g.fencing }
