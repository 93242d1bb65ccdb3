package gate

// Fence tells whether orders with the fencing number may be given, and remembers
// the number. A lower number than one seen before is refused: it comes from a
// plan that has been replaced, perhaps through a holder of the lease that was
// paused. Several orders of one plan carry the same number. The check is made
// here because some engines ignore the number.
func (g *Gate) Fence(number uint64) bool {
	if number < g.fencing {
		return false
	}
	g.fencing = number
	return true
}

// Fencing returns the highest fencing number seen.
func (g *Gate) Fencing() uint64 { return g.fencing }
